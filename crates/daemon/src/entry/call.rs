//! Serves calls to services.
//!
//! A service whose calls may not be repeated accepts them under an idempotency
//! key, and the call under a key runs at most once. Without a key such a call is sent
//! once, and no record of it is stored.

use std::rc::Rc;
use std::time::Duration;

use http::HeaderMap;
use http::Response;
use http::StatusCode;

use crate::entry::Arrival;
use crate::entry::service;
use crate::entry::service_calls;
use crate::metrics::Class;
use crate::metrics::observe_time;
use crate::node::Node;
use crate::problem::Problem;
use crate::problem_kind::ProblemKind;
use base::Digest;
use base::OrderKey;
use base::Ran;
use base::ServiceName;
use net::Body;
use net::ConnectionAccount;
use order::Answer;
use order::AnswerContent;
use order::Call;
use order::CallKind;
use order::KeyTerms;
use order::OpenError;
use order::OtherCalls;
use order::OutcomeQuery;
use order::Refusal;
use order::Sent;
use quorum::clock;
use rules::Repeat;
use rules::Service;
use state::StoredAnswer;
use state::StoredBody;

/// Delay before a retry after a temporary refusal. An earlier retry under the same key may
/// be refused again.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Set to `true` by a caller that has made no other call under the key and makes
/// none until this one is answered.
const FIRST_CALL_HEADER: &str = "x-first-call";

/// Serves one call to a service.
pub async fn call(
    node: &Rc<Node>,
    arrival: Arrival,
    service: &str,
    headers: &HeaderMap,
) -> Result<Response<Body>, Problem> {
    let rules = node.rules();
    let forbidden = |what: String| Problem::not_run(ProblemKind::NoService, what);
    let name: ServiceName = service.parse().map_err(|e| forbidden(format!("{e}")))?;
    let rule = rules.service_for(&arrival.caller.name, &name);
    let caller = &arrival.caller.name;
    let rule = rule.ok_or_else(|| forbidden(format!("no rule lets {caller} call {name}")))?;
    let class = Class {
        org: arrival.caller.org.to_string(),
        class: name.to_string(),
    };
    let mut class_request = node.start_class_request(class.clone());
    let request = service_calls::ServiceRequest {
        call: Call {
            service: name.clone(),
            kind: call_kind(&arrival, &name, rule, headers)?,
            deadline: rule.deadline,
        },
        body: arrival.body.clone(),
        headers: headers.clone(),
    };
    let answer = service_calls::make_call(node, request).await;
    let answer = answer.map_err(|e| open_error_problem(&e).with_class(&class))?;
    let response = respond(answer, &arrival.connection).await;
    let response = response.map_err(|problem| {
        let problem = tell_rest(problem, service::time_to_first(node, &name));
        problem.with_class(&class)
    })?;
    class_request.mark_answered();
    let total = clock::now().since(arrival.arrived);
    observe_time(&node.metrics.total, &class, total);
    Ok(response)
}

/// Tells a caller that no process was reached because all of them rest, and for how long.
fn tell_rest(problem: Problem, left: Option<Duration>) -> Problem {
    match (problem.kind, left) {
        (ProblemKind::NoUpstream, Some(left)) => {
            let what = "all processes of the service asked for rest";
            problem
                .replaced_by(ProblemKind::Resting, what)
                .retry_after(left)
        }
        _ => problem,
    }
}

fn open_error_problem(why: &OpenError) -> Problem {
    let kind = match why {
        OpenError::Busy { .. } => ProblemKind::NodeFull,
        OpenError::AfterPause => ProblemKind::JustWoke,
    };
    Problem::not_run(kind, why).retry_after(RETRY_AFTER)
}

/// Completes a refusal from before the ledger was asked: this call was not sent, but an
/// earlier one under the same key may have run.
pub fn refused_before_ledger(problem: Problem, headers: &HeaderMap) -> Problem {
    let is_keyed = headers.contains_key("idempotency-key");
    let others_possible = is_keyed && other_calls(headers) == OtherCalls::Possible;
    match problem.sent {
        None if others_possible => problem.ran_at_least(Ran::Unknown).sent(false),
        _ => problem,
    }
}

/// Whether a call may be repeated or runs at most once, by its service's rule and its key.
fn call_kind(
    arrival: &Arrival,
    name: &ServiceName,
    rule: &Service,
    headers: &HeaderMap,
) -> Result<CallKind, Problem> {
    if rule.repeat == Repeat::Allowed {
        return Ok(CallKind::Idempotent);
    }
    let Some(key) = headers.get("idempotency-key") else {
        return Ok(CallKind::Keyless);
    };
    let invalid = |e: String| Problem::not_run(ProblemKind::InvalidKey, e);
    let key = key.to_str().map_err(|e| invalid(e.to_string()))?;
    let key: OrderKey = key.parse().map_err(|e| invalid(format!("{e}")))?;
    Ok(CallKind::Keyed(KeyTerms {
        org: arrival.caller.org.clone(),
        key,
        body_digest: call_digest(name, headers, &arrival.body),
        outcome_query: match rule.ask {
            rules::OutcomeQuery::Allowed => OutcomeQuery::Supported,
            rules::OutcomeQuery::Never => OutcomeQuery::Unsupported,
        },
        other_calls: other_calls(headers),
        retention: rule.retention,
    }))
}

/// Whether the caller rules out other calls under the key.
fn other_calls(headers: &HeaderMap) -> OtherCalls {
    match headers.get(FIRST_CALL_HEADER) {
        Some(value) if value == "true" => OtherCalls::Excluded,
        _ => OtherCalls::Possible,
    }
}

fn call_digest(name: &ServiceName, headers: &HeaderMap, body: &[u8]) -> Digest {
    let content_type = headers.get("content-type");
    let content_type = content_type.map_or(&b""[..], |v| v.as_bytes());
    Digest::of(&[name.as_str().as_bytes(), content_type, body])
}

async fn respond(
    answer: Answer,
    connection: &ConnectionAccount,
) -> Result<Response<Body>, Problem> {
    let ran = answer.ran;
    match answer.content {
        AnswerContent::Fresh(stored) => stored_response(&stored, ran, "fresh", connection).await,
        AnswerContent::Stored(stored) => stored_response(&stored, ran, "stored", connection).await,
        // The other call under the key may have run.
        AnswerContent::Refused(Refusal::KeyReused) => Err(refusal_problem(&Refusal::KeyReused)
            .ran(Ran::Unknown)
            .sent(false)),
        AnswerContent::Refused(refusal) => {
            let sent = answer.sent == Sent::Yes;
            Err(refusal_problem(&refusal).ran(answer.ran).sent(sent))
        }
    }
}

/// The HTTP response for a service's answer, which is held until its caller took it.
async fn stored_response(
    stored: &StoredAnswer,
    ran: Ran,
    origin: &'static str,
    connection: &ConnectionAccount,
) -> Result<Response<Body>, Problem> {
    let body = match &stored.body {
        StoredBody::Kept(bytes) => {
            let held = connection.hold_answer(bytes.to_vec()).await;
            Body::whole(held.map_err(|e| {
                let problem = Problem::not_run(ProblemKind::AnswerLost, e);
                problem.ran(ran).sent(true)
            })?)
        }
        StoredBody::Dropped { .. } => Body::default(),
    };
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or_default();
    let headers = response.headers_mut();
    if let Ok(kind) = stored.content_type.parse() {
        headers.insert("content-type", kind);
    }
    if let Ok(ran) = ran.to_string().parse() {
        headers.insert("x-ran", ran);
    }
    headers.insert("x-answer", http::HeaderValue::from_static(origin));
    if let StoredBody::Dropped { bytes } = &stored.body {
        headers.insert("x-body-dropped-bytes", http::HeaderValue::from(*bytes));
    }
    Ok(response)
}

fn refusal_problem(refusal: &Refusal) -> Problem {
    let (kind, what) = match refusal {
        Refusal::KeyReused => (ProblemKind::KeyReused, "the key was used for another call"),
        Refusal::LedgerFull => (
            ProblemKind::LedgerFull,
            "the ledger has no room for another key",
        ),
        Refusal::NoQuorum => (ProblemKind::NoQuorum, "the voters could not be reached"),
        Refusal::Running { .. } => (ProblemKind::Running, "a call under this key may be running"),
        Refusal::OutcomeUnknown { .. } => (
            ProblemKind::OutcomeUnknown,
            "a call under this key may have run; it is never run again",
        ),
        Refusal::JustRefused => (
            ProblemKind::JustRefused,
            "a call under this key was just refused",
        ),
        Refusal::NoUpstream => (
            ProblemKind::NoUpstream,
            "no process of the service could be reached",
        ),
        Refusal::Declined => (
            ProblemKind::Declined,
            "the service refused the call without running it",
        ),
        Refusal::TooLate => (ProblemKind::TooLate, "the call could not be sent in time"),
        Refusal::AnswerLost => (
            ProblemKind::AnswerLost,
            "the call was sent and its answer was lost",
        ),
        Refusal::CallerGone => (ProblemKind::CallerGone, "the caller disconnected"),
    };
    let problem = Problem::not_run(kind, what);
    match kind {
        // A retry would give the same refusal.
        ProblemKind::KeyReused | ProblemKind::OutcomeUnknown | ProblemKind::AnswerLost => problem,
        _ => problem.retry_after(RETRY_AFTER),
    }
}
