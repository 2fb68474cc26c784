//! One replica as the controller knows it.

use derive_more::Display;

use base::Fence;
use base::Incarnation;
use base::ModelName;
use base::ReplicaName;
use base::ServiceName;
use base::Time;
use base::UpstreamId;

/// How far a replica is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub(crate) enum Phase {
    /// Its hosts were told to join.
    #[display("joining")]
    Joining,
    /// Its first host was told to serve.
    #[display("opening")]
    Opening,
    /// Requests are sent to it.
    #[display("serving")]
    Serving,
    /// Its first host is to leave it, not before this time.
    #[display("closing")]
    Closing(Time),
    /// Its first host has left it. Its hosts are free.
    #[display("ended")]
    Ended,
    /// Its first host was unreachable for so long that it cannot serve any more. Its hosts
    /// are free, but should it come back, it is told to leave.
    #[display("given up")]
    GivenUp,
}

/// One replica.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    pub name: ReplicaName,
    pub epoch: Fence,
    pub service: ServiceName,
    pub model: ModelName,
    /// The hosts by rank, with the lives that joined. A first host that was never heard
    /// is missing.
    pub head: Option<(UpstreamId, Incarnation)>,
    /// The other hosts.
    pub others: Vec<(UpstreamId, Incarnation)>,
    pub phase: Phase,
    /// Since when it is in this phase.
    pub since: Time,
    /// When an order about it was given last.
    pub ordered: Time,
}

impl Replica {
    /// All hosts that are known.
    pub fn hosts(&self) -> impl Iterator<Item = &(UpstreamId, Incarnation)> {
        self.head.iter().chain(&self.others)
    }

    /// Goes into another phase.
    pub fn enter(&mut self, phase: Phase, now: Time) {
        self.phase = phase;
        self.since = now;
        self.ordered = Time::ZERO;
    }

    /// Whether its hosts are bound to it.
    pub fn holds_hosts(&self) -> bool {
        !matches!(self.phase, Phase::Ended | Phase::GivenUp)
    }

    /// Whether it serves or soon will.
    pub fn is_serving_or_forming(&self) -> bool {
        matches!(self.phase, Phase::Joining | Phase::Opening | Phase::Serving)
    }
}
