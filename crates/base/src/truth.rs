//! What is known about the execution of a request. Every refusal states it.

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
    /// The request did not run, and no copy of it can still run.
    #[display("not-run")]
    NotRun,
    /// The request ran.
    #[display("run")]
    Run,
    /// The request may have run, or may be running.
    #[display("unknown")]
    Unknown,
}
