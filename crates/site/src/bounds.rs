//! Limits that a deployment can set: their checks and defaults.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use crate::settings::DEFAULT_MACHINE;
use base::ByteSize;
use memory::Machine;

/// Why a limit in the settings is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Display, Error)]
pub enum BoundError {
    /// A time is negative, infinite or not a number.
    #[display("{_0} s is not a valid time")]
    InvalidTime(#[error(not(source))] f64),
    /// The memory is too little to run with, in bytes.
    #[display("{_0} is not enough memory, a process needs {}", Machine::MIN_MEMORY)]
    TooLittleMemory(#[error(not(source))] ByteSize),
    /// A number of retries is negative, infinite or not a number.
    #[display("{_0} is not a valid number of retries")]
    InvalidRetryCount(#[error(not(source))] f64),
}

/// Converts seconds to a duration. Negative, infinite and NaN values are errors.
pub fn duration_from_secs(secs: f64) -> Result<Duration, BoundError> {
    Duration::try_from_secs_f64(secs).map_err(|_| BoundError::InvalidTime(secs))
}

/// The machine of a process. What isn't set takes the default.
pub fn machine_from_settings(
    memory: Option<ByteSize>,
    descriptors: Option<usize>,
) -> Result<Machine, BoundError> {
    let machine = Machine {
        memory: memory.unwrap_or(DEFAULT_MACHINE.memory),
        descriptors: descriptors.unwrap_or(DEFAULT_MACHINE.descriptors),
    };
    match machine.memory < Machine::MIN_MEMORY {
        true => Err(BoundError::TooLittleMemory(machine.memory)),
        false => Ok(machine),
    }
}

/// Limits on the retries of the whole deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed per window in addition to those of `ratio`.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// The [`RetryLimits`] that a deployment sets. A field without a value takes the default.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetrySettings {
    /// Retries allowed per request.
    pub ratio: Option<f64>,
    /// Retries allowed per window in addition to those of `ratio`.
    pub slack: Option<f64>,
    /// Length of the window in seconds. Must not be zero.
    pub window_secs: Option<f64>,
}

impl RetryLimits {
    /// Checks the settings and fills in the defaults.
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
