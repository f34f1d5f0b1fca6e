//! Reads messages from one connection.

use crate::protocol::buffers::{Buffer, SIZE};
use crate::protocol::http::framing::{parse_request, parse_response, Parsed};
use crate::protocol::http::{Body, Broken, Head, RequestHead, MAX_HEADERS};
use httparse::Status;
use std::io::{self, ErrorKind, Read};

/// The least status of a final response; those below are interim ones.
const LEAST_FINAL_STATUS: u16 = 200;

/// Reads messages from one connection, through a buffer that it holds only while it has unread bytes.
///
/// # Errors
///
/// Methods that read fail if the connection ends or fails, if what they read is malformed, and if a head is larger than a
/// buffer or a body larger than allowed. The reader can't be used after that.
pub struct Reader<R> {
    from: R,
    buffer: Buffer,
    /// Where the unread bytes begin in the buffer.
    start: usize,
    /// Where they end.
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

    /// Reads the head of a response.
    pub fn response(&mut self) -> Result<Head, Broken> {
        self.head(parse_response)
    }

    /// Reads the head of a request.
    pub fn request(&mut self) -> Result<RequestHead, Broken> {
        self.head(parse_request)
    }

    fn head<T>(&mut self, parse: impl Fn(&[u8]) -> Parsed<T>) -> Result<T, Broken> {
        if self.drained() {
            // The buffer goes back to the pool between two messages.
            self.buffer = Buffer::none();
            self.discard();
        }
        loop {
            if !self.drained() {
                if let Some((length, head)) = parse(self.rest())? {
                    self.start += length;
                    return Ok(head);
                }
            }
            if !self.fill()? {
                return Err(if self.drained() {
                    Broken::Closed
                } else {
                    io::Error::from(ErrorKind::UnexpectedEof).into()
                });
            }
        }
    }

    /// Reads a response with its body, of `max_bytes` at most. Interim responses are skipped. `is_bodyless`: the request
    /// was a HEAD, so no body follows whatever the head announces.
    pub fn response_with_body(
        &mut self,
        max_bytes: usize,
        is_bodyless: bool,
    ) -> Result<(Head, Vec<u8>), Broken> {
        loop {
            let mut head = self.response()?;
            if head.status < LEAST_FINAL_STATUS {
                continue;
            }
            if is_bodyless {
                head.body = Body::Empty;
            }
            let body = self.body(head.body, max_bytes)?;
            return Ok((head, body));
        }
    }

    /// The bytes that were received and not read.
    pub fn rest(&self) -> &[u8] {
        &self.buffer[self.start..self.end]
    }

    /// The connection that is read from.
    pub fn source(&mut self) -> &mut R {
        &mut self.from
    }

    /// Whether nothing was received beyond what was read.
    pub fn drained(&self) -> bool {
        self.start == self.end
    }

    /// Reads the next bytes of a body as they are received: at least one, at most `max_bytes`.
    pub fn part(&mut self, max_bytes: usize) -> Result<&[u8], Broken> {
        if self.drained() {
            self.fill_or_fail()?;
        }
        let start = self.start;
        self.start += max_bytes.min(self.end - start);
        Ok(&self.buffer[start..self.start])
    }

    /// Reads a whole body, of `max_bytes` at most.
    pub fn body(&mut self, body: Body, max_bytes: usize) -> Result<Vec<u8>, Broken> {
        let mut bytes = Vec::new();
        match body {
            Body::Empty => {}
            Body::Length(length) if length > max_bytes => return Err(Broken::TooLarge),
            Body::Length(length) => self.append(length, &mut bytes)?,
            Body::Chunked => while self.chunk(&mut bytes, max_bytes)? {},
            Body::ToEnd => self.append_to_end(&mut bytes, max_bytes)?,
        }
        Ok(bytes)
    }

    /// Appends the next chunk of a body to `to`, which may have `max_bytes` after it. Returns false after the last chunk.
    pub fn chunk(&mut self, to: &mut Vec<u8>, max_bytes: usize) -> Result<bool, Broken> {
        let size = self.chunk_size()?;
        if size > max_bytes.saturating_sub(to.len()) as u64 {
            return Err(Broken::TooLarge);
        }
        if size == 0 {
            self.skip_trailers()?;
            return Ok(false);
        }
        self.append(size as usize, to)?;
        if !self.line()?.is_empty() {
            return Err(Broken::Malformed("chunk longer than its size"));
        }
        Ok(true)
    }

    fn chunk_size(&mut self) -> Result<u64, Broken> {
        loop {
            match httparse::parse_chunk_size(self.rest()) {
                Ok(Status::Complete((length, size))) => {
                    self.start += length;
                    return Ok(size);
                }
                Ok(Status::Partial) => self.fill_or_fail()?,
                Err(_) => return Err(Broken::Malformed("bad chunk size")),
            }
        }
    }

    /// Skips lines after the last chunk, up to an empty one.
    fn skip_trailers(&mut self) -> Result<(), Broken> {
        for _ in 0..=MAX_HEADERS {
            if self.line()?.is_empty() {
                return Ok(());
            }
        }
        Err(Broken::TooLarge)
    }

    /// Reads a line, without its end.
    fn line(&mut self) -> Result<Vec<u8>, Broken> {
        loop {
            let rest = self.rest();
            if let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
                let line = &rest[..end];
                let line = line.strip_suffix(b"\r").unwrap_or(line).to_vec();
                self.start += end + 1;
                return Ok(line);
            }
            self.fill_or_fail()?;
        }
    }

    /// Appends this many bytes to `to`.
    fn append(&mut self, mut length: usize, to: &mut Vec<u8>) -> Result<(), Broken> {
        while length > 0 {
            let part = self.part(length)?;
            to.extend_from_slice(part);
            length -= part.len();
        }
        Ok(())
    }

    /// Appends all bytes up to the end of the connection to `to`, which may have `max_bytes` after them.
    fn append_to_end(&mut self, to: &mut Vec<u8>, max_bytes: usize) -> Result<(), Broken> {
        loop {
            to.extend_from_slice(self.rest());
            self.discard();
            if to.len() > max_bytes {
                return Err(Broken::TooLarge);
            }
            if !self.fill()? {
                return Ok(());
            }
        }
    }

    /// Drops the unread bytes.
    fn discard(&mut self) {
        self.start = 0;
        self.end = 0;
    }

    /// Receives more bytes; false at the end of the connection.
    fn fill(&mut self) -> Result<bool, Broken> {
        if self.start > 0 {
            self.buffer.copy_within(self.start..self.end, 0);
            self.end -= self.start;
            self.start = 0;
        }
        if self.end == SIZE {
            return Err(Broken::TooLarge);
        }
        let read = self.buffer.read(self.end, &mut self.from)?;
        self.end += read;
        Ok(read > 0)
    }

    /// Receives more bytes; fails at the end of the connection.
    fn fill_or_fail(&mut self) -> Result<(), Broken> {
        if self.fill()? {
            Ok(())
        } else {
            Err(io::Error::from(ErrorKind::UnexpectedEof).into())
        }
    }
}
