//! The response to a chat: a stream of events, or one whole completion.

use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::select_biased;
use http::Response;

use crate::entry::answer::Answer;
use crate::entry::chunk::END_MARKER;
use crate::entry::chunk::Frame;
use crate::entry::completion::CompleteAnswer;
use crate::entry::completion::completion;
use crate::entry::exchange::ExchangeError;
use crate::problem::Problem;
use crate::problem_kind::ProblemKind;
use base::Ran;
use net::Body;
use net::BodySender;

/// Streams an answer to its caller in the background.
pub(crate) fn stream_answer(answer: Answer) -> Response<Body> {
    let (tx, body) = Body::stream();
    let id = answer.id.clone();
    compio::runtime::spawn(stream_frames(answer, tx)).detach();
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(
        "content-type",
        http::HeaderValue::from_static("text/event-stream"),
    );
    headers.insert("cache-control", http::HeaderValue::from_static("no-store"));
    if let Ok(id) = id.parse() {
        headers.insert("x-request-id", id);
    }
    response
}

/// Forwards frames until the answer is complete, fails or its caller disconnects.
///
/// Dropping the answer closes the engine's connection, which cancels the request there.
async fn stream_frames(mut answer: Answer, tx: BodySender) {
    let stall = answer.node.settings.limits.stall_timeout;
    loop {
        let next = {
            let mut caller_gone = Box::pin(tx.closed()).fuse();
            let mut next = Box::pin(answer.next()).fuse();
            select_biased! {
                next = next => next,
                () = caller_gone => return,
            }
        };
        match next {
            Ok((Frame::Repeated, _)) => {}
            Ok((Frame::Done, _)) => {
                let _ = tx.send(sse_event(END_MARKER), stall).await;
                answer.record_finished();
                return;
            }
            Ok((Frame::Token { .. } | Frame::Finish { .. }, data)) => {
                if tx.send(sse_event(&data), stall).await.is_err() {
                    return;
                }
            }
            Err(e) => {
                let _ = tx.send(error_event(&e), stall).await;
                return;
            }
        }
    }
}

/// Reads an answer to its end and returns it as one response.
pub(crate) async fn collect_answer(mut answer: Answer) -> Result<Response<Body>, Problem> {
    let mut content = String::new();
    let mut finish_reason = String::new();
    loop {
        match answer.next().await {
            Ok((Frame::Token { text }, _)) => content += &text,
            Ok((Frame::Finish { reason }, _)) => finish_reason = reason,
            Ok((Frame::Repeated, _)) => {}
            Ok((Frame::Done, _)) => break,
            Err(e) => {
                return Err(broken_answer_problem(&e).ran(Ran::Run));
            }
        }
    }
    answer.record_finished();
    let model = &answer.placed.placement().model;
    let complete = CompleteAnswer {
        content,
        finish_reason,
        tokens: answer.frames.delivered_tokens(),
    };
    Ok(completion(&answer.id, model, complete))
}

fn sse_event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

/// The last event of an answer that failed. No end marker follows it.
fn error_event(error: &ExchangeError) -> Bytes {
    let problem = broken_answer_problem(error).ran(Ran::Run);
    let json = serde_json::to_string(&problem).unwrap_or_default();
    Bytes::from(format!("event: error\ndata: {{\"error\":{json}}}\n\n"))
}

fn broken_answer_problem(error: &ExchangeError) -> Problem {
    let what = format_args!("the answer broke off: {error}");
    let problem = Problem::not_run(ProblemKind::AnswerBroken, what);
    problem.retry_after(Duration::from_secs(1))
}
