//! Parses a chat request and builds the request for the engine from it.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::value::to_raw_value;

use crate::fnv;
use crate::problem::Problem;
use crate::problem_kind::ProblemKind;
use base::ModelName;
use base::TokenCount;

/// The most tokens of an answer if the caller sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// The most tokens of any answer. A larger limit set by a caller is lowered to this.
const MAX_ANSWER_TOKENS: u32 = 32_768;

/// Estimated bytes of a prompt for one token.
const BYTES_PER_TOKEN: usize = 4;

/// Bytes at the start of a request that are hashed to find requests with the same prefix.
const PREFIX_BYTES: usize = 1024;

/// A chat request. Fields that are not parsed here are sent to the engine unchanged.
#[derive(Debug)]
pub struct ChatRequest {
    /// The requested model.
    pub model: ModelName,
    /// The most tokens that the answer may have.
    pub max_tokens: TokenCount,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Estimated tokens of the prompt.
    pub prompt: TokenCount,
    /// A hash of the start of the request.
    pub prefix: u64,
    fields: BTreeMap<String, Box<RawValue>>,
}

#[derive(Deserialize)]
struct ParsedFields {
    model: ModelName,
    #[serde(rename = "messages")]
    _messages: Vec<serde::de::IgnoredAny>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

impl ChatRequest {
    /// Parses the body of a request.
    pub fn parse(body: &[u8]) -> Result<Self, Problem> {
        let invalid = |e| Problem::not_run(ProblemKind::InvalidRequest, e);
        let parsed: ParsedFields = serde_json::from_slice(body).map_err(invalid)?;
        let max_tokens = parsed.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        Ok(Self {
            model: parsed.model,
            max_tokens: TokenCount(max_tokens.min(MAX_ANSWER_TOKENS)),
            stream: parsed.stream,
            prompt: TokenCount((body.len() / BYTES_PER_TOKEN) as u32),
            prefix: fnv::hash(&body[..body.len().min(PREFIX_BYTES)]),
            fields: serde_json::from_slice(body).map_err(invalid)?,
        })
    }

    /// The body for an engine: always streamed, with a token limit and the model that serves it.
    pub fn engine_body(&self, model: &ModelName) -> Bytes {
        let mut fields = self.fields.clone();
        let mut set = |name: &str, value: Result<Box<RawValue>, serde_json::Error>| {
            if let Ok(value) = value {
                fields.insert(name.to_owned(), value);
            }
        };
        set("model", to_raw_value(model));
        set("max_tokens", to_raw_value(&self.max_tokens));
        set("stream", to_raw_value(&true));
        Bytes::from(serde_json::to_vec(&fields).unwrap_or_default())
    }
}
