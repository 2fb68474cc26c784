//! Requests that carry an order to a host.

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http_body_util::Full;

use crate::platform::Platform;
use base::UpstreamId;
use form::Action;

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
