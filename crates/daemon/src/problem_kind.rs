//! The kinds of refusals. `docs/callers` lists them; a test compares the two.

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
            /// The HTTP status of a refusal of this kind.
            pub fn status(self) -> StatusCode {
                match self {
                    $(Self::$kind => StatusCode::$status,)*
                }
            }

            /// The name of the kind in responses and metrics.
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
    Stopping SERVICE_UNAVAILABLE "stopping" "The node accepts no more requests.";
    NodeFull SERVICE_UNAVAILABLE "node-full" "The node has reached its limit of requests.";
    NoMemory SERVICE_UNAVAILABLE "no-memory" "Other requests take up the node's memory.";
    NoSuchPath NOT_FOUND "no-such-path" "No method is served at the path.";
    BodyTooLarge PAYLOAD_TOO_LARGE "body-too-large" "The body has too many bytes.";
    BodyTooSlow REQUEST_TIMEOUT "body-too-slow" "The body did not arrive in time.";
    BodyBroken BAD_REQUEST "body-broken" "The connection broke within the body.";
    UnknownCaller UNAUTHORIZED "unknown-caller" "No caller has the bearer secret.";
    InvalidRequest BAD_REQUEST "invalid-request" "The body is not a chat request.";
    NoContract FORBIDDEN "no-contract" "No contract covers the caller and the model.";
    RequestRate TOO_MANY_REQUESTS "request-rate" "The contract's request rate is used up.";
    TokenRate TOO_MANY_REQUESTS "token-rate" "The contract's token rate is used up.";
    NoReplica SERVICE_UNAVAILABLE "no-replica" "No replica serves the model now.";
    Late SERVICE_UNAVAILABLE "late" "No replica would answer in time.";
    ReplicaFailed BAD_GATEWAY "replica-failed" "The replica failed before the first token.";
    Interrupted BAD_GATEWAY "interrupted" "The replica failed while it answered.";
    AnswerBroken BAD_GATEWAY "answer-broken" "The answer ended before it was complete.";
    NoService FORBIDDEN "no-service" "No rule lets the caller call the service.";
    InvalidKey BAD_REQUEST "invalid-key" "The idempotency key is malformed.";
    JustWoke SERVICE_UNAVAILABLE "just-woke" "The process was suspended a moment ago.";
    KeyReused UNPROCESSABLE_ENTITY "key-reused" "The key was used for another call.";
    LedgerFull SERVICE_UNAVAILABLE "ledger-full" "The ledger has no room for another key.";
    NoQuorum SERVICE_UNAVAILABLE "no-quorum" "The voters could not be reached.";
    Running CONFLICT "running" "A call under the key may be running.";
    OutcomeUnknown CONFLICT "outcome-unknown" "A call under the key may have run.";
    JustRefused SERVICE_UNAVAILABLE "just-refused" "A call under the key was just refused.";
    NoUpstream SERVICE_UNAVAILABLE "no-upstream" "No process of the service could be reached.";
    Resting SERVICE_UNAVAILABLE "resting" "All upstreams for it asked for rest.";
    Declined SERVICE_UNAVAILABLE "declined" "The service refused the call without running it.";
    TooLate SERVICE_UNAVAILABLE "too-late" "The call could not be sent in time.";
    AnswerLost BAD_GATEWAY "answer-lost" "The call was sent and its answer was lost.";
    CallerGone SERVICE_UNAVAILABLE "caller-gone" "The caller disconnected before the call was sent.";
}

/// The name and HTTP status of every kind, one a line.
pub fn catalogue() -> String {
    let line = |kind: &ProblemKind| format!("{} {}\n", kind.name(), kind.status().as_u16());
    ALL.iter().map(line).collect()
}
