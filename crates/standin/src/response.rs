//! Responses of the simulated processes.

use http::Response;
use http::StatusCode;

use net::Body;

/// A response with a plain text.
pub(crate) fn text_response(status: StatusCode, text: &'static str) -> Response<Body> {
    response_with(status, Body::whole(text))
}

/// A response without headers.
pub(crate) fn response_with(status: StatusCode, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}
