//! Reports that entry nodes exchange about their use of contracts and models.

use serde::Deserialize;
use serde::Serialize;

use base::ContractName;
use base::Incarnation;
use base::ModelName;
use base::NodeId;
use base::OrgName;

/// One node's use of contracts and models. A later report replaces an earlier one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// The reporting node.
    pub node: NodeId,
    /// The incarnation of the node's process. Totals start at zero in each.
    pub incarnation: Incarnation,
    /// Sequence number of the report within the incarnation.
    pub sequence: u64,
    /// The contracts that were used in this incarnation or that other nodes report as used.
    pub contracts: Vec<ContractDemand>,
    /// What is known of the contracts that are not listed.
    pub others: Unlisted,
    /// Demand of the models that were requested.
    pub models: Vec<ModelDemand>,
}

/// What a report says about contracts that it doesn't list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unlisted {
    /// Nothing is known, because a part of the report is missing.
    #[default]
    Unknown,
    /// The unlisted contracts were not used in this incarnation.
    Unused,
}

/// One node's use of one contract.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ContractDemand {
    /// The contract's name.
    pub contract: ContractName,
    /// Demand in requests per second.
    pub requests: f64,
    /// Demand in tokens per second.
    pub tokens: f64,
    /// Requests admitted in this incarnation.
    pub spent_requests: f64,
    /// Tokens admitted in this incarnation.
    pub spent_tokens: f64,
    /// Requests that the node may still admit before its next exchange.
    pub held_requests: f64,
    /// Tokens that the node may still admit before its next exchange.
    pub held_tokens: f64,
}

impl ContractDemand {
    /// Whether anything was asked for or admitted in this incarnation.
    pub fn is_used(&self) -> bool {
        0.0 < self.requests || 0.0 < self.spent_requests
    }
}

/// One node's demand for one model. Nodes divide capacity by it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// The model's name.
    pub model: ModelName,
    /// Number of long requests that run or wait.
    pub long: f64,
    /// Demand beyond the contracts, in generated tokens per second.
    pub beyond: f64,
    /// Work that was sent to replicas, in generated tokens per second.
    pub sent: f64,
    /// Demand of each organisation within its contracts.
    pub orgs: Vec<OrgDemand>,
}

/// One organisation's demand within its contracts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrgDemand {
    /// The organisation's name.
    pub org: OrgName,
    /// The organisation's weight in the division of capacity.
    pub weight: f64,
    /// Demand in generated tokens per second.
    pub asked: f64,
}
