//! What entry nodes tell each other about the use of the contracts.

use serde::Deserialize;
use serde::Serialize;

use base::ContractName;
use base::Incarnation;
use base::ModelName;
use base::NodeId;
use base::OrgName;

/// One node's use of the contracts. A later one replaces an earlier one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// The node.
    pub node: NodeId,
    /// Its process's life. Totals start at zero in each.
    pub incarnation: Incarnation,
    /// Counts the reports of this life.
    pub sequence: u64,
    /// The contracts that were used in this life, and those that others list.
    pub contracts: Vec<ContractDemand>,
    /// What is known of the contracts that aren't listed.
    pub others: Unlisted,
    /// The models in use.
    pub models: Vec<ModelDemand>,
}

/// What a report says of contracts that it doesn't list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unlisted {
    /// Nothing: a part of the report is missing.
    #[default]
    Unknown,
    /// They were not used in this life.
    Unused,
}

/// One node's use of one contract.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ContractDemand {
    /// The contract.
    pub contract: ContractName,
    /// Requests asked for a second.
    pub requests: f64,
    /// Tokens asked for a second.
    pub tokens: f64,
    /// Requests admitted in this life.
    pub spent_requests: f64,
    /// Tokens admitted in this life.
    pub spent_tokens: f64,
    /// Requests that it may still admit before it hears of the others.
    pub held_requests: f64,
    /// Tokens that it may still admit before it hears of the others.
    pub held_tokens: f64,
}

impl ContractDemand {
    /// True if anything was asked for or admitted in this life.
    pub fn is_used(&self) -> bool {
        0.0 < self.requests || 0.0 < self.spent_requests
    }
}

/// One node's work for one model that the nodes divide the replicas by.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// The model.
    pub model: ModelName,
    /// Long requests that run or wait.
    pub long: f64,
    /// Work beyond the contracts that is asked for a second, in generated tokens.
    pub beyond: f64,
    /// Work sent a second, in generated tokens.
    pub sent: f64,
    /// Work that each organisation asks for within its contracts.
    pub orgs: Vec<OrgDemand>,
}

/// One organisation's work within its contracts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrgDemand {
    /// The organisation.
    pub org: OrgName,
    /// Its weight.
    pub weight: f64,
    /// Work asked for a second, in generated tokens.
    pub asked: f64,
}
