//! Messages between candidates and granters. They are small: under 64 bytes.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use base::Fence;
use base::Incarnation;
use base::NodeId;
use base::Time;

/// One life of a node that holds or wants the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// The node.
    pub node: NodeId,
    /// Its process's life.
    pub incarnation: Incarnation,
}

/// What an asker claims of its fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claim {
    /// It has no majority yet. The number must be larger than all that a granter knows.
    Bids,
    /// A majority granted it the number and it holds. Hosts may have told the granter of
    /// the number before.
    Holds,
}

/// Why a granter does not grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Refusal {
    /// The granter started without memory and may have granted before.
    Starting,
    /// Another holder has the lease.
    Held(Holder),
    /// The fencing number is not larger than one it granted or heard of.
    #[serde(rename = "Old")]
    StaleFence,
}

/// A message, in either direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether a bid could succeed. Promises nothing.
    Probe {
        /// Who asks.
        holder: Holder,
        /// The largest fencing number it knows.
        seen: Fence,
    },
    /// A bid could succeed.
    #[serde(rename = "Open")]
    WouldGrant {
        /// The life that was answered.
        incarnation: Incarnation,
        /// The largest fencing number the granter knows.
        known: Fence,
    },
    /// Asks for the lease, or for its renewal.
    #[serde(rename = "Ask")]
    Request {
        /// Who asks.
        holder: Holder,
        /// The fencing number of the tenure.
        fence: Fence,
        /// What is claimed of it.
        claim: Claim,
        /// The length of the lease.
        #[serde(rename = "span")]
        lease_time: Duration,
        /// When it was sent, on the sender's clock. Only echoed.
        sent: Time,
    },
    /// The granter promises the lease to nobody else for the span.
    Granted {
        /// The life that was answered.
        incarnation: Incarnation,
        /// The fencing number of the tenure.
        fence: Fence,
        /// When the ask was sent, on the asker's clock.
        sent: Time,
    },
    /// The granter does not grant.
    Refused {
        /// The life that was answered.
        incarnation: Incarnation,
        /// The fencing number that was asked for, zero for a probe.
        fence: Fence,
        /// Why.
        #[serde(rename = "why")]
        reason: Refusal,
        /// The largest fencing number the granter knows.
        known: Fence,
        /// Time until the reason ends, as far as the granter knows.
        #[serde(rename = "wait")]
        retry_after: Duration,
    },
    /// The holder has stopped ordering and gives the lease back.
    Release {
        /// Who held it.
        holder: Holder,
        /// The fencing number of the tenure.
        fence: Fence,
    },
}

impl Message {
    /// The candidate that a message to a granter says it comes from.
    pub(crate) fn sender(&self) -> Option<NodeId> {
        match self {
            Self::Probe { holder, .. } | Self::Request { holder, .. } => Some(holder.node),
            Self::Release { holder, .. } => Some(holder.node),
            Self::WouldGrant { .. } | Self::Granted { .. } | Self::Refused { .. } => None,
        }
    }
}

/// A message to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// To whom, which may be the sender itself.
    pub to: NodeId,
    /// What.
    pub message: Message,
}
