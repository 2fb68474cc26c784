//! What is known of a request's execution. Every refusal carries one.

use derive_more::Display;
use derive_more::FromStr;
use serde::Deserialize;
use serde::Serialize;

/// Whether a request ran at an upstream.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, FromStr, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// It did not run and no copy of it can still run.
    #[display("not-run")]
    NotRun,
    /// It ran.
    #[display("run")]
    Run,
    /// It may have run, or may be running.
    #[display("unknown")]
    Unknown,
}
