//! Reads the headers of requests.

use http::HeaderMap;

/// Whether a request carries the upstreams' secret as its bearer token.
pub(crate) fn has_secret(headers: &HeaderMap, secret: &str) -> bool {
    let given = headers.get("authorization").and_then(|v| v.to_str().ok());
    given.and_then(|value| value.strip_prefix("Bearer ")) == Some(secret)
}

/// The value of a header, if it is present and can be parsed.
pub(crate) fn parse_header<Value: std::str::FromStr>(
    headers: &HeaderMap,
    name: &str,
) -> Option<Value> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
