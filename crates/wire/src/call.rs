//! Calls between processes, in JSON-RPC 2.0 with one positional parameter.

use derive_more::Display;
use derive_more::Error;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::Id;
use jsonrpsee::types::Request;
use jsonrpsee::types::Response;
use jsonrpsee::types::ResponsePayload;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

/// The parameter of a call between two processes.
pub trait Call: Serialize + DeserializeOwned + 'static {
    /// The name of the JSON-RPC method.
    const METHOD: &'static str;
    /// The result of the call.
    type Reply: Serialize + DeserializeOwned + Clone + 'static;
}

/// The kind of a [`Fault`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The call is invalid. A resend would fail too.
    #[display("invalid")]
    Invalid,
    /// The call had no effect and may be retried later, or at another process.
    #[display("unavailable")]
    Unavailable,
    /// The call may or may not have taken effect.
    #[display("unknown")]
    Unknown,
}

/// An error with which a process answers a call.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
#[display("{kind}: {message}")]
pub struct Fault {
    /// The kind of the error.
    pub kind: FaultKind,
    /// What is wrong, with all details.
    pub message: String,
}

/// The bytes are not a valid reply to the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("not a readable reply")]
pub struct UnreadableReply;

impl Fault {
    /// Creates an error for an invalid call.
    pub fn invalid(message: impl ToString) -> Self {
        Self {
            kind: FaultKind::Invalid,
            message: message.to_string(),
        }
    }

    /// Creates an error for a call that had no effect and may be retried.
    pub fn unavailable(message: impl ToString) -> Self {
        Self {
            kind: FaultKind::Unavailable,
            message: message.to_string(),
        }
    }

    /// Creates an error for a call that may or may not have taken effect.
    pub fn unknown(message: impl ToString) -> Self {
        Self {
            kind: FaultKind::Unknown,
            message: message.to_string(),
        }
    }
}

const INVALID_CODE: i32 = -32602;
const UNAVAILABLE_CODE: i32 = -32001;
const UNKNOWN_CODE: i32 = -32002;

impl From<Fault> for ErrorObjectOwned {
    fn from(fault: Fault) -> Self {
        let code = match fault.kind {
            FaultKind::Invalid => INVALID_CODE,
            FaultKind::Unavailable => UNAVAILABLE_CODE,
            FaultKind::Unknown => UNKNOWN_CODE,
        };
        Self::owned(code, fault.message, None::<()>)
    }
}

impl From<ErrorObjectOwned> for Fault {
    fn from(error: ErrorObjectOwned) -> Self {
        let kind = match error.code() {
            UNAVAILABLE_CODE => FaultKind::Unavailable,
            UNKNOWN_CODE => FaultKind::Unknown,
            _ => FaultKind::Invalid,
        };
        Self {
            kind,
            message: error.message().to_owned(),
        }
    }
}

/// Encodes a call.
pub fn encode_call<C: Call>(call: &C) -> Vec<u8> {
    let params = serde_json::value::to_raw_value(&[call]).unwrap_or_else(|_| json_null());
    let request = Request::borrowed(C::METHOD, Some(&params), Id::Number(1));
    serde_json::to_vec(&request).unwrap_or_default()
}

/// Decodes a reply.
pub fn decode_reply<C: Call>(bytes: &[u8]) -> Result<Result<C::Reply, Fault>, UnreadableReply> {
    let response: Response<'_, Owned<C::Reply>> =
        serde_json::from_slice(bytes).map_err(|_| UnreadableReply)?;
    Ok(match response.payload {
        ResponsePayload::Success(reply) => Ok(reply.into_owned().0),
        ResponsePayload::Error(error) => Err(error.into_owned().into()),
    })
}

/// A reply that owns its data, which [`Response`] may otherwise borrow from the bytes.
#[derive(Clone, Deserialize)]
#[serde(transparent)]
struct Owned<Reply>(Reply);

fn json_null() -> Box<RawValue> {
    RawValue::NULL.to_owned()
}
