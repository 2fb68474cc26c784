//! Durations and ranges as operators write them.

use std::ops::RangeInclusive;
use std::time::Duration;

const UNITS: [(&str, u64); 5] = [
    ("ms", 1),
    ("s", 1_000),
    ("min", 60_000),
    ("h", 3_600_000),
    ("d", 86_400_000),
];

/// The longest duration that a rule may name.
const MAX_DURATION: Duration = Duration::from_secs(366 * 86_400);

/// Reads a duration such as `380ms`, `2s`, `5min`, `12h` or `7d`.
pub(crate) fn duration(text: &str) -> Result<Duration, String> {
    let error =
        || format!("\"{text}\" is not a time such as \"380ms\", \"2s\", \"5min\" or \"7d\"");
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().map_err(|_| error())?;
    let (_, millis) = UNITS
        .into_iter()
        .find(|(name, _)| *name == unit)
        .ok_or_else(error)?;
    let span = Duration::from_millis(number.saturating_mul(millis));
    if span.is_zero() {
        return Err("a time of zero promises nothing".to_owned());
    }
    if MAX_DURATION < span {
        return Err(format!("\"{text}\" is longer than 366 days"));
    }
    Ok(span)
}

/// Reads a range of counts such as `2..20`, both ends included.
pub(crate) fn range(text: &str) -> Result<RangeInclusive<u32>, String> {
    let error = || format!("\"{text}\" is not a range such as \"2..20\"");
    let (low, high) = text.split_once("..").ok_or_else(error)?;
    let low: u32 = low.trim().parse().map_err(|_| error())?;
    let high: u32 = high.trim().parse().map_err(|_| error())?;
    if high < low {
        return Err(format!("the range \"{text}\" ends before it starts"));
    }
    Ok(low..=high)
}
