//! The kinds of refusals. `docs/callers` lists them; a test keeps both the same.

use http::StatusCode;
use serde::Serialize;

macro_rules! kinds {
    ($($kind:ident $status:ident $name:literal $doc:literal;)*) => {
        /// A kind of refusal.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
        pub enum ProblemKind {
            $(
                #[doc = $doc]
                #[serde(rename = $name)]
                $kind,
            )*
        }

        impl ProblemKind {
            /// HTTP's status for it.
            pub fn status(self) -> StatusCode {
                match self {
                    $(Self::$kind => StatusCode::$status,)*
                }
            }

            /// Its name, as callers and metrics have it.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$kind => $name,)*
                }
            }
        }

        const ALL: &[ProblemKind] = &[$(ProblemKind::$kind,)*];
    };
}

kinds! {
    Starting SERVICE_UNAVAILABLE "starting" "The node has no configuration yet.";
    Stopping SERVICE_UNAVAILABLE "stopping" "The node takes no more requests.";
    NodeFull SERVICE_UNAVAILABLE "node-full" "The node has all the requests that it takes.";
    NoSuchPath NOT_FOUND "no-such-path" "There is nothing at the path.";
    BodyTooLarge PAYLOAD_TOO_LARGE "body-too-large" "The body has too many bytes.";
    BodyTooSlow REQUEST_TIMEOUT "body-too-slow" "The body did not arrive in time.";
    BodyBroken BAD_REQUEST "body-broken" "The connection broke within the body.";
    UnknownCaller UNAUTHORIZED "unknown-caller" "No caller has the bearer secret.";
    InvalidRequest BAD_REQUEST "invalid-request" "The body is not a chat request.";
    NoContract FORBIDDEN "no-contract" "No contract gives the caller the model.";
    RequestRate TOO_MANY_REQUESTS "request-rate" "The contract's requests are used up.";
    TokenRate TOO_MANY_REQUESTS "token-rate" "The contract's tokens are used up.";
    NoReplica SERVICE_UNAVAILABLE "no-replica" "No replica serves the model.";
    Late SERVICE_UNAVAILABLE "late" "No replica would answer in time.";
    ReplicaFailed BAD_GATEWAY "replica-failed" "The replica failed before the first token.";
    Interrupted BAD_GATEWAY "interrupted" "The replica failed while it answered.";
    AnswerBroken BAD_GATEWAY "answer-broken" "The answer broke off.";
    NoService FORBIDDEN "no-service" "No rule lets the caller call the service.";
    InvalidKey BAD_REQUEST "invalid-key" "The idempotency key cannot be one.";
    JustWoke SERVICE_UNAVAILABLE "just-woke" "The node was stopped a moment ago.";
    KeyReused UNPROCESSABLE_ENTITY "key-reused" "The key was used for another call.";
    LedgerFull SERVICE_UNAVAILABLE "ledger-full" "There is no room for another key.";
    NoQuorum SERVICE_UNAVAILABLE "no-quorum" "The voters were not reached.";
    Running CONFLICT "running" "A call under the key may be running.";
    OutcomeUnknown CONFLICT "outcome-unknown" "A call under the key may have run.";
    JustRefused SERVICE_UNAVAILABLE "just-refused" "A call under the key was just refused.";
    NoUpstream SERVICE_UNAVAILABLE "no-upstream" "No process of the service was reached.";
    Declined SERVICE_UNAVAILABLE "declined" "The service did not take the call.";
    TooLate SERVICE_UNAVAILABLE "too-late" "The call could not be sent in time.";
    AnswerLost BAD_GATEWAY "answer-lost" "The call was sent and its answer was lost.";
    CallerGone SERVICE_UNAVAILABLE "caller-gone" "The caller left before the call was sent.";
}

/// All kinds, a line each: name and status.
pub fn catalogue() -> String {
    let line = |kind: &ProblemKind| format!("{} {}\n", kind.name(), kind.status().as_u16());
    ALL.iter().map(line).collect()
}
