//! A replica as the controller knows it.

use std::collections::BTreeSet;

use derive_more::Display;

use base::Fence;
use base::Incarnation;
use base::ModelName;
use base::ReplicaName;
use base::ServiceName;
use base::Time;
use base::UpstreamId;

/// Phase of a replica's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub(crate) enum Phase {
    /// The hosts were ordered to join.
    #[display("joining")]
    Joining,
    /// The head host was ordered to serve.
    #[display("opening")]
    Opening,
    /// Requests are sent to the replica.
    #[display("serving")]
    Serving,
    /// The replica takes no new requests and finishes those it has, until this time at most.
    /// Its hosts are to form another one.
    #[display("draining")]
    Draining(Time),
    /// The head host is to be ordered to leave, not before this time.
    #[display("closing")]
    Closing(Time),
    /// The head host has left the replica, so its hosts are free.
    #[display("ended")]
    Ended,
    /// The head host was not told to leave, but has lacked a host for so long that the replica is
    /// broken. If the head host comes back, it is ordered to leave.
    #[display("given up")]
    GivenUp,
}

/// A replica, with its hosts in the incarnations that joined.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    pub name: ReplicaName,
    pub epoch: Fence,
    pub service: ServiceName,
    pub model: ModelName,
    /// The host of rank 0, which serves requests. None if it was never heard.
    pub head: Option<(UpstreamId, Incarnation)>,
    /// The hosts of higher rank, in order of rank.
    pub other_hosts: Vec<(UpstreamId, Incarnation)>,
    pub phase: Phase,
    /// When the replica entered its phase.
    pub phase_since: Time,
    /// The hosts other than the head host that have left for certain.
    pub left_hosts: BTreeSet<UpstreamId>,
    /// When the first of them was known to have left.
    pub incomplete_since: Option<Time>,
    /// Whether other hosts wait for a head host that doesn't acknowledge an order to leave.
    pub do_hosts_wait_for_head: bool,
    /// When the last order of this phase was issued.
    pub last_order_at: Time,
}

impl Replica {
    /// All known hosts, the head host first.
    pub fn hosts(&self) -> impl Iterator<Item = &(UpstreamId, Incarnation)> {
        self.head.iter().chain(&self.other_hosts)
    }

    pub fn enter_phase(&mut self, phase: Phase, now: Time) {
        self.phase = phase;
        self.phase_since = now;
        self.do_hosts_wait_for_head = false;
        self.last_order_at = Time::ZERO;
    }

    /// Records that a host other than the head host has left for certain.
    pub fn record_left(&mut self, host: &UpstreamId, now: Time) {
        self.left_hosts.insert(host.clone());
        self.incomplete_since.get_or_insert(now);
    }

    /// Whether the replica serves, is being formed, or is yet to be closed.
    pub fn is_unfinished(&self) -> bool {
        !matches!(self.phase, Phase::Ended | Phase::GivenUp)
    }

    /// Whether a host is bound to the replica, so that it cannot join another one.
    pub fn holds(&self, host: &UpstreamId) -> bool {
        self.phase != Phase::Ended && !self.left_hosts.contains(host)
    }

    /// The hosts that are bound to the replica.
    pub fn held_hosts(&self) -> impl Iterator<Item = &(UpstreamId, Incarnation)> {
        self.hosts().filter(|(id, _)| self.holds(id))
    }

    /// Whether requests may run at the replica.
    pub fn runs_requests(&self) -> bool {
        matches!(self.phase, Phase::Serving | Phase::Draining(_))
    }

    /// Whether the replica serves or is being formed.
    pub fn is_serving_or_forming(&self) -> bool {
        matches!(self.phase, Phase::Joining | Phase::Opening | Phase::Serving)
    }
}
