//! A JSON parser for untrusted input: discovery's lists and the configuration.
//!
//! It keeps numbers as they are written, so that the reader of a value chooses its type, and bounds the nesting depth and
//! the number of values: a value takes many times the memory of the few bytes that it may be written in.

use std::str::{FromStr, Utf8Error};
use thiserror::Error;

/// How deep arrays and objects may be nested, which bounds the parser's recursion.
const MAX_DEPTH: usize = 24;
/// Most values of a text, those in arrays and objects included: enough for a list of some ten thousand endpoints.
const MAX_VALUES: usize = 1 << 17;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum JsonValue {
    /// `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A number as it is written in the text.
    Number(String),
    /// A string with its escapes resolved.
    String(String),
    /// An array.
    Array(Vec<JsonValue>),
    /// Names and values in the order of the text; a name may be repeated.
    Object(Vec<(String, JsonValue)>),
}

impl JsonValue {
    /// The value under a name, the first if the name is repeated; `None` if this is not an object or has no such name.
    pub fn get(&self, name: &str) -> Option<&JsonValue> {
        let JsonValue::Object(pairs) = self else {
            return None;
        };
        pairs.iter().find(|pair| pair.0 == name).map(|pair| &pair.1)
    }

    /// The text, if this is a string.
    pub fn as_str(&self) -> Option<&str> {
        match self {
            JsonValue::String(text) => Some(text),
            _ => None,
        }
    }

    /// The number, if this is a number that `T` can hold.
    pub fn parse_number<T: FromStr>(&self) -> Option<T> {
        match self {
            JsonValue::Number(text) => text.parse().ok(),
            _ => None,
        }
    }

    /// The items, if this is an array.
    pub fn as_array(&self) -> Option<&[JsonValue]> {
        match self {
            JsonValue::Array(items) => Some(items),
            _ => None,
        }
    }

    /// Appends pairs of path and value to `out`, in the flat form that the settings use.
    ///
    /// An array that contains arrays or objects becomes its `count` and its items under their indices; any other array
    /// becomes one value, joined by commas.
    pub fn flatten(&self, path: &str, out: &mut Vec<(String, String)>) {
        match self {
            JsonValue::Object(pairs) => {
                for (name, value) in pairs {
                    value.flatten(&join_path(path, name), out);
                }
            }
            JsonValue::Array(items) if items.iter().any(JsonValue::is_nested) => {
                out.push((join_path(path, "count"), items.len().to_string()));
                for (index, item) in items.iter().enumerate() {
                    item.flatten(&join_path(path, &index.to_string()), out);
                }
            }
            JsonValue::Array(items) => {
                let texts: Vec<String> = items.iter().map(JsonValue::flat_text).collect();
                out.push((path.to_string(), texts.join(",")));
            }
            scalar => out.push((path.to_string(), scalar.flat_text())),
        }
    }

    fn is_nested(&self) -> bool {
        matches!(self, JsonValue::Object(_) | JsonValue::Array(_))
    }

    /// A scalar in the settings' flat form, in which a value has no spaces and no commas: underscores replace them.
    fn flat_text(&self) -> String {
        match self {
            JsonValue::Bool(flag) => flag.to_string(),
            JsonValue::Number(number) => number.clone(),
            JsonValue::String(text) => text.replace([' ', ','], "_"),
            JsonValue::Null | JsonValue::Array(_) | JsonValue::Object(_) => String::new(),
        }
    }
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_string()
    } else {
        format!("{path}.{name}")
    }
}

/// Why a text is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum JsonError {
    /// It is not UTF-8.
    #[error(transparent)]
    NotUtf8(#[from] Utf8Error),
    /// It violates the grammar or a limit.
    #[error("{problem} at byte {offset}")]
    Syntax {
        /// What is wrong.
        problem: JsonProblem,
        /// Position of the error, in bytes from the beginning.
        offset: usize,
    },
}

/// How a text violates JSON's grammar or a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum JsonProblem {
    /// There is more input behind the value.
    #[error("more than one value")]
    TrailingInput,
    /// Arrays and objects are nested more than 24 levels deep.
    #[error("too deep")]
    TooDeep,
    /// There are more values than the limit.
    #[error("too many values")]
    TooManyValues,
    /// A value is missing.
    #[error("no value")]
    NoValue,
    /// A colon is missing behind a name.
    #[error("no colon")]
    NoColon,
    /// A comma or the closing bracket is missing behind an item.
    #[error("no comma")]
    NoComma,
    /// A number can't be parsed.
    #[error("no number")]
    NoNumber,
    /// A name doesn't begin with a quotation mark.
    #[error("no text")]
    NoString,
    /// A string has no closing quotation mark.
    #[error("text without end")]
    UnterminatedString,
    /// A string contains a control character.
    #[error("control character")]
    ControlCharacter,
    /// A string contains an escape that JSON does not define.
    #[error("unknown escape")]
    UnknownEscape,
}

/// Parses a text that consists of one JSON value.
pub fn parse(bytes: &[u8]) -> Result<JsonValue, JsonError> {
    let text = std::str::from_utf8(bytes)?;
    let mut parser = Parser {
        text,
        offset: 0,
        value_count: 0,
    };
    let value = parser.parse_value(0)?;
    parser.skip_whitespace();
    if parser.offset < text.len() {
        return Err(parser.error(JsonProblem::TrailingInput));
    }
    Ok(value)
}

struct Parser<'a> {
    text: &'a str,
    /// How many bytes of the text are parsed.
    offset: usize,
    /// How many values have begun.
    value_count: usize,
}

impl<'a> Parser<'a> {
    fn error(&self, problem: JsonProblem) -> JsonError {
        JsonError::Syntax {
            problem,
            offset: self.offset,
        }
    }

    /// The part of the text that is not parsed yet.
    fn rest(&self) -> &'a str {
        &self.text[self.offset..]
    }

    fn peek(&self) -> Option<u8> {
        self.text.as_bytes().get(self.offset).copied()
    }

    fn skip_whitespace(&mut self) {
        while matches!(self.peek(), Some(b' ' | b'\t' | b'\r' | b'\n')) {
            self.offset += 1;
        }
    }

    /// Skips white space, and the next byte if it is `byte`. Returns whether it was.
    fn skip_byte(&mut self, byte: u8) -> bool {
        self.skip_whitespace();
        let found = self.peek() == Some(byte);
        self.offset += usize::from(found);
        found
    }

    fn parse_value(&mut self, depth: usize) -> Result<JsonValue, JsonError> {
        self.skip_whitespace();
        self.value_count += 1;
        if self.value_count > MAX_VALUES {
            return Err(self.error(JsonProblem::TooManyValues));
        }
        match self.peek() {
            Some(b'{' | b'[') if depth == MAX_DEPTH => Err(self.error(JsonProblem::TooDeep)),
            Some(b'{') => self.parse_object(depth + 1),
            Some(b'[') => self.parse_array(depth + 1),
            Some(b'"') => self.parse_string().map(JsonValue::String),
            Some(b'-' | b'0'..=b'9') => self.parse_number(),
            _ => self.parse_keyword(),
        }
    }

    fn parse_keyword(&mut self) -> Result<JsonValue, JsonError> {
        let keywords = [
            ("null", JsonValue::Null),
            ("true", JsonValue::Bool(true)),
            ("false", JsonValue::Bool(false)),
        ];
        let rest = self.rest();
        let found = keywords
            .into_iter()
            .find(|(keyword, _)| rest.starts_with(keyword));
        let (keyword, value) = found.ok_or_else(|| self.error(JsonProblem::NoValue))?;
        self.offset += keyword.len();
        Ok(value)
    }

    fn parse_object(&mut self, depth: usize) -> Result<JsonValue, JsonError> {
        let pair = |parser: &mut Self| {
            parser.skip_whitespace();
            let name = parser.parse_string()?;
            if !parser.skip_byte(b':') {
                return Err(parser.error(JsonProblem::NoColon));
            }
            Ok((name, parser.parse_value(depth)?))
        };
        self.parse_items(b'}', pair).map(JsonValue::Object)
    }

    fn parse_array(&mut self, depth: usize) -> Result<JsonValue, JsonError> {
        self.parse_items(b']', |parser| parser.parse_value(depth))
            .map(JsonValue::Array)
    }

    /// Parses the items between two brackets, separated by commas.
    fn parse_items<T>(
        &mut self,
        closing_bracket: u8,
        item: impl Fn(&mut Self) -> Result<T, JsonError>,
    ) -> Result<Vec<T>, JsonError> {
        self.offset += 1;
        let mut items = Vec::new();
        if self.skip_byte(closing_bracket) {
            return Ok(items);
        }
        loop {
            items.push(item(self)?);
            if self.skip_byte(closing_bracket) {
                // Of very many short arrays, the unused capacity would take more memory than the items.
                items.shrink_to_fit();
                return Ok(items);
            }
            if !self.skip_byte(b',') {
                return Err(self.error(JsonProblem::NoComma));
            }
        }
    }

    fn parse_number(&mut self) -> Result<JsonValue, JsonError> {
        let rest = self.rest();
        let end = rest.find(|c: char| !matches!(c, '0'..='9' | '+' | '-' | '.' | 'e' | 'E'));
        let number = &rest[..end.unwrap_or(rest.len())];
        if number.parse::<f64>().is_err() {
            return Err(self.error(JsonProblem::NoNumber));
        }
        self.offset += number.len();
        Ok(JsonValue::Number(number.to_string()))
    }

    fn parse_string(&mut self) -> Result<String, JsonError> {
        if self.peek() != Some(b'"') {
            return Err(self.error(JsonProblem::NoString));
        }
        self.offset += 1;
        let mut text = String::new();
        loop {
            let rest = self.rest();
            let stop = rest
                .find(|c: char| c == '"' || c == '\\' || c < ' ')
                .ok_or_else(|| self.error(JsonProblem::UnterminatedString))?;
            text.push_str(&rest[..stop]);
            self.offset += stop + 1;
            match rest.as_bytes()[stop] {
                b'"' => return Ok(text),
                b'\\' => text.push(self.parse_escaped_character()?),
                _ => return Err(self.error(JsonProblem::ControlCharacter)),
            }
        }
    }

    /// Parses the part of an escape behind the backslash.
    fn parse_escaped_character(&mut self) -> Result<char, JsonError> {
        let byte = self
            .peek()
            .ok_or_else(|| self.error(JsonProblem::UnterminatedString))?;
        self.offset += 1;
        match byte {
            b'"' | b'\\' | b'/' => Ok(char::from(byte)),
            b'b' => Ok('\u{8}'),
            b'f' => Ok('\u{c}'),
            b'n' => Ok('\n'),
            b'r' => Ok('\r'),
            b't' => Ok('\t'),
            b'u' => self.parse_unicode_escape(),
            _ => Err(self.error(JsonProblem::UnknownEscape)),
        }
    }

    /// Parses the part of an escape behind `\u`: one code unit of UTF-16, or a surrogate pair. A surrogate
    /// without a second escape becomes the replacement character.
    fn parse_unicode_escape(&mut self) -> Result<char, JsonError> {
        let unit = self.parse_code_unit()?;
        let is_pair = matches!(unit, 0xd800..0xdc00) && self.rest().starts_with("\\u");
        let code = if is_pair {
            self.offset += "\\u".len();
            let low = self.parse_code_unit()?.wrapping_sub(0xdc00);
            0x1_0000 + ((unit - 0xd800) << 10) + (low & 0x3ff)
        } else {
            unit
        };
        Ok(char::from_u32(code).unwrap_or(char::REPLACEMENT_CHARACTER))
    }

    /// Parses the four hexadecimal digits of a code unit.
    fn parse_code_unit(&mut self) -> Result<u32, JsonError> {
        let digits = self
            .text
            .get(self.offset..self.offset + 4)
            .filter(|digits| digits.bytes().all(|byte| byte.is_ascii_hexdigit()));
        let unit = digits.and_then(|digits| u32::from_str_radix(digits, 16).ok());
        self.offset += 4;
        unit.ok_or_else(|| self.error(JsonProblem::UnknownEscape))
    }
}
