//! Parses message heads, and derives the framing of the body and the persistence of the connection
//! from the header lines (RFC 9112, sections 6 and 9.3).

use crate::protocol::http::{Body, Head, Headers, ReadError, RequestHead, MAX_HEADERS};
use httparse::{Header, Request, Response, Status, EMPTY_HEADER};

/// The length of the parsed head in bytes and the head itself; `None` if the input is incomplete.
pub(super) type Parsed<T> = Result<Option<(usize, T)>, ReadError>;

/// Parses the head of a response.
pub(super) fn parse_response(bytes: &[u8]) -> Parsed<Head> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut response = Response::new(&mut headers);
    let length = match response.parse(bytes) {
        Ok(Status::Complete(length)) => length,
        Ok(Status::Partial) => return Ok(None),
        Err(_) => return Err(ReadError::Malformed("not an HTTP response")),
    };
    let status = response.code.unwrap_or(0);
    let framing = Framing::parse(response.headers, response.version)?;
    let has_no_body = status < 200 || status == 204 || status == 304;
    let body = if has_no_body {
        Body::Empty
    } else {
        framing.body.unwrap_or(Body::UntilClose)
    };
    let head = Head {
        status,
        reason: response.reason.unwrap_or("").to_owned(),
        body,
        keep_alive: framing.keep_alive,
        headers: to_owned(response.headers),
    };
    Ok(Some((length, head)))
}

/// Parses the head of a request.
pub(super) fn parse_request(bytes: &[u8]) -> Parsed<RequestHead> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut request = Request::new(&mut headers);
    let length = match request.parse(bytes) {
        Ok(Status::Complete(length)) => length,
        Ok(Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(ReadError::TooLarge),
        Err(_) => return Err(ReadError::Malformed("not an HTTP request")),
    };
    let framing = Framing::parse(request.headers, request.version)?;
    let head = RequestHead {
        method: request.method.unwrap_or("").to_owned(),
        target: request.path.unwrap_or("").to_owned(),
        is_http_1_1: request.version == Some(1),
        body: framing.body.unwrap_or(Body::Empty),
        keep_alive: framing.keep_alive,
        headers: to_owned(request.headers),
    };
    Ok(Some((length, head)))
}

/// Copies header lines out of the buffer that they were parsed from.
fn to_owned(headers: &[Header]) -> Headers {
    headers
        .iter()
        .map(|header| (header.name.to_owned(), header.value.to_vec()))
        .collect()
}

/// Body framing and connection persistence, as the header lines of a message state them.
struct Framing {
    /// Framing of the body, if a header line announces a body.
    body: Option<Body>,
    /// Whether the connection can be used again after the message.
    keep_alive: bool,
}

impl Framing {
    fn parse(headers: &[Header], version: Option<u8>) -> Result<Self, ReadError> {
        let mut framing = Self {
            body: None,
            keep_alive: version == Some(1),
        };
        for header in headers {
            let value = std::str::from_utf8(header.value).unwrap_or("").trim();
            if header.name.eq_ignore_ascii_case("content-length") {
                framing.add_content_length(value)?;
            } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                framing.add_transfer_encoding(value)?;
            } else if header.name.eq_ignore_ascii_case("connection") {
                framing.add_connection_options(value);
            }
        }
        Ok(framing)
    }

    fn add_content_length(&mut self, value: &str) -> Result<(), ReadError> {
        const MALFORMED: ReadError = ReadError::Malformed("bad Content-Length");
        // Only digits are accepted, as other proxies on the path may parse `+5` or a list
        // differently.
        if !value.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(MALFORMED);
        }
        let length = Body::Length(value.parse().map_err(|_| MALFORMED)?);
        if self.body.is_some_and(|body| body != length) {
            return Err(ReadError::Malformed("two lengths"));
        }
        self.body = Some(length);
        Ok(())
    }

    fn add_transfer_encoding(&mut self, value: &str) -> Result<(), ReadError> {
        if !value.eq_ignore_ascii_case("chunked") {
            return Err(ReadError::Malformed("unknown Transfer-Encoding"));
        }
        if self.body.is_some() {
            return Err(ReadError::Malformed("two lengths"));
        }
        self.body = Some(Body::Chunked);
        Ok(())
    }

    fn add_connection_options(&mut self, value: &str) {
        for option in value.split(',').map(str::trim) {
            if option.eq_ignore_ascii_case("keep-alive") {
                self.keep_alive = true;
            } else if option.eq_ignore_ascii_case("close") {
                self.keep_alive = false;
            }
        }
    }
}
