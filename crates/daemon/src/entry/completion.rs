//! Chat completions in one response, for callers that don't want a stream.

use http::Response;
use serde::Serialize;

use base::ModelName;
use net::Body;

/// The text of a complete answer.
#[derive(Debug)]
pub struct CompleteAnswer {
    /// The text of all tokens.
    pub content: String,
    /// Why the answer ended, as the engine says.
    pub finish_reason: String,
    /// The number of tokens.
    pub tokens: u32,
}

#[derive(Debug, Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a ModelName,
    choices: [CompleteChoice; 1],
    usage: Usage,
}

#[derive(Debug, Serialize)]
struct CompleteChoice {
    index: u32,
    message: Message,
    finish_reason: String,
}

#[derive(Debug, Serialize)]
struct Message {
    role: &'static str,
    content: String,
}

#[derive(Debug, Serialize)]
struct Usage {
    completion_tokens: u32,
}

/// The response with a complete answer.
pub fn completion(id: &str, model: &ModelName, answer: CompleteAnswer) -> Response<Body> {
    let completion = Completion {
        id,
        object: "chat.completion",
        model,
        choices: [CompleteChoice {
            index: 0,
            message: Message {
                role: "assistant",
                content: answer.content,
            },
            finish_reason: answer.finish_reason,
        }],
        usage: Usage {
            completion_tokens: answer.tokens,
        },
    };
    let json = serde_json::to_vec(&completion).unwrap_or_default();
    let mut response = Response::new(Body::whole(json));
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert("content-type", json);
    response
}
