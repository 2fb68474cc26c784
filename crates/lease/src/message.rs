//! Messages between candidates and granters. Each is under 64 bytes.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use base::Fence;
use base::Incarnation;
use base::NodeId;
use base::Time;

/// One incarnation of a node that holds the lease or bids for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// The node.
    pub node: NodeId,
    /// The incarnation of the node's process.
    pub incarnation: Incarnation,
}

/// What a requester claims about its fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claim {
    /// No majority has granted the number yet. It must be larger than all that a granter knows.
    Bids,
    /// A majority granted the number, and the requester holds the lease. The granter may know
    /// the number already from hosts' reports.
    Holds,
}

/// Why a granter refuses the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Refusal {
    /// The granter started without its state and may have granted the lease before.
    Starting,
    /// Another holder has the lease.
    Held(Holder),
    /// The fencing number is not larger than one that the granter granted or heard of.
    #[serde(rename = "Old")]
    StaleFence,
}

/// A message between a candidate and a granter, in either direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the granter would grant the lease. The granter promises nothing.
    Probe {
        /// The requester.
        holder: Holder,
        /// The highest fencing number that the requester knows.
        seen: Fence,
    },
    /// Answers a probe: the granter would grant the lease.
    #[serde(rename = "Open")]
    WouldGrant {
        /// The incarnation that the answer is for.
        incarnation: Incarnation,
        /// The highest fencing number that the granter knows.
        known: Fence,
    },
    /// Requests the lease, or its renewal.
    #[serde(rename = "Ask")]
    Request {
        /// The requester.
        holder: Holder,
        /// The fencing number of the tenure.
        fence: Fence,
        /// What the requester claims about the fencing number.
        claim: Claim,
        /// How long the lease is to last.
        #[serde(rename = "span")]
        lease_time: Duration,
        /// When the request was sent, on the requester's clock. The granter only echoes it.
        sent: Time,
    },
    /// The granter promises the lease to no other node for the requested time.
    Granted {
        /// The incarnation that the answer is for.
        incarnation: Incarnation,
        /// The fencing number of the tenure.
        fence: Fence,
        /// When the request was sent, on the requester's clock.
        sent: Time,
    },
    /// The granter refuses the lease.
    Refused {
        /// The incarnation that the answer is for.
        incarnation: Incarnation,
        /// The fencing number that was requested, zero for a probe.
        fence: Fence,
        /// Why the granter refuses.
        #[serde(rename = "why")]
        reason: Refusal,
        /// The highest fencing number that the granter knows.
        known: Fence,
        /// Time until the reason no longer applies, as far as the granter knows.
        #[serde(rename = "wait")]
        retry_after: Duration,
    },
    /// The holder has stopped sending orders and releases the lease.
    Release {
        /// The former holder.
        holder: Holder,
        /// The fencing number of the tenure.
        fence: Fence,
    },
}

impl Message {
    /// The candidate that a message to a granter names as its sender.
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
    /// The recipient, which may be the sender itself.
    pub to: NodeId,
    /// The message.
    pub message: Message,
}
