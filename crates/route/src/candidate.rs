//! The router's inputs and outputs: candidate replicas, requests and choices.

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
    /// The replica's data centre.
    pub centre: CentreId,
    /// The load as last reported.
    pub load: Load,
    /// The age of the load report.
    pub load_age: Duration,
    /// One-way delay of the link to the replica.
    pub link_delay: Duration,
}

/// Whether a request is much longer than most others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Length {
    /// A request like most others.
    #[default]
    #[display("short")]
    Short,
    /// A request that occupies its slot or the prefill many times longer.
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
    /// Beyond the rates, on capacity that others leave unused.
    #[display("beyond")]
    Beyond,
}

/// The replicas whose id hash (from zero to one) is in a range. Nodes with disjoint
/// ranges never send to the same replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaSlice {
    /// The lower bound, inclusive.
    pub from: f64,
    /// The upper bound, exclusive.
    pub until: f64,
}

/// A request as input of the router.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRequest {
    /// Number of tokens of the prompt.
    pub prompt_tokens: TokenCount,
    /// Whether the request is long.
    pub length: Length,
    /// Whether the request is within its contract's rates.
    pub standing: Standing,
    /// A hash of the prompt's prefix, if a replica may have it cached.
    pub prefix_hash: Option<u64>,
    /// Time left until the first token is due.
    pub first_token_budget: Duration,
    /// The lowest acceptable token rate of the answer.
    pub min_token_rate: TokenRate,
    /// The largest share of a replica's slots that may be taken, this request included.
    pub max_fill: f64,
    /// The largest prefill backlog at the replica, as time.
    pub max_backlog: Duration,
    /// How many long requests this node may have at one replica. The fractional part is
    /// the share of replicas that may have one more.
    pub long_quota: f64,
    /// If set, only replicas of this slice may be chosen.
    pub replica_slice: Option<ReplicaSlice>,
    /// A replica that has just failed the request and is not chosen again.
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

/// The chosen replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The replica.
    pub replica: ReplicaId,
    /// The predicted performance of the request at the replica.
    pub forecast: Forecast,
}

/// Why no replica was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum NoChoice {
    /// No replica serves the model.
    #[display("no replica serves the model")]
    NoReplica,
    /// Sampled replicas lack capacity now, which may pass.
    #[display("replicas are full")]
    Full,
    /// Every sampled replica has capacity, but would answer too late or too slowly.
    #[display("no replica answers in time")]
    Late,
}
