//! Readers of single values: each converts an expression or returns an error that says what is allowed.

use super::text::shown;
use hcl_edit::expr::Expression;
use std::ops::RangeInclusive;
use std::time::Duration;

fn kind(e: &Expression) -> &'static str {
    match e {
        Expression::Null(_) => "null",
        Expression::Bool(_) => "a boolean",
        Expression::Number(_) => "a number",
        Expression::String(_) => "a string",
        Expression::Array(_) => "a list",
        Expression::Object(_) => "an object",
        _ => "an expression",
    }
}

/// A string without interpolations.
pub fn string(e: &Expression) -> Result<String, String> {
    e.as_str().map(String::from).ok_or_else(|| format!("expected a plain string, found {}", kind(e)))
}

/// A boolean.
pub fn boolean(e: &Expression) -> Result<bool, String> {
    e.as_bool().ok_or_else(|| format!("expected true or false, found {}", kind(e)))
}

/// A finite number in a range.
pub fn number(range: RangeInclusive<f64>) -> impl Fn(&Expression) -> Result<f64, String> {
    move |e| {
        let (from, to) = (range.start(), range.end());
        let number = match e {
            Expression::UnaryOp(_) => None,
            _ => e.as_number().and_then(|n| n.as_f64()),
        };
        let expected = format!("a number from {from} to {to}");
        let n = number.ok_or_else(|| format!("expected {expected}, found {}", kind(e)))?;
        if range.contains(&n) { Ok(n) } else { Err(format!("expected {expected}, found {n}")) }
    }
}

/// A whole number in a range.
pub fn whole(range: RangeInclusive<u64>) -> impl Fn(&Expression) -> Result<u64, String> {
    move |e| {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        let n = e.as_number().ok_or_else(|| format!("expected {expected}, found {}", kind(e)))?;
        n.as_u64().filter(|n| range.contains(n)).ok_or_else(|| format!("expected {expected}, found {n}"))
    }
}

/// A duration with its unit, as in `"250ms"`.
pub fn duration(range: RangeInclusive<Duration>) -> impl Fn(&Expression) -> Result<Duration, String> {
    move |e| {
        let (from, to) =
            (humantime::format_duration(*range.start()), humantime::format_duration(*range.end()));
        let expected = format!("a time with its unit from \"{from}\" to \"{to}\"");
        let text = e.as_str().ok_or_else(|| format!("expected {expected}, found {}", kind(e)))?;
        let time =
            humantime::parse_duration(text).map_err(|_| format!("expected {expected}, found {text:?}"))?;
        if range.contains(&time) { Ok(time) } else { Err(format!("expected {expected}, found {text:?}")) }
    }
}

/// A size with its unit, as in `"8MiB"`, in bytes.
pub fn size(range: RangeInclusive<u64>) -> impl Fn(&Expression) -> Result<u64, String> {
    use bytesize::ByteSize;
    move |e| {
        let (from, to) = (ByteSize::b(*range.start()), ByteSize::b(*range.end()));
        let expected = format!("a size with its unit from \"{from}\" to \"{to}\"");
        let text = e.as_str().ok_or_else(|| format!("expected {expected}, found {}", kind(e)))?;
        let unit = text.trim().ends_with(['b', 'B']);
        let bytes = text.parse::<ByteSize>().ok().filter(|_| unit).map(|b| b.as_u64());
        bytes.filter(|b| range.contains(b)).ok_or_else(|| format!("expected {expected}, found {text:?}"))
    }
}

/// One of the given words.
pub fn one_of<T: Copy>(words: &[(&str, T)]) -> impl Fn(&Expression) -> Result<T, String> {
    let words: Vec<(String, T)> = words.iter().map(|(w, t)| ((*w).to_string(), *t)).collect();
    move |e| {
        let names: Vec<String> = words.iter().map(|(w, _)| format!("{w:?}")).collect();
        let expected = format!("one of {}", names.join(", "));
        let text = e.as_str().ok_or_else(|| format!("expected {expected}, found {}", kind(e)))?;
        words
            .iter()
            .find(|(w, _)| w == text)
            .map(|(_, t)| *t)
            .ok_or_else(|| format!("expected {expected}, found \"{}\"", shown(text)))
    }
}

/// A list whose items are all read by `item`.
pub fn list<T>(
    item: impl Fn(&Expression) -> Result<T, String>,
) -> impl FnOnce(&Expression) -> Result<Vec<T>, String> {
    move |e| {
        let all = e.as_array().ok_or_else(|| format!("expected a list, found {}", kind(e)))?;
        all.iter().enumerate().map(|(i, e)| item(e).map_err(|w| format!("item {}: {w}", i + 1))).collect()
    }
}

/// A value parsed with its type's `FromStr`, as in `"10.0.0.0/8"`; the error quotes `example`.
pub fn parsed<T: std::str::FromStr>(example: &str) -> impl Fn(&Expression) -> Result<T, String> {
    let example = example.to_string();
    move |e| {
        let text =
            e.as_str().ok_or_else(|| format!("expected a value such as {example:?}, found {}", kind(e)))?;
        text.parse().map_err(|_| format!("expected a value such as {example:?}, found \"{}\"", shown(text)))
    }
}
