//! What follows a failed attempt: a retry or an error to the caller.

use derive_more::Display;

use fleet::RequestKind;

/// How an attempt to run a request at a target failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Failure {
    /// No byte of the request was sent, so it has not run.
    #[display("not sent")]
    NotSent,
    /// No byte of the request was sent, because the upstream had asked for rest.
    #[display("held back")]
    HeldBack,
    /// No byte of the request was sent, because its time was over.
    #[display("too late")]
    TooLate,
    /// The upstream answered that it did not run the request.
    #[display("refused")]
    Refused,
    /// The connection broke before the answer had gone on for a while: the request may have
    /// run, and the upstream may have ended because of it.
    #[display("broken")]
    Broken,
    /// The request was sent and its time was over before its answer came: it may have run.
    #[display("timed out")]
    TimedOut,
    /// The request was sent and its answer is missing for another reason: it may have run.
    #[display("lost")]
    Lost,
}

impl Failure {
    /// Whether no byte of the request was sent.
    pub fn is_unsent(self) -> bool {
        matches!(self, Self::NotSent | Self::HeldBack | Self::TooLate)
    }

    /// Whether the request may have run.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Broken | Self::TimedOut | Self::Lost)
    }
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum RetryDecision {
    /// The request is sent to another target.
    #[display("again")]
    Retry,
    /// The caller is told that the request has not run.
    #[display("not run")]
    ReportNotRun,
    /// The caller is told that the request may have run and its outcome is unknown.
    #[display("unknown")]
    ReportUnknown,
}

impl RetryDecision {
    /// Decides what follows a failed attempt. `may_have_run` says whether this or an earlier
    /// attempt may have run, and `allowed` whether attempts, retry budget and time are left.
    pub fn after_failure(
        kind: RequestKind,
        failure: Failure,
        may_have_run: bool,
        allowed: bool,
    ) -> Self {
        let ran = may_have_run || failure.may_have_run();
        let may_repeat = !ran || kind.is_retryable();
        match (allowed && may_repeat, ran) {
            (true, _) => Self::Retry,
            (false, false) => Self::ReportNotRun,
            (false, true) => Self::ReportUnknown,
        }
    }
}
