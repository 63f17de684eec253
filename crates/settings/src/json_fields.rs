//! Reads fields of a JSON object. Each error names its field.
use notchspool::units::Micros;
use serde_json::Value;

/// Why a field, or a text of fields, makes no sense.
#[derive(Clone, Debug, PartialEq, derive_more::Display, derive_more::Error)]
pub enum FieldError {
    /// It is no text.
    #[display("field `{_0}` is no text")]
    NoText(#[error(not(source))] String),
    /// It is no finite number.
    #[display("field `{_0}` is no number")]
    NoNumber(#[error(not(source))] String),
    /// It is no whole number that is not negative.
    #[display("field `{_0}` is no whole number")]
    NoInteger(#[error(not(source))] String),
    /// It is neither true nor false.
    #[display("field `{_0}` is neither true nor false")]
    NoFlag(#[error(not(source))] String),
    /// It is no list.
    #[display("field `{_0}` is no list")]
    NoList(#[error(not(source))] String),
    /// An item of the list is no text.
    #[display("field `{_0}` holds no text")]
    NoTextInList(#[error(not(source))] String),
    /// A number out of its bounds.
    #[display("field `{field}`: {value} is not from {least} to {most}")]
    OutOfRange {
        /// Name of the field.
        field: String,
        /// What it is.
        value: f64,
        /// What it may be at the least.
        least: f64,
        /// What it may be at the most.
        most: f64,
    },
    /// A word that is not among those that the field may have.
    #[display("field `{field}`: `{value}` is not known")]
    UnknownWord {
        /// Name of the field.
        field: String,
        /// The word.
        value: String,
    },
    /// Another mistake, in its own words.
    #[display("{_0}")]
    Other(#[error(not(source))] String),
}

impl FieldError {
    /// A word that a field can't have.
    pub fn unknown_word(field: &str, value: &str) -> FieldError {
        FieldError::UnknownWord { field: field.to_owned(), value: value.to_owned() }
    }
}

impl From<String> for FieldError {
    fn from(text: String) -> FieldError {
        FieldError::Other(text)
    }
}

impl From<&str> for FieldError {
    fn from(text: &str) -> FieldError {
        FieldError::Other(text.to_owned())
    }
}

/// A field that was read, or why it makes no sense.
pub type FieldResult<T> = Result<T, FieldError>;

/// A text.
///
/// # Errors
///
/// It is missing or no text.
pub fn text<'a>(object: &'a Value, field: &str) -> FieldResult<&'a str> {
    object[field].as_str().ok_or_else(|| FieldError::NoText(field.to_owned()))
}

/// A finite number; a missing one is the default, if there is any.
///
/// # Errors
///
/// It is missing without a default, or no finite number.
pub fn number(object: &Value, field: &str, default: Option<f64>) -> FieldResult<f64> {
    match (&object[field], default) {
        (Value::Null, Some(value)) => Ok(value),
        (value, _) => {
            let number = value.as_f64().filter(|n| n.is_finite());
            number.ok_or_else(|| FieldError::NoNumber(field.to_owned()))
        }
    }
}

/// A number from `least` to `most`.
///
/// # Errors
///
/// It is no finite number, or out of these bounds.
pub fn bounded_number(object: &Value, field: &str, default: f64, least: f64, most: f64) -> FieldResult<f64> {
    let value = number(object, field, Some(default))?;
    if (least..=most).contains(&value) {
        return Ok(value);
    }
    Err(FieldError::OutOfRange { field: field.to_owned(), value, least, most })
}

/// A whole number, 0 and more.
///
/// # Errors
///
/// It is missing or no such number.
pub fn integer(object: &Value, field: &str) -> FieldResult<u64> {
    object[field].as_u64().ok_or_else(|| FieldError::NoInteger(field.to_owned()))
}

/// True or false; a missing one is false.
///
/// # Errors
///
/// It is neither.
pub fn flag(object: &Value, field: &str) -> FieldResult<bool> {
    match &object[field] {
        Value::Null => Ok(false),
        value => value.as_bool().ok_or_else(|| FieldError::NoFlag(field.to_owned())),
    }
}

/// A time in fractional milliseconds, as whole microseconds, to the nearest: the wire itself counts microseconds.
///
/// # Errors
///
/// As for [`number`].
pub fn time(object: &Value, field: &str, default: Option<f64>) -> FieldResult<Micros> {
    number(object, field, default).map(|ms| Micros((ms * 1000.0).round() as i64))
}

/// The items of a list; a missing one is empty.
///
/// # Errors
///
/// It is no list.
pub fn rows<'a>(object: &'a Value, field: &str) -> FieldResult<&'a [Value]> {
    match &object[field] {
        Value::Null => Ok(&[]),
        Value::Array(rows) => Ok(rows),
        _ => Err(FieldError::NoList(field.to_owned())),
    }
}

/// A list of texts.
///
/// # Errors
///
/// It is no list, or holds something else.
pub fn strings(object: &Value, field: &str) -> FieldResult<Vec<String>> {
    let text = |value: &Value| {
        value.as_str().map(str::to_owned).ok_or_else(|| FieldError::NoTextInList(field.to_owned()))
    };
    rows(object, field)?.iter().map(text).collect()
}

/// The field `name` of each item of a list.
///
/// # Errors
///
/// It is no list, or an item has no name.
pub fn names(object: &Value, field: &str) -> FieldResult<Vec<String>> {
    rows(object, field)?.iter().map(|row| text(row, "name").map(str::to_owned)).collect()
}
