//! What a request's head says.

use http::HeaderMap;

/// Whether a request names itself by the upstreams' secret.
pub(crate) fn is_trusted(headers: &HeaderMap, secret: &str) -> bool {
    let given = headers.get("authorization").and_then(|v| v.to_str().ok());
    given.and_then(|value| value.strip_prefix("Bearer ")) == Some(secret)
}

/// The value of a header, if it can be read.
pub(crate) fn header<Value: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<Value> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
