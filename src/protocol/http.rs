//! HTTP/1.1 messages over blocking sockets: heads by httparse, bodies by length or in chunks.

use crate::protocol::buffers::{Buffer, SIZE};
use std::io::{self, Read};
use thiserror::Error;

/// How long a body is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Body {
    /// None at all.
    Empty,
    /// So many bytes.
    Length(usize),
    /// In chunks.
    Chunked,
    /// Up to the end of the connection.
    ToEnd,
}

/// Header lines, as they came.
pub type Headers = Vec<(String, Vec<u8>)>;

/// The head of a response.
#[derive(Debug)]
pub struct Head {
    /// Its status.
    pub status: u16,
    /// And what that is called.
    pub reason: String,
    /// The body that follows.
    pub body: Body,
    /// The connection goes on after it.
    pub keep: bool,
    /// Its header lines.
    pub headers: Headers,
}

/// The head of a request.
#[derive(Debug)]
pub struct Ask {
    /// Its method.
    pub method: String,
    /// What it asks for.
    pub target: String,
    /// HTTP/1.1.
    pub modern: bool,
    /// The body that follows.
    pub body: Body,
    /// The connection goes on after it.
    pub keep: bool,
    /// Its header lines.
    pub headers: Headers,
}

/// The value of the first header line of this name.
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a [u8]> {
    headers
        .iter()
        .find(|(n, _)| n.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_slice())
}

/// Copies header lines out of the buffer that they were parsed in.
pub fn copied(headers: &[httparse::Header]) -> Headers {
    headers
        .iter()
        .map(|h| (h.name.to_owned(), h.value.to_vec()))
        .collect()
}

/// Header lines in a message at most.
pub const HEADERS: usize = 64;

/// Why a message can't be read.
#[derive(Debug, Error)]
pub enum Broken {
    /// The connection ended between two messages.
    #[error("the connection was closed")]
    Closed,
    /// The connection failed, or ended inside a message.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The message is not valid HTTP.
    #[error("{0}")]
    Malformed(&'static str),
    /// A head is larger than a buffer, or a body larger than the caller allows.
    #[error("the message is too large")]
    TooLarge,
}

/// Reads messages from one connection.
pub struct Reader<R> {
    from: R,
    buffer: Buffer,
    start: usize,
    end: usize,
}

impl<R: Read> Reader<R> {
    /// A reader at the start of a message.
    pub fn new(from: R) -> Self {
        Self {
            from,
            buffer: Buffer::none(),
            start: 0,
            end: 0,
        }
    }

    /// Reads more; false at the end of the connection.
    fn more(&mut self) -> Result<bool, Broken> {
        if self.start > 0 {
            self.buffer.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
        }
        if self.end == SIZE {
            return Err(Broken::TooLarge);
        }
        let read = self.buffer.read(self.end, &mut self.from)?;
        self.end += read;
        Ok(read > 0)
    }

    fn must_more(&mut self) -> Result<(), Broken> {
        match self.more()? {
            true => Ok(()),
            false => Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
        }
    }

    /// Reads a head with `parse`, which gives its length and what it says once it is whole.
    pub fn head<T>(
        &mut self,
        parse: impl Fn(&[u8]) -> Result<Option<(usize, T)>, Broken>,
    ) -> Result<T, Broken> {
        if self.start == self.end {
            // Given back between two messages.
            (self.buffer, self.start, self.end) = (Buffer::none(), 0, 0);
        }
        loop {
            if self.start < self.end {
                if let Some((length, said)) = parse(&self.buffer[self.start..self.end])? {
                    self.start += length;
                    return Ok(said);
                }
            }
            if !self.more()? {
                return Err(match self.start == self.end {
                    true => Broken::Closed,
                    false => io::Error::from(io::ErrorKind::UnexpectedEof).into(),
                });
            }
        }
    }

    /// Reads the head of a response.
    pub fn response(&mut self) -> Result<Head, Broken> {
        self.head(|bytes| {
            let mut headers = [httparse::EMPTY_HEADER; HEADERS];
            let mut response = httparse::Response::new(&mut headers);
            match response.parse(bytes) {
                Ok(httparse::Status::Complete(length)) => {
                    let status = response.code.unwrap_or(0);
                    let (body, keep) = framing(response.headers, response.version)?;
                    let bare = status < 200 || status == 204 || status == 304;
                    let body = if bare {
                        Body::Empty
                    } else {
                        body.unwrap_or(Body::ToEnd)
                    };
                    let (headers, reason) = (
                        copied(response.headers),
                        response.reason.unwrap_or("").to_owned(),
                    );
                    Ok(Some((
                        length,
                        Head {
                            status,
                            reason,
                            body,
                            keep,
                            headers,
                        },
                    )))
                }
                Ok(httparse::Status::Partial) => Ok(None),
                Err(_) => Err(Broken::Malformed("not an HTTP response")),
            }
        })
    }

    /// Reads the head of a request.
    pub fn request(&mut self) -> Result<Ask, Broken> {
        self.head(|bytes| {
            let mut headers = [httparse::EMPTY_HEADER; HEADERS];
            let mut request = httparse::Request::new(&mut headers);
            match request.parse(bytes) {
                Ok(httparse::Status::Complete(length)) => {
                    let (body, keep) = framing(request.headers, request.version)?;
                    let ask = Ask {
                        method: request.method.unwrap_or("").to_owned(),
                        target: request.path.unwrap_or("").to_owned(),
                        modern: request.version == Some(1),
                        body: body.unwrap_or(Body::Empty),
                        keep,
                        headers: copied(request.headers),
                    };
                    Ok(Some((length, ask)))
                }
                Ok(httparse::Status::Partial) => Ok(None),
                Err(httparse::Error::TooManyHeaders) => Err(Broken::TooLarge),
                Err(_) => Err(Broken::Malformed("not an HTTP request")),
            }
        })
    }

    /// Reads a whole response, `bare` if it answers a HEAD; interim ones are passed over.
    pub fn response_with_body(
        &mut self,
        most: usize,
        bare: bool,
    ) -> Result<(Head, Vec<u8>), Broken> {
        loop {
            let mut head = self.response()?;
            if head.status >= 200 {
                if bare {
                    head.body = Body::Empty;
                }
                let body = self.body(head.body, most)?;
                return Ok((head, body));
            }
        }
    }

    /// What has been read and not taken.
    pub fn rest(&self) -> &[u8] {
        &self.buffer[self.start..self.end]
    }

    /// What is read from.
    pub fn source(&mut self) -> &mut R {
        &mut self.from
    }

    /// Nothing has been read beyond the last message.
    pub fn drained(&self) -> bool {
        self.start == self.end
    }

    /// The next bytes of a body, one at least and so many at most, as they come.
    pub fn part(&mut self, most: usize) -> Result<&[u8], Broken> {
        if self.start == self.end {
            self.must_more()?;
        }
        let size = most.min(self.end - self.start);
        self.start += size;
        Ok(&self.buffer[self.start - size..self.start])
    }

    /// Reads a whole body.
    pub fn body(&mut self, body: Body, most: usize) -> Result<Vec<u8>, Broken> {
        let mut whole = Vec::new();
        match body {
            Body::Empty => {}
            Body::Length(size) if size > most => return Err(Broken::TooLarge),
            Body::Length(size) => self.take(size, &mut whole)?,
            Body::Chunked => while self.chunk(&mut whole, most)? {},
            Body::ToEnd => loop {
                whole.extend_from_slice(&self.buffer[self.start..self.end]);
                (self.start, self.end) = (0, 0);
                if whole.len() > most {
                    return Err(Broken::TooLarge);
                }
                if !self.more()? {
                    break;
                }
            },
        }
        Ok(whole)
    }

    fn take(&mut self, mut size: usize, to: &mut Vec<u8>) -> Result<(), Broken> {
        while size > 0 {
            if self.start == self.end {
                self.must_more()?;
            }
            let part = size.min(self.end - self.start);
            to.extend_from_slice(&self.buffer[self.start..self.start + part]);
            (self.start, size) = (self.start + part, size - part);
        }
        Ok(())
    }

    /// Appends the next chunk of a body, which may come to so much then; false after the last.
    pub fn chunk(&mut self, to: &mut Vec<u8>, most: usize) -> Result<bool, Broken> {
        loop {
            match httparse::parse_chunk_size(&self.buffer[self.start..self.end]) {
                Ok(httparse::Status::Complete((skip, size))) => {
                    self.start += skip;
                    if size > most.saturating_sub(to.len()) as u64 {
                        return Err(Broken::TooLarge);
                    }
                    if size == 0 {
                        // Trailers, if any, up to an empty line.
                        for _ in 0..=HEADERS {
                            if self.line()?.is_empty() {
                                return Ok(false);
                            }
                        }
                        return Err(Broken::TooLarge);
                    }
                    self.take(size as usize, to)?;
                    return match self.line()?.is_empty() {
                        true => Ok(true),
                        false => Err(Broken::Malformed("chunk longer than its size")),
                    };
                }
                Ok(httparse::Status::Partial) => self.must_more()?,
                Err(_) => return Err(Broken::Malformed("bad chunk size")),
            }
        }
    }

    fn line(&mut self) -> Result<Vec<u8>, Broken> {
        loop {
            if let Some(at) = self.buffer[self.start..self.end]
                .iter()
                .position(|b| *b == b'\n')
            {
                let line = self.buffer[self.start..self.start + at].to_vec();
                self.start += at + 1;
                return Ok(line.strip_suffix(b"\r").map(<[u8]>::to_vec).unwrap_or(line));
            }
            self.must_more()?;
        }
    }
}

/// The body that these headers announce, if any, and whether the connection goes on after it.
pub fn framing(
    headers: &[httparse::Header],
    version: Option<u8>,
) -> Result<(Option<Body>, bool), Broken> {
    let mut body = None;
    let mut keep = version == Some(1);
    for header in headers {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            // Digits alone: `+5` or a list would be read differently by others on the way.
            let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            let size = value
                .parse()
                .ok()
                .filter(|_| digits)
                .ok_or(Broken::Malformed("bad Content-Length"))?;
            if body.is_some_and(|b| b != Body::Length(size)) {
                return Err(Broken::Malformed("two lengths"));
            }
            body = Some(Body::Length(size));
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") {
                return Err(Broken::Malformed("unknown Transfer-Encoding"));
            }
            if body.is_some() {
                return Err(Broken::Malformed("two lengths"));
            }
            body = Some(Body::Chunked);
        } else if header.name.eq_ignore_ascii_case("connection") {
            for word in value.split(',').map(str::trim) {
                keep = (keep || word.eq_ignore_ascii_case("keep-alive"))
                    && !word.eq_ignore_ascii_case("close");
            }
        }
    }
    Ok((body, keep))
}
