//! Bounds that a deployment sets, checked, and what counts where nothing is set.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

/// Why a bound cannot be kept.
#[derive(Clone, Copy, Debug, PartialEq, Display, Error)]
pub enum BoundError {
    /// A time is negative, endless or no number.
    #[display("{_0} s is no time")]
    InvalidTime(#[error(not(source))] f64),
    /// A number of retries is negative, endless or no number.
    #[display("{_0} is no number of retries")]
    InvalidRetryCount(#[error(not(source))] f64),
}

/// A time in seconds.
pub fn duration_from_secs(secs: f64) -> Result<Duration, BoundError> {
    Duration::try_from_secs_f64(secs).map_err(|_| BoundError::InvalidTime(secs))
}

/// How many retries the whole deployment may make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond that in a window.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// What a deployment sets of [`RetryLimits`]. The rest is as usual.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetrySettings {
    /// Retries for each request.
    pub ratio: Option<f64>,
    /// Retries beyond that in a window.
    pub slack: Option<f64>,
    /// The window in seconds, more than none.
    pub window_secs: Option<f64>,
}

impl RetryLimits {
    /// The terms that a deployment set.
    pub fn from_settings(settings: RetrySettings) -> Result<Self, BoundError> {
        let defaults = Self::default();
        let window = match settings.window_secs {
            Some(secs) => duration_from_secs(secs)?,
            None => defaults.window,
        };
        if window.is_zero() {
            return Err(BoundError::InvalidTime(0.0));
        }
        Ok(Self {
            ratio: check_retry_count(settings.ratio.unwrap_or(defaults.ratio))?,
            slack: check_retry_count(settings.slack.unwrap_or(defaults.slack))?,
            window,
        })
    }
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 100.0,
            window: Duration::from_secs(10),
        }
    }
}

fn check_retry_count(retries: f64) -> Result<f64, BoundError> {
    match retries.is_finite() && 0.0 <= retries {
        true => Ok(retries),
        false => Err(BoundError::InvalidRetryCount(retries)),
    }
}
