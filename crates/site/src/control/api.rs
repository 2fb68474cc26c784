//! What upstreams and operators call.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use hyper::body::Incoming;

use crate::control::Control;
use crate::control::lead;
use crate::events::Event;
use crate::events::emit;
use crate::message::Beat;
use crate::message::ConfigRead;
use crate::message::ConfigText;
use crate::message::Offer;
use crate::message::Offered;
use crate::message::ReadConfig;
use crate::platform::ControlCall;
use base::NodeId;
use base::Time;
use base::UpstreamId;
use fleet::CompressedText;
use fleet::RosterChange;
use fleet::UpdateOutcome;
use net::Body;
use net::Server;
use net::ServerLimits;
use net::read_body;
use quorum::clock;

/// The largest body in bytes.
const BODY_BYTES: usize = 8 * 1024 * 1024;

/// How long a body may take to arrive.
const ARRIVAL: Duration = Duration::from_secs(5);

/// How long an operator's call may take.
const OPERATE_WITHIN: Duration = Duration::from_millis(900);

/// Time between two tries to reach the leader.
const RETRY: Duration = Duration::from_millis(60);

/// How long the leader may take to answer.
const LEADER_WITHIN: Duration = Duration::from_millis(900);

/// Listens for upstreams and operators.
pub(crate) async fn bind(control: &Rc<Control>) -> std::io::Result<Server> {
    let addr = control.own.addr;
    let control = Rc::clone(control);
    let bounds = ServerLimits {
        header_timeout: Duration::from_secs(60),
        ..ServerLimits::default()
    };
    Server::bind(addr, bounds, move |req| answer(Rc::clone(&control), req)).await
}

async fn answer(control: Rc<Control>, req: Request<Incoming>) -> Response<Body> {
    let (head, body) = req.into_parts();
    let call = control.platform.control_call(&head.method, head.uri.path());
    let body = match read_body(body, BODY_BYTES, ARRIVAL).await {
        Ok(body) => body,
        Err(e) => return say(StatusCode::BAD_REQUEST, &e.to_string()),
    };
    match call {
        ControlCall::Announce(id) => announce(&control, id, &body),
        ControlCall::Leave(id) => leave(&control, &id),
        ControlCall::PutConfiguration => put(&control, &body).await,
        ControlCall::ReadConfiguration => read(&control).await,
        ControlCall::Unknown => say(StatusCode::NOT_FOUND, "there is no such call"),
    }
}

fn announce(control: &Control, id: UpstreamId, body: &Bytes) -> Response<Body> {
    let said = match control.platform.announcement(id.clone(), body) {
        Ok(said) => said,
        Err(e) => {
            let error = e.to_string();
            emit(&Event::UpstreamUnreadable { id: &id, error });
            return say(StatusCode::BAD_REQUEST, &e.to_string());
        }
    };
    let beat = Beat {
        id: id.clone(),
        life: said.incarnation,
        sequence: said.sequence,
    };
    let heard = control
        .roster
        .borrow_mut()
        .record_announcement(said.clone(), clock::now());
    control.heard(&id, heard);
    let mut untold = control.untold.borrow_mut();
    match heard {
        UpdateOutcome::Changed => {
            untold.changes.push(RosterChange::Announced(said));
            control.telling.ring();
        }
        UpdateOutcome::Refreshed => untold.beats.push(beat),
        UpdateOutcome::Ignored => {}
    }
    json(StatusCode::OK, "{}")
}

fn leave(control: &Control, id: &UpstreamId) -> Response<Body> {
    let life = control
        .roster
        .borrow()
        .get(id)
        .map(|entry| entry.announcement.incarnation);
    let heard = control
        .roster
        .borrow_mut()
        .record_departure(id, None, clock::now());
    control.heard(id, heard);
    if let Some(life) = life {
        let id = id.clone();
        let change = RosterChange::Gone {
            id,
            incarnation: life,
        };
        control.untold.borrow_mut().changes.push(change);
        control.telling.ring();
    }
    json(StatusCode::OK, "{}")
}

async fn put(control: &Rc<Control>, body: &Bytes) -> Response<Body> {
    let Ok(text) = std::str::from_utf8(body) else {
        return say(StatusCode::BAD_REQUEST, "the configuration is no text");
    };
    let version = match control.platform.configuration(text) {
        Ok(configuration) => configuration.version,
        Err(findings) => {
            let first = findings.list.first();
            emit(&Event::ConfigRefused {
                findings: findings.list.len(),
                first: first.map(ToString::to_string).unwrap_or_default(),
            });
            return say(StatusCode::BAD_REQUEST, &findings.to_string());
        }
    };
    let configuration = ConfigText {
        version,
        text: CompressedText::compress(text),
    };
    let offered = offer(control, configuration).await;
    let (status, outcome) = match offered {
        Offered::Taken => (StatusCode::OK, "taken"),
        Offered::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "too large"),
        Offered::NotLeading { .. } => (StatusCode::SERVICE_UNAVAILABLE, "no leader"),
        Offered::Unknown => (StatusCode::SERVICE_UNAVAILABLE, "unknown"),
    };
    emit(&Event::ConfigTaken { version, outcome });
    match status {
        StatusCode::OK => json(status, "{}"),
        _ => say(status, outcome),
    }
}

fn show(newest: &ConfigText) -> Response<Body> {
    match newest.text.decompress() {
        Ok(text) => json(StatusCode::OK, text),
        Err(e) => {
            let error = e.to_string();
            let version = newest.version;
            emit(&Event::ConfigUnreadable { version, error });
            say(
                StatusCode::SERVICE_UNAVAILABLE,
                "the configuration cannot be read",
            )
        }
    }
}

/// Offers a configuration to whoever leads.
async fn offer(control: &Rc<Control>, configuration: ConfigText) -> Offered {
    let until = clock::now() + OPERATE_WITHIN;
    let mut hint = None;
    loop {
        let offered = match leader(control, hint) {
            Some(leader) if leader == control.settings.node() => {
                lead::offer_here(control, configuration.clone()).await
            }
            Some(leader) => {
                let call = Offer {
                    configuration: configuration.clone(),
                };
                let addr = control.settings.internal(leader);
                let within = left(until).min(LEADER_WITHIN);
                match control.peers.call(addr, &call, within).await {
                    Ok(offered) => offered,
                    Err(e) => {
                        log::debug!("the leader {leader} took no offer: {e}");
                        Offered::Unknown
                    }
                }
            }
            None => Offered::NotLeading { leader: None },
        };
        hint = match offered {
            Offered::NotLeading { leader } => leader,
            other => return other,
        };
        if until <= clock::now() + RETRY {
            return offered;
        }
        compio::time::sleep(RETRY).await;
    }
}

async fn read(control: &Rc<Control>) -> Response<Body> {
    let until = clock::now() + OPERATE_WITHIN;
    let mut hint = None;
    loop {
        let read = match leader(control, hint) {
            Some(leader) if leader == control.settings.node() => lead::read_here(control),
            Some(leader) => {
                let addr = control.settings.internal(leader);
                let within = left(until).min(LEADER_WITHIN);
                match control.peers.call(addr, &ReadConfig {}, within).await {
                    Ok(read) => read,
                    Err(e) => {
                        log::debug!("the leader {leader} was not read: {e}");
                        ConfigRead::NotLeading { leader: None }
                    }
                }
            }
            None => ConfigRead::NotLeading { leader: None },
        };
        hint = match read {
            ConfigRead::Newest(newest) => return show(&newest),
            ConfigRead::None => return say(StatusCode::NOT_FOUND, "there is no configuration yet"),
            ConfigRead::NotLeading { leader } => leader,
        };
        if until <= clock::now() + RETRY {
            return say(StatusCode::SERVICE_UNAVAILABLE, "nobody leads");
        }
        compio::time::sleep(RETRY).await;
    }
}

fn leader(control: &Control, hint: Option<NodeId>) -> Option<NodeId> {
    match control.leads() {
        true => Some(control.settings.node()),
        false => hint.or_else(|| control.known_leader()),
    }
}

fn left(until: Time) -> Duration {
    until.since(clock::now())
}

fn json(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::whole(text));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// An answer that says something in words.
fn say(status: StatusCode, what: &str) -> Response<Body> {
    let text = serde_json::json!({ "error": what }).to_string();
    json(status, text)
}
