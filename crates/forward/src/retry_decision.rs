//! What may follow an attempt that gave no answer.

use derive_more::Display;

use fleet::Kind;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Failure {
    /// No byte of it left.
    #[display("not sent")]
    NotSent,
    /// The upstream says that it did not run it.
    #[display("refused")]
    Refused,
    /// It may have run.
    #[display("lost")]
    Lost,
}

/// What may follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum RetryDecision {
    /// It goes to another upstream.
    #[display("again")]
    RetryElsewhere,
    /// The caller is told that it has not run.
    #[display("not run")]
    ReportNotRun,
    /// The caller is told that its outcome is not known.
    #[display("unknown")]
    ReportUnknown,
}

impl RetryDecision {
    /// Decides after an attempt. `may_have_run` says whether this or an earlier attempt
    /// may have run, and `allowed` whether attempts, budget and time are left.
    pub fn after_failure(kind: Kind, failure: Failure, may_have_run: bool, allowed: bool) -> Self {
        let ran = may_have_run || failure == Failure::Lost;
        let may_repeat = !ran || kind.is_repeatable();
        match (allowed && may_repeat, ran) {
            (true, _) => Self::RetryElsewhere,
            (false, false) => Self::ReportNotRun,
            (false, true) => Self::ReportUnknown,
        }
    }
}
