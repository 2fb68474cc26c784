//! Bounds that a deployment sets, checked, and what counts where nothing is set.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

/// Why a bound cannot be kept.
#[derive(Clone, Copy, Debug, PartialEq, Display, Error)]
pub enum BoundError {
    /// A time is negative, endless or no number.
    #[display("{_0} s is no time")]
    NoTime(#[error(not(source))] f64),
    /// A number of retries is negative, endless or no number.
    #[display("{_0} is no number of retries")]
    NoCount(#[error(not(source))] f64),
}

/// A time in seconds.
pub fn seconds(secs: f64) -> Result<Duration, BoundError> {
    Duration::try_from_secs_f64(secs).map_err(|_| BoundError::NoTime(secs))
}

/// How many retries the whole deployment may make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryTerms {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond that in a window.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// What a deployment sets of [`RetryTerms`]. The rest is as usual.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetrySettings {
    /// Retries for each request.
    pub ratio: Option<f64>,
    /// Retries beyond that in a window.
    pub slack: Option<f64>,
    /// The window in seconds, more than none.
    pub window_secs: Option<f64>,
}

impl RetryTerms {
    /// The terms that a deployment set.
    pub fn of(set: RetrySettings) -> Result<Self, BoundError> {
        let usual = Self::default();
        let window = match set.window_secs {
            Some(secs) => seconds(secs)?,
            None => usual.window,
        };
        if window.is_zero() {
            return Err(BoundError::NoTime(0.0));
        }
        Ok(Self {
            ratio: count(set.ratio.unwrap_or(usual.ratio))?,
            slack: count(set.slack.unwrap_or(usual.slack))?,
            window,
        })
    }
}

impl Default for RetryTerms {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 100.0,
            window: Duration::from_secs(10),
        }
    }
}

fn count(retries: f64) -> Result<f64, BoundError> {
    match retries.is_finite() && 0.0 <= retries {
        true => Ok(retries),
        false => Err(BoundError::NoCount(retries)),
    }
}
