//! A caller's request in the form in which it is sent to upstreams.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Uri;
use http::header;
use http_body_util::Full;

use crate::entry::EntryHost;
use crate::platform::Headers;
use base::OrgName;
use base::PromptPartId;
use base::RequestContent;
use base::RequestDigest;
use base::RequestPart;
use base::UpstreamId;
use forward::IdUse;
use forward::TargetId;
use quorum::clock;

/// Headers that concern one connection only (hop-by-hop headers).
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// What is known of a caller by its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallerKey {
    /// The configuration has no keys, so what stands in their place isn't one.
    Unused,
    /// The route needs no key, and none is known for sure.
    Anonymous,
    /// The key is one of this organisation's.
    Of(OrgName),
}

impl CallerKey {
    /// The organisation that holds the key.
    pub fn organisation(&self) -> Option<&OrgName> {
        match self {
            Self::Unused | Self::Anonymous => None,
            Self::Of(organisation) => Some(organisation),
        }
    }
}

/// A caller's request in the form in which it is sent to upstreams.
#[derive(Clone, Debug)]
pub(crate) struct OutboundRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// How long an otherwise idle replica needs to read the prompt, in seconds.
    pub prompt_secs: f64,
    /// What the request is known by: the prompt's parts that other requests may share, and all of
    /// it.
    pub parts: Rc<[RequestPart]>,
    /// Whether the request is sent to find out whether a ban is still needed.
    pub is_trial: bool,
}

impl OutboundRequest {
    /// Builds the request without the headers of the caller's connection, and with the
    /// organisation in place of the caller's key, which no upstream gets.
    pub fn from_caller(
        head: &http::request::Parts,
        body: Bytes,
        names: &Headers,
        key: &CallerKey,
        shared_parts: Vec<PromptPartId>,
    ) -> Self {
        let organisation = key.organisation();
        let digest = RequestPart::Whole(digest(head, &body, organisation));
        let shared_parts = shared_parts.into_iter().map(RequestPart::Prompt);
        let mut headers = end_to_end(&head.headers);
        for name in [&names.target, &names.organisation, &names.deadline] {
            headers.remove(name);
        }
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        if *key != CallerKey::Unused {
            headers.remove(header::AUTHORIZATION);
        }
        if let Some(organisation) = organisation
            && let Ok(value) = HeaderValue::from_str(organisation.as_str())
        {
            headers.insert(names.organisation.clone(), value);
        }
        let uri = head
            .uri
            .path_and_query()
            .map(http::uri::PathAndQuery::as_str);
        Self {
            method: head.method.clone(),
            uri: uri.and_then(|path| path.parse().ok()).unwrap_or_default(),
            headers,
            body,
            prompt_secs: 0.0,
            parts: shared_parts.chain([digest]).collect(),
            is_trial: false,
        }
    }

    /// Whether the request is banned, and isn't the trial of the ban.
    pub fn is_banned(&self, entry: &EntryHost) -> bool {
        let guard = entry.part_guard.borrow();
        !self.is_trial && guard.is_banned(&self.parts, clock::now())
    }

    /// The request's id, if its caller gave it one.
    pub fn id(&self, names: &Headers) -> Option<&HeaderValue> {
        self.headers.get(&names.attempt_id)
    }

    /// Whether the target was sent a request with this id before.
    pub fn id_use(&self, entry: &EntryHost, target: &TargetId) -> IdUse {
        let id = self.id(entry.platform.headers());
        let sent_ids = entry.sent_ids.borrow();
        id.map_or(IdUse::First, |id| sent_ids.next_use(target, id.as_bytes()))
    }

    /// Records that the request is sent to a target.
    pub fn record_sent(&self, entry: &EntryHost, target: &TargetId) {
        if let Some(id) = self.id(entry.platform.headers()) {
            entry.sent_ids.borrow_mut().record(target, id.as_bytes());
        }
    }

    /// Builds the request for one target. `left` is the time that the caller still waits, and
    /// `after` the number of the last event that the caller has.
    pub fn for_target(
        &self,
        names: &Headers,
        target: &UpstreamId,
        left: Duration,
        after: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        headers.insert(names.deadline.clone(), (left.as_millis() as u64).into());
        if let Ok(value) = HeaderValue::from_str(target.as_str()) {
            headers.insert(names.target.clone(), value);
        }
        if let Some(after) = after {
            headers.insert(names.last_event.clone(), after.into());
        }
        *req.headers_mut() = headers;
        req
    }
}

/// The digest of a request. Headers don't count: some differ between repetitions.
fn digest(
    head: &http::request::Parts,
    body: &[u8],
    organisation: Option<&OrgName>,
) -> RequestDigest {
    let host = head.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or("");
    let path = head.uri.path_and_query();
    RequestDigest::of(&RequestContent {
        organisation,
        method: head.method.as_str(),
        host: &host.to_ascii_lowercase(),
        path: path.map_or("", |path| path.as_str()),
        body,
    })
}

/// The headers that concern more than one connection (end-to-end headers).
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_hop_by_hop =
            HOP_BY_HOP_HEADERS.contains(name) || named.iter().any(|other| other == name.as_str());
        if !is_hop_by_hop {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
