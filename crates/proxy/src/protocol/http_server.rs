//! Operators' calls: HTTP/1.1, one a connection. A second call behind the first is not looked at.

/// Longest head, and longest body.
pub const MAX_HEAD_LENGTH: usize = 4096;
const LONGEST_BODY: usize = 2048;
const END: &[u8] = b"\r\n\r\n";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpRequest<'a> {
    pub method: &'a str,
    /// Without a query.
    pub path: &'a str,
}

/// An answer's status; its text is all that the answer's body says beside figures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpStatus {
    Ok,
    BadRequest(&'static str),
    NotFound,
    /// The method that the path is called with.
    MethodNotAllowed(&'static str),
    RequestTimeout,
    LengthRequired,
    ContentTooLarge,
    HeaderFieldsTooLarge,
    ServiceUnavailable(&'static str),
    VersionNotSupported,
}

impl HttpStatus {
    fn parts(self) -> (u16, &'static str, &'static str) {
        match self {
            HttpStatus::Ok => (200, "OK", "yes"),
            HttpStatus::BadRequest(why) => (400, "Bad Request", why),
            HttpStatus::NotFound => (404, "Not Found", "nothing is called by this path"),
            HttpStatus::MethodNotAllowed(_) => {
                (405, "Method Not Allowed", "another method is allowed")
            }
            HttpStatus::RequestTimeout => (408, "Request Timeout", "the call did not come in time"),
            HttpStatus::LengthRequired => (411, "Length Required", "a body needs its length"),
            HttpStatus::ContentTooLarge => (413, "Content Too Large", "the body is too long"),
            HttpStatus::HeaderFieldsTooLarge => (
                431,
                "Request Header Fields Too Large",
                "the head is too long",
            ),
            HttpStatus::ServiceUnavailable(why) => (503, "Service Unavailable", why),
            HttpStatus::VersionNotSupported => {
                (505, "HTTP Version Not Supported", "only HTTP/1.1 is spoken")
            }
        }
    }

    pub fn explanation(self) -> &'static str {
        self.parts().2
    }
}

/// A whole answer; without a text it says what the status means.
pub fn response_text(status: HttpStatus, text: Option<&str>) -> String {
    let (code, reason, why) = status.parts();
    let allow = if let HttpStatus::MethodNotAllowed(method) = status {
        format!("Allow: {method}\r\n")
    } else {
        "".into()
    };
    let body = text.map_or_else(|| format!("{why}\n"), String::from);
    let (kind, n) = ("Content-Type: text/plain; charset=utf-8", body.len());
    format!(
        "HTTP/1.1 {code} {reason}\r\n{kind}\r\nContent-Length: {n}\r\n{allow}Connection: close\r\n\r\n{body}"
    )
}

/// The call in `bytes`, once it is whole with its body; `None` while it is not.
pub fn parse(bytes: &[u8]) -> Result<Option<HttpRequest<'_>>, HttpStatus> {
    let Some(end) = bytes.windows(END.len()).position(|four| four == END) else {
        return if bytes.len() > MAX_HEAD_LENGTH {
            Err(HttpStatus::HeaderFieldsTooLarge)
        } else {
            Ok(None)
        };
    };
    if end > MAX_HEAD_LENGTH {
        return Err(HttpStatus::HeaderFieldsTooLarge);
    }
    let head = std::str::from_utf8(&bytes[..end])
        .map_err(|_| HttpStatus::BadRequest("the head is not text"))?;
    let mut lines = head.split("\r\n");
    let mut words = lines.next().unwrap_or_default().split(' ');
    let (Some(method), Some(path), Some(version), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err(HttpStatus::BadRequest(
            "the first line is not a method, a path and a version",
        ));
    };
    if version != "HTTP/1.1" {
        let known = version.starts_with("HTTP/");
        return Err(if known {
            HttpStatus::VersionNotSupported
        } else {
            HttpStatus::BadRequest("the version is none")
        });
    }
    if method.is_empty()
        || !method.bytes().all(|b| b.is_ascii_uppercase())
        || !path.starts_with('/')
    {
        return Err(HttpStatus::BadRequest(
            "the first line is not a method, a path and a version",
        ));
    }
    let (mut hosts, mut length) = (0, None);
    for line in lines {
        let (name, value) = line
            .split_once(':')
            .ok_or(HttpStatus::BadRequest("a header has no colon"))?;
        if name.is_empty() || name.bytes().any(|b| b.is_ascii_whitespace()) {
            return Err(HttpStatus::BadRequest("a header's name is none"));
        }
        let (is, value) = (|known: &str| name.eq_ignore_ascii_case(known), value.trim());
        if is("host") {
            hosts += 1;
        } else if is("transfer-encoding") {
            return Err(HttpStatus::LengthRequired);
        } else if is("content-length") {
            let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            let bad = HttpStatus::BadRequest("the body's length is none");
            let told = if digits {
                value.parse::<usize>().unwrap_or(usize::MAX)
            } else {
                return Err(bad);
            };
            if length.replace(told).is_some_and(|before| before != told) {
                return Err(bad);
            }
        }
    }
    if hosts != 1 {
        return Err(HttpStatus::BadRequest("a call names its host once"));
    }
    let length = length.unwrap_or(0);
    if length > LONGEST_BODY {
        return Err(HttpStatus::ContentTooLarge);
    }
    let whole = bytes.len() - end - END.len() >= length;
    let path = path.split('?').next().unwrap_or_default();
    Ok(whole.then_some(HttpRequest { method, path }))
}
