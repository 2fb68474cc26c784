//! What the leader tells all entry hosts about suspected and banned requests.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use base::NodeId;
use base::RequestPart;
use fleet::Published;

/// A set of parts of requests.
pub type PartSet = BTreeSet<RequestPart>;

/// What is known of a set of parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoticeState {
    /// A request that has the parts is not sent again after it broke off.
    Suspected,
    /// Requests that have all of the parts are refused.
    Banned {
        /// The entry host that may send one request to find out whether the ban is still
        /// needed.
        trial: Option<NodeId>,
    },
}

/// A set of parts that requests with all of them share, and under which upstreams ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The parts.
    pub parts: PartSet,
    /// What is known of them.
    pub state: NoticeState,
    /// Upstream processes that ended.
    pub crashes: u32,
}

impl Notice {
    /// Whether requests with the parts are refused.
    pub fn is_ban(&self) -> bool {
        matches!(self.state, NoticeState::Banned { .. })
    }

    /// Whether the notice holds for a request with these parts.
    pub fn covers(&self, parts: &[RequestPart]) -> bool {
        !self.parts.is_empty() && self.parts.iter().all(|part| parts.contains(part))
    }
}

/// All notices in force, as the leader publishes them.
pub type NoticeList = Published<Notice>;
