//! Parsing of decimal numbers that targets send.

/// Thousandths per unit.
pub const MILLI_PER_UNIT: u32 = 1_000;
/// Maximum number of digits on each side of the decimal point.
const MAX_DIGITS: usize = 9;

/// Parses a decimal number with at most one point, which must have digits on both sides, into thousandths.
///
/// Digits beyond thousandths are truncated; a value that is too large becomes the maximum. Returns `None` for
/// any other text.
#[must_use]
pub fn parse_milli(text: &str) -> Option<u32> {
    let (integer, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let is_decimal = |text: &str| {
        (1..=MAX_DIGITS).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_digit())
    };
    if !is_decimal(integer) || !is_decimal(fraction) {
        return None;
    }
    let integer = integer.parse::<u32>().ok()?;
    let milli = format!("{fraction:0<3}");
    let milli = milli[..3].parse::<u32>().ok()?;
    Some(integer.saturating_mul(MILLI_PER_UNIT).saturating_add(milli))
}
