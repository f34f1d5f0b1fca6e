//! Reader of HTTP messages from one connection.

use crate::protocol::buffers::{Buffer, BUFFER_BYTES};
use crate::protocol::http::framing::{parse_request, parse_response, Parsed};
use crate::protocol::http::{Body, Head, ReadError, RequestHead, MAX_HEADERS};
use httparse::Status;
use std::io::{self, ErrorKind, Read};

/// Lowest status of a final response. Responses with lower statuses are interim responses.
const MIN_FINAL_STATUS: u16 = 200;

/// Reads messages from one connection. The reader holds a buffer only while there are unread bytes.
///
/// # Errors
///
/// Methods that read return an error if the connection ends or fails, if the message is malformed,
/// if a head is larger than a buffer, or if a body is larger than allowed. The reader can't be used
/// after an error.
pub struct Reader<R> {
    from: R,
    buffer: Buffer,
    /// Index of the first unread byte in the buffer.
    start: usize,
    /// Index of the end of the unread bytes.
    end: usize,
}

impl<R: Read> Reader<R> {
    /// Creates a reader for a connection that is at the start of a message.
    pub fn new(from: R) -> Self {
        Self {
            from,
            buffer: Buffer::empty(),
            start: 0,
            end: 0,
        }
    }

    /// Reads the head of a response.
    pub fn read_response(&mut self) -> Result<Head, ReadError> {
        self.head(parse_response)
    }

    /// Reads the head of a request.
    pub fn read_request(&mut self) -> Result<RequestHead, ReadError> {
        self.head(parse_request)
    }

    fn head<T>(&mut self, parse: impl Fn(&[u8]) -> Parsed<T>) -> Result<T, ReadError> {
        if self.is_drained() {
            // Returns the buffer to the pool between two messages.
            self.buffer = Buffer::empty();
            self.discard();
        }
        loop {
            if !self.is_drained() {
                if let Some((length, head)) = parse(self.unread())? {
                    self.start += length;
                    return Ok(head);
                }
            }
            if !self.fill()? {
                return Err(if self.is_drained() {
                    ReadError::Closed
                } else {
                    io::Error::from(ErrorKind::UnexpectedEof).into()
                });
            }
        }
    }

    /// Reads a final response with its body of at most `max_bytes`, and skips interim responses.
    /// `is_bodyless` states that the request was HEAD: its response has no body, even if the head
    /// announces one.
    pub fn read_response_with_body(
        &mut self,
        max_bytes: usize,
        is_bodyless: bool,
    ) -> Result<(Head, Vec<u8>), ReadError> {
        loop {
            let mut head = self.read_response()?;
            if head.status < MIN_FINAL_STATUS {
                continue;
            }
            if is_bodyless {
                head.body = Body::Empty;
            }
            let body = self.read_body(head.body, max_bytes)?;
            return Ok((head, body));
        }
    }

    /// Returns the bytes that were received and have not been read.
    pub fn unread(&self) -> &[u8] {
        &self.buffer[self.start..self.end]
    }

    /// Returns the connection that the reader reads from.
    pub fn source(&mut self) -> &mut R {
        &mut self.from
    }

    /// Whether all received bytes have been read.
    pub fn is_drained(&self) -> bool {
        self.start == self.end
    }

    /// Reads the next available bytes of a body: at least one, and at most `max_bytes`.
    pub fn body_fragment(&mut self, max_bytes: usize) -> Result<&[u8], ReadError> {
        if self.is_drained() {
            self.fill_or_fail()?;
        }
        let start = self.start;
        self.start += max_bytes.min(self.end - start);
        Ok(&self.buffer[start..self.start])
    }

    /// Reads a whole body of at most `max_bytes`.
    pub fn read_body(&mut self, body: Body, max_bytes: usize) -> Result<Vec<u8>, ReadError> {
        let mut bytes = Vec::new();
        match body {
            Body::Empty => {}
            Body::Length(length) if length > max_bytes => return Err(ReadError::TooLarge),
            Body::Length(length) => self.append(length, &mut bytes)?,
            Body::Chunked => while self.read_chunk(&mut bytes, max_bytes)? {},
            Body::UntilClose => self.append_until_close(&mut bytes, max_bytes)?,
        }
        Ok(bytes)
    }

    /// Appends the next chunk of a body to `to`, whose length may not exceed `max_bytes`. Returns
    /// false at the end of the body.
    pub fn read_chunk(&mut self, to: &mut Vec<u8>, max_bytes: usize) -> Result<bool, ReadError> {
        let size = self.chunk_size()?;
        if size > max_bytes.saturating_sub(to.len()) as u64 {
            return Err(ReadError::TooLarge);
        }
        if size == 0 {
            self.skip_trailers()?;
            return Ok(false);
        }
        self.append(size as usize, to)?;
        if !self.line()?.is_empty() {
            return Err(ReadError::Malformed("chunk longer than its size"));
        }
        Ok(true)
    }

    fn chunk_size(&mut self) -> Result<u64, ReadError> {
        loop {
            match httparse::parse_chunk_size(self.unread()) {
                Ok(Status::Complete((length, size))) => {
                    self.start += length;
                    return Ok(size);
                }
                Ok(Status::Partial) => self.fill_or_fail()?,
                Err(_) => return Err(ReadError::Malformed("bad chunk size")),
            }
        }
    }

    /// Skips the trailer lines after the last chunk, up to and including the empty line.
    fn skip_trailers(&mut self) -> Result<(), ReadError> {
        for _ in 0..=MAX_HEADERS {
            if self.line()?.is_empty() {
                return Ok(());
            }
        }
        Err(ReadError::TooLarge)
    }

    /// Reads a line and returns it without the line end.
    fn line(&mut self) -> Result<Vec<u8>, ReadError> {
        loop {
            let unread = self.unread();
            if let Some(end) = unread.iter().position(|byte| *byte == b'\n') {
                let line = &unread[..end];
                let line = line.strip_suffix(b"\r").unwrap_or(line).to_vec();
                self.start += end + 1;
                return Ok(line);
            }
            self.fill_or_fail()?;
        }
    }

    /// Reads `length` bytes and appends them to `to`.
    fn append(&mut self, mut length: usize, to: &mut Vec<u8>) -> Result<(), ReadError> {
        while length > 0 {
            let fragment = self.body_fragment(length)?;
            to.extend_from_slice(fragment);
            length -= fragment.len();
        }
        Ok(())
    }

    /// Appends all bytes up to the end of the connection to `to`, whose length may not exceed
    /// `max_bytes`.
    fn append_until_close(&mut self, to: &mut Vec<u8>, max_bytes: usize) -> Result<(), ReadError> {
        loop {
            to.extend_from_slice(self.unread());
            self.discard();
            if to.len() > max_bytes {
                return Err(ReadError::TooLarge);
            }
            if !self.fill()? {
                return Ok(());
            }
        }
    }

    /// Discards the unread bytes.
    fn discard(&mut self) {
        self.start = 0;
        self.end = 0;
    }

    /// Receives more bytes. Returns false at the end of the connection.
    fn fill(&mut self) -> Result<bool, ReadError> {
        if self.start > 0 {
            self.buffer.copy_within(self.start..self.end, 0);
            self.end -= self.start;
            self.start = 0;
        }
        if self.end == BUFFER_BYTES {
            return Err(ReadError::TooLarge);
        }
        let received = self.buffer.read(self.end, &mut self.from)?;
        self.end += received;
        Ok(received > 0)
    }

    /// Receives more bytes. Returns an error at the end of the connection.
    fn fill_or_fail(&mut self) -> Result<(), ReadError> {
        if self.fill()? {
            Ok(())
        } else {
            Err(io::Error::from(ErrorKind::UnexpectedEof).into())
        }
    }
}
