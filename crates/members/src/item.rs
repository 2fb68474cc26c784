//! Small items that ride on the exchange.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::outbox::Urgency;
use base::Incarnation;
use base::NodeId;

/// The longest body of an item in bytes.
pub const MAX_ITEM_BODY_BYTES: usize = 1_000;

/// What an item is about, which decides how it is spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ItemKind {
    /// An upstream that leaves.
    Leaving,
    /// What must be known of orders.
    Orders,
    /// The versions in force in one data centre. Published by this crate.
    ConfigVersion,
    /// Demand of contracts at one node.
    Demand,
    /// Demand of contracts in one data centre.
    DemandSummary,
    /// Loads of the replicas whose hosts report to one node.
    Loads,
    /// Replicas of one data centre.
    ReplicaSummary,
}

/// How far an item goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// To the members of the publisher's data centre.
    Centre,
    /// To all members.
    Everywhere,
}

/// An item as its publisher gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// What it is about.
    pub kind: ItemKind,
    /// Which one, among the publisher's items of this kind. A newer item takes
    /// the place of an older one.
    pub key: u64,
    /// Its content, at most [`MAX_ITEM_BODY_BYTES`].
    pub body: Vec<u8>,
    /// How far it goes.
    pub scope: Scope,
    /// Time until it is forgotten, on each receiver's clock.
    pub ttl: Duration,
}

/// An item that is new to this node, or whose body changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemUpdate {
    /// Who published it.
    pub origin: NodeId,
    /// The item, with the time it still has.
    pub item: Item,
}

/// Orders the items of one publisher under one key.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub(crate) struct Stamp {
    pub incarnation: Incarnation,
    pub sequence: u64,
}

/// Which item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct ItemId {
    pub origin: NodeId,
    pub kind: ItemKind,
    pub key: u64,
}

/// An item on its way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ItemMessage {
    pub id: ItemId,
    pub stamp: Stamp,
    pub scope: Scope,
    /// Time left, in milliseconds.
    pub left_ms: u32,
    pub body: Vec<u8>,
}

/// How often and by how many ways something is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SpreadPolicy {
    /// Sends to each receiver.
    pub repeats: u8,
    /// Contacts that send to another data centre.
    pub senders: usize,
    /// Contacts there to whom each of them sends.
    pub paths: usize,
    /// Members to whom each receiver passes it on.
    pub gossip: usize,
    /// Whether it may wait when the byte rate is used up.
    pub urgency: Urgency,
}

impl SpreadPolicy {
    /// For what must arrive within seconds though datagrams are lost.
    pub const RELIABLE: Self = Self {
        repeats: 2,
        senders: 2,
        paths: 2,
        gossip: 2,
        urgency: Urgency::High,
    };
    /// For what is published again soon, and must not be missed often.
    pub const TWO_SENDERS: Self = Self {
        repeats: 1,
        senders: 2,
        paths: 1,
        gossip: 0,
        urgency: Urgency::High,
    };
    /// For what is published again soon.
    pub const ONE_SENDER: Self = Self {
        repeats: 1,
        senders: 1,
        paths: 1,
        gossip: 0,
        urgency: Urgency::Low,
    };

    /// For those who pass it on: it comes to each by several ways already.
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

    /// Whether members that missed it are given it later. The other kinds are
    /// published again before they expire.
    pub(crate) fn is_synced(self) -> bool {
        match self {
            Self::Leaving | Self::Orders => true,
            Self::ConfigVersion | Self::Demand | Self::DemandSummary => false,
            Self::Loads | Self::ReplicaSummary => false,
        }
    }
}
