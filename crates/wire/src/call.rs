//! The envelope of a call: JSON-RPC 2.0 with one positional parameter.

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

/// A call between two processes.
pub trait Call: Serialize + DeserializeOwned + 'static {
    /// The name of its method.
    const METHOD: &'static str;
    /// What comes back.
    type Reply: Serialize + DeserializeOwned + Clone + 'static;
}

/// Why a process refused a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The call cannot be meant like this.
    #[display("invalid")]
    Invalid,
    /// It may be tried again later, or elsewhere. Nothing was done.
    #[display("unavailable")]
    Unavailable,
    /// It may or may not have been done.
    #[display("unknown")]
    Unknown,
}

/// A refusal of a call.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
#[display("{kind}: {message}")]
pub struct Fault {
    /// What kind of refusal.
    pub kind: FaultKind,
    /// What is wrong, in full.
    pub message: String,
}

/// Bytes that are not a reply to the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("not a readable reply")]
pub struct UnreadableReply;

impl Fault {
    /// The call cannot be meant like this.
    pub fn invalid(message: impl ToString) -> Self {
        Self {
            kind: FaultKind::Invalid,
            message: message.to_string(),
        }
    }

    /// Nothing was done, and it may be tried again.
    pub fn unavailable(message: impl ToString) -> Self {
        Self {
            kind: FaultKind::Unavailable,
            message: message.to_string(),
        }
    }

    /// It may or may not have been done.
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

/// The bytes of a call.
pub fn encode_call<C: Call>(call: &C) -> Vec<u8> {
    let params = serde_json::value::to_raw_value(&[call]).unwrap_or_else(|_| null());
    let request = Request::borrowed(C::METHOD, Some(&params), Id::Number(1));
    serde_json::to_vec(&request).unwrap_or_default()
}

/// What the bytes of a reply say.
pub fn decode_reply<C: Call>(bytes: &[u8]) -> Result<Result<C::Reply, Fault>, UnreadableReply> {
    let response: Response<'_, Owned<C::Reply>> =
        serde_json::from_slice(bytes).map_err(|_| UnreadableReply)?;
    Ok(match response.payload {
        ResponsePayload::Success(reply) => Ok(reply.into_owned().0),
        ResponsePayload::Error(error) => Err(error.into_owned().into()),
    })
}

/// Lets a reply be owned whatever it borrows from.
#[derive(Clone, Deserialize)]
#[serde(transparent)]
struct Owned<Reply>(Reply);

fn null() -> Box<RawValue> {
    RawValue::NULL.to_owned()
}
