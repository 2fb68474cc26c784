//! Finds out who asks, by the bearer secret.

use http::HeaderMap;
use http::HeaderValue;
use sha2::Digest;
use sha2::Sha256;

use crate::node::Node;
use crate::problem::Problem;
use crate::problem_kind::ProblemKind;
use base::CallerName;
use base::OrgName;

/// A caller that has proved who it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuthenticatedCaller {
    /// The caller.
    pub name: CallerName,
    /// Its organisation.
    pub org: OrgName,
}

/// The bearer secret in a request's head.
pub fn bearer_secret(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get("authorization")?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::trim)
}

/// How this node names itself to upstreams.
pub fn upstream_authorization(node: &Node) -> HeaderValue {
    let secret = node.settings.secrets.upstreams.expose();
    let value = HeaderValue::from_str(&format!("Bearer {secret}"));
    // A secret that no head can carry names nobody, and every upstream refuses it.
    let mut value = value.unwrap_or(HeaderValue::from_static("Bearer"));
    value.set_sensitive(true);
    value
}

/// The caller that a request's head names.
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
