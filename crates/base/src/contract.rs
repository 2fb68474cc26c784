//! What a caller was promised: one line of the operators' rules.

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

/// How urgent the work of a contract is to an engine. Smaller goes first.
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

/// What happens to a request when capacity runs short.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Overflow {
    /// Refused at once.
    Refuse,
    /// Waits for at most this long, then refused.
    Wait(Duration),
    /// Served by another model.
    Model(ModelName),
}

/// Which caller gets which model, how fast and how often.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Contract {
    /// The name of the rule.
    pub name: ContractName,
    /// Who may use it.
    pub callers: Vec<CallerName>,
    /// The organisation that pays.
    pub org: OrgName,
    /// The organisation's weight when capacity runs short.
    pub weight: u32,
    /// The model.
    pub model: ModelName,
    /// Time allowed to the first token.
    pub first_token: Duration,
    /// Tokens a second paid for in one answer.
    pub token_rate: TokenRate,
    /// Requests a second over all entry nodes together.
    pub request_rate: RequestRate,
    /// Requests that may come at once beyond the rate.
    pub burst: u32,
    /// Generated tokens a second over all requests together.
    pub total_token_rate: TokenRate,
    /// What happens when capacity runs short.
    pub overflow: Overflow,
    /// Urgency at the engine.
    pub priority: Priority,
}
