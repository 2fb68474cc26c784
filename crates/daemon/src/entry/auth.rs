//! Authenticates callers by their bearer secret.

use http::HeaderMap;
use http::HeaderValue;
use sha2::Digest;
use sha2::Sha256;

use crate::node::Node;
use crate::problem::Problem;
use crate::problem_kind::ProblemKind;
use base::CallerName;
use base::OrgName;

/// An authenticated caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuthenticatedCaller {
    /// The name of the caller.
    pub name: CallerName,
    /// Its organisation.
    pub org: OrgName,
}

/// The bearer secret in a request's headers.
pub fn bearer_secret(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get("authorization")?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::trim)
}

/// The `authorization` header by which this node authenticates to upstreams.
pub fn upstream_authorization(node: &Node) -> HeaderValue {
    let secret = node.settings.secrets.upstreams.expose();
    let value = HeaderValue::from_str(&format!("Bearer {secret}"));
    // A secret that is no valid header value leaves an empty token, which every upstream
    // refuses.
    let mut value = value.unwrap_or(HeaderValue::from_static("Bearer"));
    value.set_sensitive(true);
    value
}

/// Finds the caller whose bearer secret is in a request's headers.
pub fn authenticate(node: &Node, headers: &HeaderMap) -> Result<AuthenticatedCaller, Problem> {
    let unauthorized = |what| Problem::not_run(ProblemKind::UnknownCaller, what);
    let secret =
        bearer_secret(headers).ok_or_else(|| unauthorized("a bearer secret is missing"))?;
    let digest: [u8; 32] = Sha256::digest(secret.as_bytes()).into();
    let rules = node.rules();
    let found = rules.caller_by_secret(&digest);
    let (name, caller) = found.ok_or_else(|| unauthorized("no caller has this bearer secret"))?;
    Ok(AuthenticatedCaller {
        name: name.clone(),
        org: caller.org.clone(),
    })
}
