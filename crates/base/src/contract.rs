//! Contracts: what the operators' rules promise to callers.

use std::time::Duration;

use derive_more::Display;
use derive_more::FromStr;
use serde::Deserialize;
use serde::Serialize;

use crate::CallerName;
use crate::ContractName;
use crate::ModelName;
use crate::OrgName;
use crate::RequestRate;
use crate::TokenRate;

/// The priority of a contract's requests at an engine. A smaller number goes first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    FromStr,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u8);

/// What happens to a request when there is not enough capacity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Overflow {
    /// The request is refused at once.
    Refuse,
    /// The request waits for at most this long and is then refused.
    Wait(Duration),
    /// The request is served by this other model.
    Model(ModelName),
}

/// One contract of the rules: which callers may use a model, how fast and how often.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Contract {
    /// The name of the contract.
    pub name: ContractName,
    /// The callers that may use the contract.
    pub callers: Vec<CallerName>,
    /// The organisation that pays.
    pub org: OrgName,
    /// The organisation's share, as a weight, when there is not enough capacity.
    pub weight: u32,
    /// The model that the contract is for.
    pub model: ModelName,
    /// The longest time to the first token.
    pub first_token: Duration,
    /// Tokens per second within one answer.
    pub token_rate: TokenRate,
    /// Requests per second, over all entry nodes together.
    pub request_rate: RequestRate,
    /// The number of requests that may come at once above the rate.
    pub burst: u32,
    /// Generated tokens per second, over all requests together.
    pub total_token_rate: TokenRate,
    /// What happens to a request when there is not enough capacity.
    pub overflow: Overflow,
    /// The priority of the requests at an engine.
    pub priority: Priority,
}
