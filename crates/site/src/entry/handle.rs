//! Handles incoming requests up to the first attempt: readiness, route, key and body.

use std::collections::BTreeSet;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::Either;
use futures_util::future::select;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http::request::Parts;

use crate::entry::EntryHost;
use crate::entry::Phase;
use crate::entry::answer::Refusal;
use crate::entry::answer::empty_response;
use crate::entry::attempt_guard::InFlightGuard;
use crate::entry::metrics::RequestLabels;
use crate::entry::outbound::CallerKey;
use crate::entry::outbound::OutboundRequest;
use crate::entry::request_forwarder::RequestForwarder;
use crate::events::Event;
use crate::events::emit;
use crate::events::join_parts;
use base::ModelName;
use base::OrgName;
use base::RequestPart;
use base::ServiceName;
use base::Time;
use fleet::Configuration;
use fleet::Route;
use forward::UnsentAttempts;
use net::Body;
use net::BodyError;
use net::Inbound;
use net::read_request;
use quarantine::Admission;
use quorum::clock;

/// The most tokens that a prompt counts for, whatever its caller says.
const MAX_PROMPT_TOKENS: f64 = 1e7;

/// Answers one request.
pub(crate) async fn handle(entry: Rc<EntryHost>, req: Request<Inbound>) -> Response<Body> {
    if entry.platform.is_readiness_path(req.uri().path()) {
        return readiness(&entry);
    }
    let arrived = clock::now();
    let in_flight = InFlightGuard::new(&entry);
    let (head, body) = req.into_parts();
    let configuration = Rc::clone(&entry.configuration.borrow());
    let mut response = match prepare(&entry, &configuration, &head, body, arrived, in_flight).await
    {
        Ok(forwarder) => forwarder.run().await,
        Err(rejection) => {
            record_rejection(&entry, &head, &rejection, arrived);
            rejection.refusal.response(&entry, None)
        }
    };
    if entry.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Answers a request at the address for readiness. Nothing else is served there, and no body read.
pub(crate) fn answer_readiness(entry: &EntryHost, req: &Request<Inbound>) -> Response<Body> {
    match entry.platform.is_readiness_path(req.uri().path()) {
        true => readiness(entry),
        false => empty_response(StatusCode::NOT_FOUND),
    }
}

fn readiness(entry: &EntryHost) -> Response<Body> {
    empty_response(match entry.phase.get() {
        Phase::Serving => StatusCode::OK,
        Phase::Starting | Phase::Leaving | Phase::Draining => StatusCode::SERVICE_UNAVAILABLE,
    })
}

/// The refusal of a request before its first attempt.
struct Rejection {
    refusal: Refusal,
    /// What the request is known by, if it was read whole.
    parts: Rc<[RequestPart]>,
}

impl From<Refusal> for Rejection {
    fn from(refusal: Refusal) -> Self {
        let parts = Rc::default();
        Self { refusal, parts }
    }
}

/// Records the refusal of a request before its first attempt.
fn record_rejection(entry: &EntryHost, head: &Parts, rejection: &Rejection, arrived: Time) {
    let refusal = rejection.refusal;
    entry.metrics.count_outcome("-", refusal.text());
    emit(&Event::Refused {
        id: &attempt_id(entry, head),
        route: "-",
        status: refusal.status().as_u16(),
        why: refusal.text(),
        waited_ms: clock::now().since(arrived).as_millis(),
        attempts: 0,
        version: entry.version.get(),
        age_ms: entry.confirmed_ago().as_millis(),
        parts: join_parts(&*rejection.parts),
    });
}

fn attempt_id(entry: &EntryHost, head: &Parts) -> String {
    let id = head.headers.get(&entry.platform.headers().attempt_id);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or("-");
    id.chars().take(64).collect()
}

async fn prepare(
    entry: &Rc<EntryHost>,
    configuration: &Configuration,
    head: &Parts,
    body: Inbound,
    arrived: Time,
    in_flight: InFlightGuard,
) -> Result<RequestForwarder, Rejection> {
    match entry.phase.get() {
        Phase::Starting => return Err(Refusal::Starting.into()),
        Phase::Draining => return Err(Refusal::Stopping.into()),
        Phase::Serving | Phase::Leaving => {}
    }
    let host = head
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let route = host.and_then(|host| configuration.route(host, head.uri.path()));
    let route = route.ok_or(Refusal::NoRoute)?.clone();
    let key = authenticate(entry, configuration, head, &route)?;
    if entry.is_leaving() && entry.is_too_late_for(&route) {
        return Err(Refusal::Stopping.into());
    }
    let connection = body.account().clone();
    let body = receive(entry, configuration, body).await?;
    let names = entry.platform.headers();
    let header_number = |name| {
        let value: Option<&HeaderValue> = head.headers.get(name);
        value.and_then(|value| value.to_str().ok()?.trim().parse::<u64>().ok())
    };
    let caller_timeout = header_number(&names.deadline).map(Duration::from_millis);
    let timeout = caller_timeout.map_or(route.timeout, |caller_timeout| {
        caller_timeout.min(route.timeout)
    });
    let draw = fastrand::u64(0..route.total_weight().max(1));
    let service = route
        .service_for_draw(draw)
        .ok_or(Refusal::NoTarget)?
        .clone();
    entry
        .retry_budget
        .borrow_mut()
        .record_request(&service, arrived);
    let prompt_tokens = prompt_tokens(head.headers.get(&names.token_counts));
    let model = head.headers.get(&names.model);
    let model: Option<ModelName> = model.and_then(|model| model.to_str().ok()?.parse().ok());
    let parts = head.headers.get(&names.prompt_parts);
    let parts = parts.and_then(|parts| parts.to_str().ok()).unwrap_or("");
    let shared_parts = entry.platform.parse_shared_parts(parts);
    let request = OutboundRequest::from_caller(head, body, names, &key, shared_parts);
    let admission = entry.part_guard.borrow_mut().admit(&request.parts, arrived);
    let is_trial = match admission {
        Admission::Allowed => false,
        Admission::Trial => true,
        Admission::Banned => {
            let (refusal, parts) = (Refusal::Banned, request.parts);
            return Err(Rejection { refusal, parts });
        }
    };
    let mut prompt_secs = 0.0;
    if let Some(model) = &model {
        prompt_secs = prompt_time_secs(configuration, &service, model, prompt_tokens);
        let mut arrivals = entry.arrivals.borrow_mut();
        let arrivals = arrivals.entry(model.clone()).or_default();
        arrivals.count += 1;
        arrivals.prompt_secs += prompt_secs;
    }
    Ok(RequestForwarder {
        request: OutboundRequest {
            prompt_secs,
            is_trial,
            ..request
        },
        id: attempt_id(entry, head),
        labels: RequestLabels {
            route: route.name.as_str().to_owned(),
            organisation: key
                .organisation()
                .map(OrgName::to_string)
                .unwrap_or_default(),
        },
        entry: Rc::clone(entry),
        caller: connection,
        deadline: arrived + timeout,
        route,
        service,
        model,
        arrived,
        attempts: 0,
        unsent_attempts: UnsentAttempts::default(),
        sent_at: arrived,
        may_have_run: false,
        is_resumable: true,
        path: None,
        avoid: BTreeSet::new(),
        _in_flight: in_flight,
    })
}

/// Reads the body of a request, unless this process stops before it is whole.
async fn receive(
    entry: &EntryHost,
    configuration: &Configuration,
    body: Inbound,
) -> Result<Bytes, Refusal> {
    let limits = configuration.caller_limits;
    let read = read_request(body, limits.body_bytes, limits.receive_timeout);
    let read = match select(pin!(read), pin!(entry.last_call.given())).await {
        Either::Left((read, _)) => read,
        Either::Right(_) => return Err(Refusal::Stopping),
    };
    read.map_err(|e| match e {
        BodyError::TooLarge { .. } => Refusal::TooLarge,
        BodyError::TooSlow { .. } | BodyError::Broken | BodyError::Unreadable => {
            Refusal::BodyIncomplete
        }
        BodyError::NoMemory => Refusal::NoMemory,
    })
}

/// The tokens that a prompt counts for, by what its caller says.
fn prompt_tokens(counts: Option<&HeaderValue>) -> f64 {
    let tokens = counts.and_then(|value| value.to_str().ok()?.split(',').next()?.parse().ok());
    let tokens: f64 = tokens.unwrap_or(0.0);
    match tokens.is_nan() {
        true => 0.0,
        false => tokens.clamp(0.0, MAX_PROMPT_TOKENS),
    }
}

/// How long an otherwise idle replica needs to read a prompt, in seconds.
fn prompt_time_secs(
    configuration: &Configuration,
    service: &ServiceName,
    model: &ModelName,
    tokens: f64,
) -> f64 {
    let service = configuration.services.get(service);
    let engine = service.and_then(|service| service.engine.as_ref());
    let secs = engine.and_then(|engine| Some(engine.prompt_secs(engine.model(model)?, tokens)));
    secs.unwrap_or(0.0)
}

/// What is known of a request's caller by its key. A route that requires a key is refused without.
fn authenticate(
    entry: &EntryHost,
    configuration: &Configuration,
    head: &Parts,
    route: &Route,
) -> Result<CallerKey, Refusal> {
    let Some(keys) = &configuration.orgs_by_key else {
        return Ok(CallerKey::Unused);
    };
    match (entry.are_keys_fresh(), route.public) {
        (true, _) => {}
        (false, true) => return Ok(CallerKey::Anonymous),
        (false, false) => return Err(Refusal::KeysUncertain),
    }
    let authorization = head.headers.get(header::AUTHORIZATION);
    let authorization = authorization.and_then(|value| value.to_str().ok());
    let key = authorization.and_then(|value| value.strip_prefix("Bearer "));
    let organisation = key.and_then(|key| keys.get(key.trim()));
    match (organisation, route.public) {
        (Some(organisation), _) => Ok(CallerKey::Of(organisation.clone())),
        (None, true) => Ok(CallerKey::Anonymous),
        (None, false) => Err(Refusal::NoKey),
    }
}
