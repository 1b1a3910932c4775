//! The server side of HTTP/1.1 for operators: parses requests and writes responses. Each connection carries one
//! request; a second one behind it is ignored.

use thiserror::Error;

/// Longest head of a request, in bytes without the empty line.
pub const MAX_HEAD_LENGTH: usize = 4096;
/// Longest body of a request, in bytes.
const MAX_BODY_LENGTH: usize = 2048;
/// The end of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// The only supported version.
const HTTP_VERSION: &str = "HTTP/1.1";

/// A complete request. Its body has been received and is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpRequest<'a> {
    /// The method, in upper case.
    pub method: &'a str,
    /// The path without a query.
    pub path: &'a str,
}

/// A response's status. Its `Display` text is the body of a response that has no other body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HttpStatus {
    /// 200.
    #[error("yes")]
    Ok,
    /// 400, with the reason.
    #[error("{0}")]
    BadRequest(&'static str),
    /// 404.
    #[error("nothing is called by this path")]
    NotFound,
    /// 405, with the method that the path allows.
    #[error("another method is allowed")]
    MethodNotAllowed(&'static str),
    /// 408.
    #[error("the call did not come in time")]
    RequestTimeout,
    /// 411.
    #[error("a body needs its length")]
    LengthRequired,
    /// 413: the body is longer than 2 KiB.
    #[error("the body is too long")]
    ContentTooLarge,
    /// 431: the head is longer than [`MAX_HEAD_LENGTH`].
    #[error("the head is too long")]
    HeaderFieldsTooLarge,
    /// 503, with the reason.
    #[error("{0}")]
    ServiceUnavailable(&'static str),
    /// 505: another version than 1.1.
    #[error("only HTTP/1.1 is spoken")]
    VersionNotSupported,
}

/// The request line is not of the form `METHOD /path HTTP/1.1`.
const INVALID_REQUEST_LINE: HttpStatus =
    HttpStatus::BadRequest("the first line is not a method, a path and a version");
/// `Content-Length` is not a number, or two such headers differ.
const INVALID_CONTENT_LENGTH: HttpStatus = HttpStatus::BadRequest("the body's length is none");

impl HttpStatus {
    /// The status code and its standard reason phrase.
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

    /// The reason for the status in a few words, as in the response's body.
    pub fn explanation(self) -> String {
        self.to_string()
    }
}

/// A complete response. Without `body`, its body is the status's explanation.
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

/// Parses the request in `bytes`; `None` while its head or body is incomplete.
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
        return Err(INVALID_REQUEST_LINE);
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
        return Err(INVALID_REQUEST_LINE);
    }
    Ok((method, target))
}

/// The body's length by `Content-Length`, or zero without it. Also checks the syntax of all headers, and that there is
/// exactly one `Host`.
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
                .is_some_and(|previous| previous != length)
            {
                return Err(INVALID_CONTENT_LENGTH);
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
        return Err(INVALID_CONTENT_LENGTH);
    }
    // A number too large for `usize` is a body that is too long.
    Ok(digits.parse().unwrap_or(usize::MAX))
}
