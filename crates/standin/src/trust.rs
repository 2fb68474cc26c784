//! Whom a stand-in takes work from.

use http::HeaderMap;

/// Whether a request names itself by the upstreams' secret.
pub(crate) fn is_trusted(headers: &HeaderMap, secret: &str) -> bool {
    let given = headers.get("authorization").and_then(|v| v.to_str().ok());
    given.and_then(|value| value.strip_prefix("Bearer ")) == Some(secret)
}
