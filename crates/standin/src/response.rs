//! Responses of the simulated processes.

use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;

use net::Body;
use wire::engine::NOT_RUN;
use wire::engine::RAN_HEADER;
use wire::engine::REQUEST_ID_HEADER;

/// A response with a plain text.
pub(crate) fn text_response(status: StatusCode, text: &'static str) -> Response<Body> {
    response_with(status, Body::whole(text))
}

/// The refusal of a request with these headers, which did not run.
pub(crate) fn refusal(
    status: StatusCode,
    text: &'static str,
    request: &HeaderMap,
) -> Response<Body> {
    let mut response = text_response(status, text);
    let headers = response.headers_mut();
    headers.insert(RAN_HEADER, HeaderValue::from_static(NOT_RUN));
    if let Some(id) = request.get(REQUEST_ID_HEADER) {
        headers.insert(REQUEST_ID_HEADER, id.clone());
    }
    response
}

/// A refusal that asks for rest.
pub(crate) fn asking_for_rest(secs: u32, request: &HeaderMap) -> Response<Body> {
    let mut response = refusal(StatusCode::SERVICE_UNAVAILABLE, "full", request);
    let headers = response.headers_mut();
    headers.insert(http::header::RETRY_AFTER, HeaderValue::from(secs));
    response
}

/// The refusal of an earlier request. It names that one, or none, in turn.
pub(crate) fn earlier_refusal(turn: u32) -> Response<Body> {
    let mut earlier = HeaderMap::new();
    if turn.is_multiple_of(2) {
        let id = HeaderValue::from_static("an-earlier-request");
        earlier.insert(REQUEST_ID_HEADER, id);
    }
    refusal(StatusCode::SERVICE_UNAVAILABLE, "full", &earlier)
}

/// A response without headers.
pub(crate) fn response_with(status: StatusCode, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}
