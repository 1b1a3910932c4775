//! Operators' calls: requests and responses of HTTP/1.1, one for each connection. A second request behind the first is
//! not looked at.

use thiserror::Error;

/// Longest head of a request, in bytes without its end.
pub const MAX_HEAD_LENGTH: usize = 4096;
/// Longest body of a request, in bytes.
const MAX_BODY_LENGTH: usize = 2048;
/// The end of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// The only version that is spoken.
const HTTP_VERSION: &str = "HTTP/1.1";

/// A request, whose body has come and is not looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpRequest<'a> {
    /// The method, in capital letters.
    pub method: &'a str,
    /// The path without a query.
    pub path: &'a str,
}

/// A response's status. As an error it shows its explanation, which is also the body of a response that has no other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HttpStatus {
    /// 200.
    #[error("yes")]
    Ok,
    /// 400, and why.
    #[error("{0}")]
    BadRequest(&'static str),
    /// 404.
    #[error("nothing is called by this path")]
    NotFound,
    /// 405, and the method that the path has.
    #[error("another method is allowed")]
    MethodNotAllowed(&'static str),
    /// 408.
    #[error("the call did not come in time")]
    RequestTimeout,
    /// 411.
    #[error("a body needs its length")]
    LengthRequired,
    /// 413: the body is longer than two KiB.
    #[error("the body is too long")]
    ContentTooLarge,
    /// 431: the head is longer than [`MAX_HEAD_LENGTH`].
    #[error("the head is too long")]
    HeaderFieldsTooLarge,
    /// 503, and why.
    #[error("{0}")]
    ServiceUnavailable(&'static str),
    /// 505: another version than 1.1.
    #[error("only HTTP/1.1 is spoken")]
    VersionNotSupported,
}

const BAD_REQUEST_LINE: HttpStatus =
    HttpStatus::BadRequest("the first line is not a method, a path and a version");
const BAD_LENGTH: HttpStatus = HttpStatus::BadRequest("the body's length is none");

impl HttpStatus {
    /// The status's number and its standard phrase.
    fn code_and_phrase(self) -> (u16, &'static str) {
        match self {
            HttpStatus::Ok => (200, "OK"),
            HttpStatus::BadRequest(_) => (400, "Bad Request"),
            HttpStatus::NotFound => (404, "Not Found"),
            HttpStatus::MethodNotAllowed(_) => (405, "Method Not Allowed"),
            HttpStatus::RequestTimeout => (408, "Request Timeout"),
            HttpStatus::LengthRequired => (411, "Length Required"),
            HttpStatus::ContentTooLarge => (413, "Content Too Large"),
            HttpStatus::HeaderFieldsTooLarge => (431, "Request Header Fields Too Large"),
            HttpStatus::ServiceUnavailable(_) => (503, "Service Unavailable"),
            HttpStatus::VersionNotSupported => (505, "HTTP Version Not Supported"),
        }
    }

    /// What the status means, in a few words.
    pub fn explanation(self) -> String {
        self.to_string()
    }
}

/// A complete response; without a body of its own it has the status's explanation as one.
pub fn response_text(status: HttpStatus, body: Option<&str>) -> String {
    let (code, phrase) = status.code_and_phrase();
    let allow = match status {
        HttpStatus::MethodNotAllowed(method) => format!("Allow: {method}\r\n"),
        _ => String::new(),
    };
    let body = body.map_or_else(|| format!("{status}\n"), String::from);
    let length = body.len();
    format!(
        "{HTTP_VERSION} {code} {phrase}\r\nContent-Type: text/plain; charset=utf-8\r\n\
         Content-Length: {length}\r\n{allow}Connection: close\r\n\r\n{body}"
    )
}

/// Parses the request in `bytes` once it has come with its body; `None` while it has not.
///
/// Fails with the status to respond with.
pub fn parse(bytes: &[u8]) -> Result<Option<HttpRequest<'_>>, HttpStatus> {
    let head_length = bytes
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END);
    if head_length.unwrap_or(bytes.len()) > MAX_HEAD_LENGTH {
        return Err(HttpStatus::HeaderFieldsTooLarge);
    }
    let Some(head_length) = head_length else {
        return Ok(None);
    };
    let head = std::str::from_utf8(&bytes[..head_length])
        .map_err(|_| HttpStatus::BadRequest("the head is not text"))?;
    let mut lines = head.split("\r\n");
    let (method, target) = parse_request_line(lines.next().unwrap_or_default())?;
    let body_length = parse_body_length(lines)?;
    if body_length > MAX_BODY_LENGTH {
        return Err(HttpStatus::ContentTooLarge);
    }
    let received = bytes.len() - head_length - HEAD_END.len();
    if received < body_length {
        return Ok(None);
    }
    let path = target.split('?').next().unwrap_or_default();
    Ok(Some(HttpRequest { method, path }))
}

/// The method and the target in a request's first line.
fn parse_request_line(line: &str) -> Result<(&str, &str), HttpStatus> {
    let mut words = line.split(' ');
    let (Some(method), Some(target), Some(version), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err(BAD_REQUEST_LINE);
    };
    if version != HTTP_VERSION {
        return Err(if version.starts_with("HTTP/") {
            HttpStatus::VersionNotSupported
        } else {
            HttpStatus::BadRequest("the version is none")
        });
    }
    let is_method = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
    if !is_method || !target.starts_with('/') {
        return Err(BAD_REQUEST_LINE);
    }
    Ok((method, target))
}

/// The body's length that the headers name, or zero; checks the headers on the way.
fn parse_body_length<'a>(headers: impl Iterator<Item = &'a str>) -> Result<usize, HttpStatus> {
    let mut host_headers = 0;
    let mut body_length = None;
    for header in headers {
        let (name, value) = header
            .split_once(':')
            .ok_or(HttpStatus::BadRequest("a header has no colon"))?;
        if name.is_empty() || name.bytes().any(|byte| byte.is_ascii_whitespace()) {
            return Err(HttpStatus::BadRequest("a header's name is none"));
        }
        if name.eq_ignore_ascii_case("host") {
            host_headers += 1;
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(HttpStatus::LengthRequired);
        } else if name.eq_ignore_ascii_case("content-length") {
            let length = parse_content_length(value.trim())?;
            if body_length
                .replace(length)
                .is_some_and(|before| before != length)
            {
                return Err(BAD_LENGTH);
            }
        }
    }
    if host_headers != 1 {
        return Err(HttpStatus::BadRequest("a call names its host once"));
    }
    Ok(body_length.unwrap_or(0))
}

fn parse_content_length(digits: &str) -> Result<usize, HttpStatus> {
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(BAD_LENGTH);
    }
    // A number that doesn't fit is a body that is too long.
    Ok(digits.parse().unwrap_or(usize::MAX))
}
