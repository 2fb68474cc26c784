//! What is read of a chat request, and what the engine gets of it.

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

/// Tokens of an answer if the caller sets no bound.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// The largest bound on an answer's tokens.
const MAX_ANSWER_TOKENS: u32 = 32_768;

/// Bytes of a prompt that stand for one token, about.
const BYTES_PER_TOKEN: usize = 4;

/// Bytes at the start of a prompt that tell whether another shares it.
const PREFIX_BYTES: usize = 1024;

/// A chat request. What isn't read here goes to the engine as it came.
#[derive(Debug)]
pub struct ChatRequest {
    /// The model that is asked for.
    pub model: ModelName,
    /// Tokens that the answer may have.
    pub max_tokens: TokenCount,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Tokens of the prompt, about.
    pub prompt: TokenCount,
    /// Stands for the start of the prompt.
    pub prefix: u64,
    fields: BTreeMap<String, Box<RawValue>>,
}

#[derive(Deserialize)]
struct ReadFields {
    model: ModelName,
    #[serde(rename = "messages")]
    _messages: Vec<serde::de::IgnoredAny>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

impl ChatRequest {
    /// Reads a request's body.
    pub fn parse(body: &[u8]) -> Result<Self, Problem> {
        let invalid = |e| Problem::not_run(ProblemKind::InvalidRequest, e);
        let read: ReadFields = serde_json::from_slice(body).map_err(invalid)?;
        let max_tokens = read.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        Ok(Self {
            model: read.model,
            max_tokens: TokenCount(max_tokens.min(MAX_ANSWER_TOKENS)),
            stream: read.stream,
            prompt: TokenCount((body.len() / BYTES_PER_TOKEN) as u32),
            prefix: fnv::hash(&body[..body.len().min(PREFIX_BYTES)]),
            fields: serde_json::from_slice(body).map_err(invalid)?,
        })
    }

    /// The body for an engine: always streamed, bounded, and naming the model that serves.
    pub fn for_engine(&self, model: &ModelName) -> Bytes {
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
