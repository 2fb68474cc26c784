//! Chat requests, and simulated completions that depend on nothing but the prompt.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// The body of a request for a chat completion.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ChatRequest {
    pub(crate) messages: Vec<Message>,
    #[serde(default = "default_max_tokens")]
    pub(crate) max_tokens: u32,
}

/// One message of a chat.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Message {
    #[serde(default)]
    pub(crate) content: Value,
}

/// One frame of a streamed completion.
#[derive(Debug, Serialize)]
pub(crate) struct Chunk<'a> {
    pub(crate) id: &'a str,
    pub(crate) object: &'static str,
    pub(crate) model: &'a str,
    /// The index of the token in the completion, from zero.
    pub(crate) index: u32,
    pub(crate) choices: [Choice; 1],
}

#[derive(Debug, Serialize)]
pub(crate) struct Choice {
    pub(crate) index: u32,
    pub(crate) delta: Delta,
    pub(crate) finish_reason: Option<&'static str>,
}

#[derive(Debug, Default, Serialize)]
pub(crate) struct Delta {
    pub(crate) content: String,
}

fn default_max_tokens() -> u32 {
    16
}

impl ChatRequest {
    /// The approximate length of the prompt in tokens, at four bytes per token.
    pub(crate) fn prompt_tokens(&self) -> u32 {
        let bytes: usize = self.messages.iter().map(|m| m.text().len()).sum();
        (bytes / 4).max(1) as u32
    }

    /// A hash of the prompt.
    pub(crate) fn prompt_digest(&self) -> u32 {
        let texts = self.messages.iter().map(Message::text);
        texts.flat_map(String::into_bytes).fold(17, |sum, byte| {
            sum.wrapping_mul(31).wrapping_add(u32::from(byte))
        })
    }

    /// The token of the completion at `index`, the same on every host.
    pub(crate) fn token_text(&self, index: u32) -> String {
        let word = self
            .prompt_digest()
            .wrapping_add(index.wrapping_mul(2_654_435_761))
            % 1000;
        format!(" w{index}.{word}")
    }
}

impl Message {
    fn text(&self) -> String {
        match &self.content {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        }
    }
}

impl<'a> Chunk<'a> {
    pub(crate) fn token(id: &'a str, model: &'a str, index: u32, content: String) -> Self {
        Self::new(id, model, index, content, None)
    }

    pub(crate) fn end(id: &'a str, model: &'a str, index: u32) -> Self {
        Self::new(id, model, index, String::new(), Some("stop"))
    }

    fn new(
        id: &'a str,
        model: &'a str,
        index: u32,
        content: String,
        finish_reason: Option<&'static str>,
    ) -> Self {
        Self {
            id,
            object: "chat.completion.chunk",
            model,
            index,
            choices: [Choice {
                index: 0,
                delta: Delta { content },
                finish_reason,
            }],
        }
    }

    pub(crate) fn to_event(&self) -> String {
        format!(
            "data: {}\n\n",
            serde_json::to_string(self).unwrap_or_default()
        )
    }
}
