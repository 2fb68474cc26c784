//! Sizes and rates, with units.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use derive_more::Add;
use derive_more::AddAssign;
use derive_more::Display;
use derive_more::FromStr;
use serde::Deserialize;
use serde::Serialize;

use crate::ParseIdError;
use crate::span_from_secs;

/// A number of tokens.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Add,
    AddAssign,
    Display,
    FromStr,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct TokenCount(pub u32);

/// A number of bytes.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Add,
    AddAssign,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct ByteSize(pub u64);

/// A rate in tokens per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TokenRate(pub f64);

/// A rate in requests per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestRate(pub f64);

impl TokenRate {
    /// How long this number of tokens takes.
    pub fn time_for(self, tokens: TokenCount) -> Duration {
        span_from_secs(f64::from(tokens.0) / self.0.max(1e-6))
    }
}

impl RequestRate {
    /// The time between two requests at this rate.
    pub fn interval(self) -> Duration {
        span_from_secs(1.0 / self.0.max(1e-6))
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}B", self.0)
    }
}

impl FromStr for ByteSize {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let error = || ParseIdError {
            text: text.to_owned(),
            prefix: "",
        };
        let digits = text.strip_suffix('B').ok_or_else(error)?;
        digits.parse().map(Self).map_err(|_| error())
    }
}

macro_rules! per_second {
    ($name:ident) => {
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}/s", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                text.strip_suffix("/s")
                    .and_then(|number| number.parse().ok())
                    .filter(|rate: &f64| rate.is_finite() && 0.0 <= *rate)
                    .map(Self)
                    .ok_or_else(|| ParseIdError {
                        text: text.to_owned(),
                        prefix: "",
                    })
            }
        }
    };
}

per_second!(TokenRate);
per_second!(RequestRate);
