//! Requests that carry an order to a host, and their answers.
//!
//! Hosts don't say in an answer which order it is for. So an order, and the report that an order
//! rests on, is the only request of its connection: what an earlier request left there can't be
//! taken for its answer.

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http_body_util::Full;

use crate::platform::Platform;
use base::UpstreamId;
use form::Action;
use form::OrderAnswer;

/// The request that carries an order to a host. It names the host, so that another process that
/// has the address by now refuses it.
pub(crate) fn order_request(
    platform: &dyn Platform,
    host: &UpstreamId,
    action: &Action,
    begun_orders: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut req = platform.order_request(action, begun_orders);
    if let Ok(id) = HeaderValue::from_str(host.as_str()) {
        let target = platform.headers().target.clone();
        req.headers_mut().insert(target, id);
    }
    req
}

/// What the head of an answer says about the order of its connection.
pub(crate) fn order_answer<T>(platform: &dyn Platform, response: &Response<T>) -> OrderAnswer {
    let names = platform.headers();
    let headers = response.headers();
    let names_request =
        headers.contains_key(&names.attempt_id) || headers.contains_key(&names.signature);
    OrderAnswer {
        status: response.status().as_u16(),
        names_request,
    }
}
