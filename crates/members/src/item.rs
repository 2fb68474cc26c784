//! Small items that nodes publish to each other through the gossip.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::outbox::Urgency;
use base::Incarnation;
use base::NodeId;

/// The longest body of an item in bytes.
pub const MAX_ITEM_BODY_BYTES: usize = 1_000;

/// What an item is about. The kind decides how the item is spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ItemKind {
    /// A host that is leaving.
    Leaving,
    /// What other nodes must know of orders.
    Orders,
    /// The versions in force in one data centre. Published by this crate.
    ConfigVersion,
    /// The demand on contracts at one node.
    Demand,
    /// The demand on contracts in one data centre.
    DemandSummary,
    /// The loads of the replicas whose hosts report to one node.
    Loads,
    /// The replicas of one data centre.
    ReplicaSummary,
}

/// Which members receive an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// The members of the publisher's data centre.
    Centre,
    /// All members.
    Everywhere,
}

/// An item as its publisher hands it in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// What it is about.
    pub kind: ItemKind,
    /// Tells the publisher's items of this kind apart. A newer item replaces an
    /// older one with the same key.
    pub key: u64,
    /// The content, of at most [`MAX_ITEM_BODY_BYTES`].
    pub body: Vec<u8>,
    /// Which members receive it.
    pub scope: Scope,
    /// Time until it expires, measured on each receiver's clock.
    pub ttl: Duration,
}

/// An item that is new to this node, or whose body changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemUpdate {
    /// The node that published it.
    pub origin: NodeId,
    /// The item, with its remaining time to live.
    pub item: Item,
}

/// Orders the versions of one item.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub(crate) struct Stamp {
    pub incarnation: Incarnation,
    pub sequence: u64,
}

/// Identifies an item by its publisher, kind and key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct ItemId {
    pub origin: NodeId,
    pub kind: ItemKind,
    pub key: u64,
}

/// An item as it is sent between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ItemMessage {
    pub id: ItemId,
    pub stamp: Stamp,
    pub scope: Scope,
    /// Remaining time to live, in milliseconds.
    pub left_ms: u32,
    pub body: Vec<u8>,
}

/// How often, and over how many paths, a rumor is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SpreadPolicy {
    /// How often it is sent to each receiver.
    pub repeats: u8,
    /// How many contacts send it to another data centre.
    pub senders: usize,
    /// To how many contacts there each of them sends it.
    pub paths: usize,
    /// To how many members of its own data centre a receiver forwards it.
    pub gossip: usize,
    /// Its precedence when the byte rate is used up.
    pub urgency: Urgency,
}

impl SpreadPolicy {
    /// For what must arrive within seconds even if datagrams are lost.
    pub const RELIABLE: Self = Self {
        repeats: 2,
        senders: 2,
        paths: 2,
        gossip: 2,
        urgency: Urgency::High,
    };
    /// For what is published again soon but should seldom be missed.
    pub const TWO_SENDERS: Self = Self {
        repeats: 1,
        senders: 2,
        paths: 1,
        gossip: 0,
        urgency: Urgency::High,
    };
    /// For what is published again soon and may be missed.
    pub const ONE_SENDER: Self = Self {
        repeats: 1,
        senders: 1,
        paths: 1,
        gossip: 0,
        urgency: Urgency::Low,
    };

    /// The policy when forwarding: one send, as several members forward it.
    pub fn relayed(self) -> Self {
        Self { repeats: 1, ..self }
    }
}

impl ItemKind {
    pub(crate) fn spread_policy(self) -> SpreadPolicy {
        match self {
            Self::Leaving | Self::Orders => SpreadPolicy::RELIABLE,
            Self::ConfigVersion => SpreadPolicy::TWO_SENDERS,
            Self::Demand | Self::DemandSummary => SpreadPolicy::ONE_SENDER,
            Self::Loads | Self::ReplicaSummary => SpreadPolicy::ONE_SENDER,
        }
    }

    /// Whether members that missed an item get it later by comparing state. Items
    /// of the other kinds are published again before they expire.
    pub(crate) fn is_synced(self) -> bool {
        match self {
            Self::Leaving | Self::Orders => true,
            Self::ConfigVersion | Self::Demand | Self::DemandSummary => false,
            Self::Loads | Self::ReplicaSummary => false,
        }
    }
}
