//! Reads fields of a JSON object. Each answer names the field that was wrong.
use notchspool::units::Micros;
use serde_json::Value;

pub type Read<T> = Result<T, String>;

pub fn text<'a>(of: &'a Value, field: &str) -> Read<&'a str> {
    of[field].as_str().ok_or_else(|| format!("field `{field}` is no text"))
}
pub fn number(of: &Value, field: &str, default: Option<f64>) -> Read<f64> {
    match (&of[field], default) {
        (Value::Null, Some(value)) => Ok(value),
        (value, _) => {
            value.as_f64().filter(|n| n.is_finite()).ok_or_else(|| format!("field `{field}` is no number"))
        }
    }
}
/// A number from `least` to `most`.
pub fn within(of: &Value, field: &str, default: f64, least: f64, most: f64) -> Read<f64> {
    let value = number(of, field, Some(default))?;
    match (least..=most).contains(&value) {
        true => Ok(value),
        false => Err(format!("field `{field}`: {value} is not from {least} to {most}")),
    }
}
pub fn whole(of: &Value, field: &str) -> Read<u64> {
    of[field].as_u64().ok_or_else(|| format!("field `{field}` is no whole number"))
}
pub fn flag(of: &Value, field: &str) -> Read<bool> {
    match &of[field] {
        Value::Null => Ok(false),
        value => value.as_bool().ok_or_else(|| format!("field `{field}` is neither true nor false")),
    }
}
/// Fractional milliseconds as whole microseconds, to the nearest: the wire itself counts microseconds.
pub fn time(of: &Value, field: &str, default: Option<f64>) -> Read<Micros> {
    number(of, field, default).map(|ms| Micros((ms * 1000.0).round() as i64))
}
pub fn rows<'a>(of: &'a Value, field: &str) -> Read<&'a [Value]> {
    match &of[field] {
        Value::Null => Ok(&[]),
        Value::Array(rows) => Ok(rows),
        _ => Err(format!("field `{field}` is no list")),
    }
}
pub fn strings(of: &Value, field: &str) -> Read<Vec<String>> {
    rows(of, field)?
        .iter()
        .map(|v| v.as_str().map(str::to_owned).ok_or_else(|| format!("field `{field}` holds no text")))
        .collect()
}
pub fn names(of: &Value, field: &str) -> Read<Vec<String>> {
    rows(of, field)?.iter().map(|v| text(v, "name").map(str::to_owned)).collect()
}
