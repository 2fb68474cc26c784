//! The HTTP API for upstreams and operators.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;

use crate::control::ControlHost;
use crate::control::departures;
use crate::control::lead;
use crate::control::leader_search::LeaderSearch;
use crate::events::Event;
use crate::events::emit;
use crate::message::ConfigText;
use crate::message::OfferConfig;
use crate::message::OfferConfigReply;
use crate::message::ReadConfig;
use crate::message::ReadConfigReply;
use crate::platform::ControlCall;
use base::UpstreamId;
use fleet::CompressedText;
use fleet::DeparturesHeld;
use fleet::IgnoreReason;
use fleet::UpdateOutcome;
use memory::ListenerShare;
use net::Body;
use net::ConnectionAccount;
use net::Inbound;
use net::Server;
use net::ServerLimits;
use net::read_request;
use quorum::clock;

/// The largest accepted body in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// How long a body may take to arrive.
const BODY_RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// The part of upstreams and operators in the connections that the machine bears.
const API_SHARE: ListenerShare = ListenerShare {
    memory: 60,
    descriptors: 30,
};

/// Listens for upstreams and operators.
pub(crate) async fn bind(control: &Rc<ControlHost>) -> std::io::Result<Server> {
    let addr = control.role_settings.api_addr;
    let control = Rc::clone(control);
    let bounds = ServerLimits {
        memory: control.memory.clone(),
        share: API_SHARE,
        header_timeout: Duration::from_secs(60),
        ..ServerLimits::default()
    };
    Server::bind(addr, bounds, move |req| answer(Rc::clone(&control), req)).await
}

async fn answer(control: Rc<ControlHost>, req: Request<Inbound>) -> Response<Body> {
    let (head, body) = req.into_parts();
    let caller = body.account().clone();
    let call = control.platform.control_call(&head.method, head.uri.path());
    let read = || read_request(body, MAX_BODY_BYTES, BODY_RECEIVE_TIMEOUT);
    match call {
        ControlCall::Announce(id) => match read().await {
            Ok(body) => announce(&control, id, &body).await,
            Err(e) => error_response(e.status(), &e.to_string()),
        },
        ControlCall::PutConfiguration => match read().await {
            Ok(body) => put_configuration(&control, &body).await,
            Err(e) => error_response(e.status(), &e.to_string()),
        },
        // These are answered by their heads.
        ControlCall::Leave(id) => leave(&control, &id).await,
        ControlCall::ReadConfiguration => read_configuration(&control, &caller).await,
        ControlCall::Unknown => error_response(StatusCode::NOT_FOUND, "there is no such call"),
    }
}

async fn announce(control: &ControlHost, id: UpstreamId, body: &Bytes) -> Response<Body> {
    let announcement = match control.platform.parse_announcement(id.clone(), body) {
        Ok(announcement) => announcement,
        Err(e) => {
            let error = e.to_string();
            emit(&Event::UpstreamUnreadable { id: &id, error });
            return error_response(StatusCode::BAD_REQUEST, &e.to_string());
        }
    };
    let now = clock::now();
    let ignored = control.roster.borrow().reason_to_ignore(&announcement);
    if let Some(reason) = ignored {
        control.record_ignored(&announcement, reason);
    }
    let outcome = control
        .roster
        .borrow_mut()
        .record_announcement(announcement.clone(), now);
    control.record_update(&id, outcome);
    control
        .leader_reports
        .borrow_mut()
        .record_announcement(&announcement, outcome, now);
    if outcome == UpdateOutcome::Changed {
        control.observations_added.notify_waiters();
    }
    match (ignored, announcement.leaving) {
        // Nothing of the process is recorded, so nothing may be promised.
        (Some(IgnoreReason::RosterFull | IgnoreReason::UnknownService), _) => {
            let what = "the announcement is not recorded here";
            error_response(StatusCode::SERVICE_UNAVAILABLE, what)
        }
        // What is recorded of the process is as new, and may not be held by enough hosts yet.
        (_, true) => acknowledge_departure(control, &id).await,
        (_, false) => json_response(StatusCode::OK, "{}"),
    }
}

async fn leave(control: &ControlHost, id: &UpstreamId) -> Response<Body> {
    let Some(incarnation) = departures::wait_until_known(control, id).await else {
        emit(&Event::DepartureUnknown { id });
        let what = "the process is not known here";
        return error_response(StatusCode::SERVICE_UNAVAILABLE, what);
    };
    let now = clock::now();
    let outcome = control
        .roster
        .borrow_mut()
        .record_departure(id, incarnation, now);
    control.record_update(id, outcome);
    if outcome == UpdateOutcome::Changed {
        control
            .leader_reports
            .borrow_mut()
            .record_departure(id, incarnation, now);
        control.observations_added.notify_waiters();
    }
    acknowledge_departure(control, id).await
}

/// Answers a process that leaves, once it is certain that entry hosts will know.
async fn acknowledge_departure(control: &ControlHost, id: &UpstreamId) -> Response<Body> {
    match departures::wait_until_held(control, id).await {
        DeparturesHeld::ByEnough => json_response(StatusCode::OK, "{}"),
        DeparturesHeld::ByTooFew => {
            let what = "too few control hosts hold the departure";
            error_response(StatusCode::SERVICE_UNAVAILABLE, what)
        }
    }
}

async fn put_configuration(control: &Rc<ControlHost>, body: &Bytes) -> Response<Body> {
    let Ok(text) = std::str::from_utf8(body) else {
        return error_response(
            StatusCode::BAD_REQUEST,
            "the configuration is not UTF-8 text",
        );
    };
    let version = match control.platform.parse_configuration(text) {
        Ok(configuration) => configuration.version,
        Err(findings) => {
            let first = findings.list.first();
            emit(&Event::ConfigRefused {
                findings: findings.list.len(),
                first: first.map(ToString::to_string).unwrap_or_default(),
            });
            return error_response(StatusCode::BAD_REQUEST, &findings.to_string());
        }
    };
    let configuration = ConfigText {
        version,
        text: CompressedText::compress(text),
    };
    let reply = offer_to_leader(control, configuration).await;
    let (status, outcome) = match reply {
        OfferConfigReply::Accepted => (StatusCode::OK, "taken"),
        OfferConfigReply::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "too large"),
        OfferConfigReply::NotLeading { .. } => (StatusCode::SERVICE_UNAVAILABLE, "no leader"),
        OfferConfigReply::Unknown => (StatusCode::SERVICE_UNAVAILABLE, "unknown"),
    };
    emit(&Event::ConfigOffered { version, outcome });
    match status {
        StatusCode::OK => json_response(status, "{}"),
        _ => error_response(status, outcome),
    }
}

async fn configuration_response(
    control: &ControlHost,
    newest: &ConfigText,
    caller: &ConnectionAccount,
) -> Response<Body> {
    let (own_version, own_text) = control.local_voter.configuration();
    if own_version == newest.version {
        // All answers share the text that this voter holds.
        let text = Bytes::from_owner(Arc::<[u8]>::from(own_text));
        return json_response(StatusCode::OK, text);
    }
    match newest.text.decompress() {
        Ok(text) => match caller.hold_answer(text).await {
            Ok(text) => json_response(StatusCode::OK, text),
            Err(e) => error_response(StatusCode::SERVICE_UNAVAILABLE, &e.to_string()),
        },
        Err(e) => {
            let error = e.to_string();
            let version = newest.version;
            emit(&Event::ConfigUnreadable { version, error });
            error_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "the configuration cannot be read",
            )
        }
    }
}

/// Offers a configuration to the leader, which may be this control host.
async fn offer_to_leader(control: &Rc<ControlHost>, configuration: ConfigText) -> OfferConfigReply {
    let mut search = LeaderSearch::begin();
    loop {
        let reply = match search.leader(control) {
            Some(leader) if leader == control.settings.node_id() => {
                lead::propose_config(control, configuration.clone()).await
            }
            Some(leader) => {
                let call = OfferConfig {
                    configuration: configuration.clone(),
                };
                let reply = search.ask(control, leader, &call).await;
                reply.unwrap_or(OfferConfigReply::Unknown)
            }
            None => OfferConfigReply::NotLeading { leader: None },
        };
        let OfferConfigReply::NotLeading { leader } = reply else {
            return reply;
        };
        if !search.goes_on(leader).await {
            return reply;
        }
    }
}

async fn read_configuration(
    control: &Rc<ControlHost>,
    caller: &ConnectionAccount,
) -> Response<Body> {
    let mut search = LeaderSearch::begin();
    loop {
        let reply = match search.leader(control) {
            Some(leader) if leader == control.settings.node_id() => lead::read_config(control),
            Some(leader) => {
                let reply = search.ask(control, leader, &ReadConfig {}).await;
                reply.unwrap_or(ReadConfigReply::NotLeading { leader: None })
            }
            None => ReadConfigReply::NotLeading { leader: None },
        };
        let leader = match reply {
            ReadConfigReply::Newest(newest) => {
                return configuration_response(control, &newest, caller).await;
            }
            ReadConfigReply::None => {
                return error_response(StatusCode::NOT_FOUND, "there is no configuration yet");
            }
            ReadConfigReply::NotLeading { leader } => leader,
        };
        if !search.goes_on(leader).await {
            return error_response(StatusCode::SERVICE_UNAVAILABLE, "nobody leads");
        }
    }
}

fn json_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::whole(text));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// A response with an error text in JSON.
fn error_response(status: StatusCode, what: &str) -> Response<Body> {
    let text = serde_json::json!({ "error": what }).to_string();
    json_response(status, text)
}
