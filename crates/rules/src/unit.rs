//! Parses durations and ranges as operators write them.

use std::ops::RangeInclusive;
use std::time::Duration;

/// The units of time, with their milliseconds.
const UNITS: [(&str, u64); 5] = [
    ("ms", 1),
    ("s", 1_000),
    ("min", 60_000),
    ("h", 3_600_000),
    ("d", 86_400_000),
];

/// The longest duration that a rule may hold.
const MAX_DURATION: Duration = Duration::from_secs(366 * 86_400);

/// Parses a duration such as `380ms`, `2s`, `5min`, `12h` or `7d`.
pub(crate) fn duration(text: &str) -> Result<Duration, String> {
    let syntax_error =
        || format!("\"{text}\" is not a time such as \"380ms\", \"2s\", \"5min\" or \"7d\"");
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().map_err(|_| syntax_error())?;
    let (_, millis) = UNITS
        .into_iter()
        .find(|(name, _)| *name == unit)
        .ok_or_else(syntax_error)?;
    let duration = Duration::from_millis(number.saturating_mul(millis));
    if duration.is_zero() {
        return Err("a time of zero promises nothing".to_owned());
    }
    if MAX_DURATION < duration {
        return Err(format!("\"{text}\" is longer than 366 days"));
    }
    Ok(duration)
}

/// Parses a range of counts such as `2..20`, which includes both ends.
pub(crate) fn range(text: &str) -> Result<RangeInclusive<u32>, String> {
    let syntax_error = || format!("\"{text}\" is not a range such as \"2..20\"");
    let (min, max) = text.split_once("..").ok_or_else(syntax_error)?;
    let min: u32 = min.trim().parse().map_err(|_| syntax_error())?;
    let max: u32 = max.trim().parse().map_err(|_| syntax_error())?;
    if max < min {
        return Err(format!("the range \"{text}\" ends before it starts"));
    }
    Ok(min..=max)
}
