//! The answer to one chat request, streamed token by token, with simulated faults.

use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;

use crate::batch::RequestKey;
use crate::engine::Engine;
use crate::fault::Endless;
use crate::head::parse_header;
use crate::prompt::ChatRequest;
use crate::prompt::Chunk;
use crate::response::asking_for_rest;
use crate::response::earlier_refusal;
use crate::response::refusal;
use base::Assignment;
use base::Priority;
use net::Body;
use net::BodySender;
use wire::engine::FENCE_HEADER;
use wire::engine::PRIORITY_HEADER;
use wire::engine::REPLICA_HEADER;
use wire::engine::REQUEST_ID_HEADER;
use wire::engine::RESUME_HEADER;

/// Time after which a client that reads nothing is given up.
const READER_TIMEOUT: Duration = Duration::from_secs(30);

/// The priority of a request that names none.
const DEFAULT_PRIORITY: Priority = Priority(5);

/// The number of tokens that the batch may be ahead of the client.
const TOKEN_BACKLOG: usize = 1024;

/// Starts to answer a chat request if it names the replica that this host serves.
pub(crate) fn start_completion(
    engine: Rc<Engine>,
    headers: &HeaderMap,
    body: &[u8],
) -> Response<Body> {
    let Some(assignment) = engine.requested_assignment(headers) else {
        let text = "this host does not serve that replica";
        return refusal(StatusCode::CONFLICT, text, headers);
    };
    let Ok(chat) = serde_json::from_slice::<ChatRequest>(body) else {
        return refusal(StatusCode::BAD_REQUEST, "not a chat request", headers);
    };
    if let Some(secs) = engine.faults.rest_secs {
        eprintln!("a request is turned away, {secs} s of rest are asked for");
        return asking_for_rest(secs, headers);
    }
    if engine.faults.earlier_refusals {
        let turn = fastrand::u32(..);
        return earlier_refusal(turn);
    }
    let job = CompletionJob::new(&engine, assignment, chat, headers);
    let (tx, body) = Body::stream();
    let response = job.response(body);
    compio::runtime::spawn(stream_completion(engine, job, tx)).detach();
    response
}

/// A request that is being answered.
struct CompletionJob {
    assignment: Assignment,
    chat: ChatRequest,
    id: String,
    priority: Priority,
    /// The index of the first token to send.
    first_token: u32,
    /// The number of tokens after which the connection is dropped.
    drop_after: Option<u32>,
}

impl CompletionJob {
    fn new(
        engine: &Engine,
        assignment: Assignment,
        chat: ChatRequest,
        headers: &HeaderMap,
    ) -> Self {
        let first_token: u32 = parse_header(headers, RESUME_HEADER).unwrap_or(0);
        let drop_after = engine.faults.cut_after;
        let drop_after = drop_after.filter(|after| first_token == 0 && *after < chat.max_tokens);
        Self {
            assignment,
            chat,
            id: parse_header(headers, REQUEST_ID_HEADER).unwrap_or_default(),
            priority: parse_header(headers, PRIORITY_HEADER).unwrap_or(DEFAULT_PRIORITY),
            first_token,
            drop_after,
        }
    }

    /// The response that streams the answer.
    fn response(&self, body: Body) -> Response<Body> {
        let mut builder = Response::builder();
        if self.drop_after.is_some() {
            // A body that ends before its content length breaks the connection.
            builder = builder.header("content-length", u32::MAX);
        }
        builder
            .header("content-type", "text/event-stream")
            .header(REPLICA_HEADER, self.assignment.replica.to_string())
            .header(FENCE_HEADER, self.assignment.fence.to_string())
            .body(body)
            .unwrap_or_default()
    }

    /// The frame that ends the answer.
    fn end_frame(&self) -> String {
        let model = self.assignment.model.as_str();
        Chunk::end(&self.id, model, self.chat.max_tokens).to_event()
    }
}

/// A request's slot in the batch, which is freed however the completion ends.
struct BatchSlot {
    engine: Rc<Engine>,
    key: RequestKey,
}

impl BatchSlot {
    /// Adds a request to the batch. Returns also the channel that gets a message per token.
    fn open(engine: &Rc<Engine>, job: &CompletionJob) -> (Self, Receiver<()>) {
        let (token_sender, tokens) = async_channel::bounded(TOKEN_BACKLOG);
        let chat = &job.chat;
        let key = engine.batch.borrow_mut().add_request(
            job.priority,
            chat.prompt_tokens(),
            chat.prompt_digest(),
        );
        engine.token_senders.borrow_mut().insert(key, token_sender);
        let engine = Rc::clone(engine);
        (Self { engine, key }, tokens)
    }
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        self.engine.batch.borrow_mut().remove_request(self.key);
        self.engine.token_senders.borrow_mut().remove(&self.key);
    }
}

/// Sends the answer token by token, until its end or until the client or the replica is gone.
async fn stream_completion(engine: Rc<Engine>, job: CompletionJob, tx: BodySender) {
    let (_slot, tokens) = BatchSlot::open(&engine, &job);
    for index in job.first_token..job.chat.max_tokens {
        let may_continue = !tx.is_closed() && engine.still_serves(&job.assignment);
        if job.drop_after == Some(index) || tokens.recv().await.is_err() || !may_continue {
            return;
        }
        for frame in token_frames(&engine, &job, index) {
            if tx.send(Bytes::from(frame), READER_TIMEOUT).await.is_err() {
                return;
            }
        }
        if let Some(endless) = engine.faults.endless
            && 1 < job.chat.max_tokens
        {
            return send_without_end(&job, endless, index, &tx).await;
        }
    }
    let mut end = job.end_frame();
    if !engine.faults.no_end {
        end += "data: [DONE]\n\n";
    }
    let _ = tx.send(Bytes::from(end), READER_TIMEOUT).await;
}

/// Sends what belongs to no answer after the token `index`, until the client is gone.
async fn send_without_end(job: &CompletionJob, endless: Endless, index: u32, tx: &BodySender) {
    let model = job.assignment.model.as_str();
    let token = |index| Chunk::token(&job.id, model, index, "x".to_owned()).to_event();
    for count in 1.. {
        let piece = match endless {
            Endless::Text => "data: more ".repeat(1_000),
            Endless::Comments => ": a comment\n\n".repeat(1_000),
            Endless::Repeats => token(index),
            Endless::Tokens => token(index + count),
        };
        if tx.send(Bytes::from(piece), READER_TIMEOUT).await.is_err() {
            return;
        }
    }
}

/// The frames that are sent for one token, including those of simulated faults.
fn token_frames(engine: &Engine, job: &CompletionJob, index: u32) -> Vec<String> {
    let model = job.assignment.model.as_str();
    let token_text = || job.chat.token_text(index);
    let own_frame = Chunk::token(&job.id, model, index, token_text()).to_event();
    let mut frames = Vec::new();
    if engine.faults.foreign_frames && engine.foreign_frames.is_due() {
        let foreign_text = " foreign".to_owned();
        frames.push(Chunk::token("another-request", model, index, foreign_text).to_event());
    }
    if engine.faults.repeat_frames {
        frames.push(own_frame.clone());
    }
    frames.push(own_frame);
    frames
}
