//! What the router is told of replicas, what it is asked, and what it answers.

use std::time::Duration;

use derive_more::Display;

use crate::Forecast;
use base::CentreId;
use base::Load;
use base::ReplicaId;
use base::TokenCount;
use base::TokenRate;

/// A replica that may serve a model, with its latest load report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Candidate {
    /// The replica.
    pub replica: ReplicaId,
    /// Its data centre.
    pub centre: CentreId,
    /// Its load as last reported.
    pub load: Load,
    /// How old the report is.
    pub load_age: Duration,
    /// Delay of the link to it, one way.
    pub link_delay: Duration,
}

/// Whether a request is long next to most others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Length {
    /// Most requests.
    #[default]
    #[display("short")]
    Short,
    /// A request that holds its slot or the prefill many times longer.
    #[display("long")]
    Long,
}

/// Whether a request is within its contract's rates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Standing {
    /// Within the rates.
    #[default]
    #[display("within")]
    Within,
    /// Beyond them, on lent capacity.
    #[display("beyond")]
    Beyond,
}

/// A part of the replicas by a hash of their ids, from zero to one. Nodes that divide
/// the whole among them never send to the same replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaSlice {
    /// The first hash.
    pub from: f64,
    /// The hash after the last.
    pub until: f64,
}

/// A request that needs a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRequest {
    /// Tokens of the prompt.
    pub prompt_tokens: TokenCount,
    /// Whether it is long.
    pub length: Length,
    /// Whether it is within its contract.
    pub standing: Standing,
    /// A hash of the prompt's prefix, if it may be cached somewhere.
    pub prefix_hash: Option<u64>,
    /// Time left until the first token is due.
    pub first_token_budget: Duration,
    /// Tokens a second that the answer needs.
    pub min_token_rate: TokenRate,
    /// Share of a replica's slots that may be taken when this request is added.
    pub max_fill: f64,
    /// The most time that the prefill backlog at the replica may stand for.
    pub max_backlog: Duration,
    /// Long requests that this node may have at one replica. A fraction stands for a
    /// share of the replicas.
    pub long_quota: f64,
    /// Only replicas of this slice, or all.
    pub replica_slice: Option<ReplicaSlice>,
    /// A replica that has just failed the request.
    pub failed_replica: Option<ReplicaId>,
}

impl Default for RouteRequest {
    fn default() -> Self {
        Self {
            prompt_tokens: TokenCount(0),
            length: Length::Short,
            standing: Standing::Within,
            prefix_hash: None,
            first_token_budget: Duration::MAX,
            min_token_rate: TokenRate(0.0),
            max_fill: 1.0,
            max_backlog: Duration::MAX,
            long_quota: f64::INFINITY,
            replica_slice: None,
            failed_replica: None,
        }
    }
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The replica.
    pub replica: ReplicaId,
    /// What the request can expect there.
    pub forecast: Forecast,
}

/// Why no replica was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum NoChoice {
    /// No replica serves the model.
    #[display("no replica serves the model")]
    NoReplica,
    /// Replicas that were looked at have their share of slots taken, which may pass.
    #[display("replicas are full")]
    Full,
    /// Every replica that was looked at has room, but answers too late or too slowly.
    #[display("no replica answers in time")]
    Late,
}
