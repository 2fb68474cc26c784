//! A request as it arrives at an entry node.

use base::ContractName;
use base::RequestId;
use base::Time;
use base::TokenCount;

/// A request as it arrives at an entry node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The request's id, never used again at this node.
    pub request: RequestId,
    /// The contract that the request counts against.
    pub contract: ContractName,
    /// Tokens of the prompt.
    pub prompt: TokenCount,
    /// The most tokens that the answer may have.
    pub max_tokens: TokenCount,
    /// A hash of the prompt's prefix, if other requests may share the prefix.
    pub prefix: Option<u64>,
    /// When the request arrived.
    pub now: Time,
}
