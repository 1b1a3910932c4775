//! Kinds of values, and their conversion from TOML with a check of the bounds.

use crate::duration::parse_duration;
use crate::problem::ValueError;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use toml::Spanned;
use toml::de::DeValue;

/// Longest path of a Unix socket in bytes: `sockaddr_un` has room for 108, including the zero byte at the end.
const MAX_SOCKET_PATH_BYTES: usize = 107;

/// Longest path of a directory in bytes: Linux accepts paths of 4095, which leaves enough for the names of files in the
/// directory.
const MAX_DIRECTORY_PATH_BYTES: usize = 4000;

/// Most addresses in a list of other proxies.
pub(crate) const MAX_ADDRESSES: usize = 256;

/// Longest name of a fleet in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 64;

/// Kind of a key's value, with inclusive bounds.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ValueKind {
    /// A string like `"250ms"`; bounds in seconds.
    Duration { min: f64, max: f64 },
    /// An integer or a floating-point number.
    Number { min: f64, max: f64 },
    /// An integer.
    Count { min: i64, max: i64 },
    /// `true` or `false`.
    Boolean,
    /// An absolute path that fits a Unix socket's address.
    SocketPath,
    /// An absolute path.
    DirectoryPath,
    /// A string of ASCII letters, digits and `-`.
    Name,
    /// An array of IP addresses with ports.
    Addresses,
}

/// A value of a key, within its bounds.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Value {
    Duration(Duration),
    Number(f64),
    Count(usize),
    Boolean(bool),
    Path(PathBuf),
    Name(String),
    Addresses(Vec<SocketAddr>),
}

impl ValueKind {
    /// Converts a TOML value and checks its bounds.
    pub(crate) fn parse(self, value: &Spanned<DeValue<'_>>) -> Result<Value, ValueError> {
        let value = value.get_ref();
        match self {
            ValueKind::Duration { min, max } => parse_bounded_duration(value, min, max),
            ValueKind::Number { min, max } => parse_number(value, min, max),
            ValueKind::Count { min, max } => parse_count(value, min, max),
            ValueKind::Boolean => parse_boolean(value),
            ValueKind::SocketPath => parse_path(value, MAX_SOCKET_PATH_BYTES),
            ValueKind::DirectoryPath => parse_path(value, MAX_DIRECTORY_PATH_BYTES),
            ValueKind::Name => parse_name(value),
            ValueKind::Addresses => parse_addresses(value),
        }
    }
}

fn parse_bounded_duration(value: &DeValue<'_>, min: f64, max: f64) -> Result<Value, ValueError> {
    let DeValue::String(text) = value else {
        return Err(ValueError::NotADuration { min, max });
    };
    let Some(duration) = parse_duration(text) else {
        return Err(ValueError::InvalidDuration {
            text: text.to_string(),
            min,
            max,
        });
    };
    if (min..=max).contains(&duration.as_secs_f64()) {
        Ok(Value::Duration(duration))
    } else {
        Err(ValueError::DurationOutOfRange {
            text: text.to_string(),
            min,
            max,
        })
    }
}

fn parse_number(value: &DeValue<'_>, min: f64, max: f64) -> Result<Value, ValueError> {
    let number: Option<f64> = match value {
        DeValue::Float(number) => number.as_str().parse().ok(),
        DeValue::Integer(number) => number.as_str().parse().ok(),
        _ => None,
    };
    match number {
        Some(number) if (min..=max).contains(&number) => Ok(Value::Number(number)),
        _ => Err(ValueError::InvalidNumber { min, max }),
    }
}

fn parse_count(value: &DeValue<'_>, min: i64, max: i64) -> Result<Value, ValueError> {
    let DeValue::Integer(number) = value else {
        return Err(ValueError::NotACount { min, max });
    };
    let count: Option<i64> = number.as_str().parse().ok();
    match count {
        Some(count) if (min..=max).contains(&count) => Ok(Value::Count(count as usize)),
        _ => Err(ValueError::CountOutOfRange { min, max }),
    }
}

fn parse_boolean(value: &DeValue<'_>) -> Result<Value, ValueError> {
    match value {
        DeValue::Boolean(boolean) => Ok(Value::Boolean(*boolean)),
        _ => Err(ValueError::NotABoolean),
    }
}

fn parse_path(value: &DeValue<'_>, max_bytes: usize) -> Result<Value, ValueError> {
    let DeValue::String(text) = value else {
        return Err(ValueError::NotAPath { max_bytes });
    };
    let is_valid = text.starts_with('/') && text.len() <= max_bytes && !text.contains('\0');
    if is_valid {
        Ok(Value::Path(PathBuf::from(text.as_ref())))
    } else {
        Err(ValueError::InvalidPath {
            text: text.to_string(),
            max_bytes,
        })
    }
}

fn parse_name(value: &DeValue<'_>) -> Result<Value, ValueError> {
    let DeValue::String(text) = value else {
        return Err(ValueError::NotAName);
    };
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-';
    let is_valid = (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(is_allowed);
    if is_valid {
        Ok(Value::Name(text.to_string()))
    } else {
        Err(ValueError::InvalidName {
            text: text.to_string(),
        })
    }
}

fn parse_addresses(value: &DeValue<'_>) -> Result<Value, ValueError> {
    let DeValue::Array(entries) = value else {
        return Err(ValueError::NotAList);
    };
    let parse_entry = |entry: &Spanned<DeValue<'_>>| match entry.get_ref() {
        DeValue::String(text) => text.parse().ok(),
        _ => None,
    };
    let addresses: Option<Vec<SocketAddr>> = entries.iter().map(parse_entry).collect();
    match addresses {
        Some(addresses) if addresses.len() <= MAX_ADDRESSES => Ok(Value::Addresses(addresses)),
        _ => Err(ValueError::InvalidAddresses),
    }
}
