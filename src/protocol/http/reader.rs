//! Reader of HTTP messages from one connection.

use crate::memory::{MemoryBudget, MemoryHolder};
use crate::protocol::buffers::{read_uninterrupted, Buffer, BUFFER_BYTES};
use crate::protocol::http::framing::{parse_request, parse_response, Parsed};
use crate::protocol::http::{Body, Head, ReadError, RequestHead, MAX_HEADERS};
use httparse::Status;
use std::io::{self, ErrorKind, Read};
use std::sync::Arc;

/// Maximum number of bytes of a body that are received at a time.
const BODY_READ_BYTES: usize = 16 * 1024;
/// Lowest status of a final response. Responses with lower statuses are interim responses.
const MIN_FINAL_STATUS: u16 = 200;

/// A memory budget, and what the buffer of a reader is charged as.
struct BufferMemory {
    budget: Arc<MemoryBudget>,
    holder: MemoryHolder,
}

/// Reads messages from one connection. The reader holds a buffer only while there are unread bytes.
///
/// # Errors
///
/// Methods that read return an error if the connection ends or fails, if the message is malformed,
/// if a head is larger than a buffer, if a body is larger than allowed, or if there is no memory for
/// the message. The reader can't be used after an error.
pub struct Reader<R> {
    from: R,
    /// What a buffer of full size is charged to; none if it is not charged.
    memory: Option<BufferMemory>,
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
            memory: None,
            buffer: Buffer::empty(),
            start: 0,
            end: 0,
        }
    }

    /// Creates a reader whose buffer is charged to a budget once it is larger than a small one.
    pub fn with_memory(from: R, budget: Arc<MemoryBudget>, holder: MemoryHolder) -> Self {
        Self {
            memory: Some(BufferMemory { budget, holder }),
            ..Self::new(from)
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
        let bytes = self.read_body_within(body, max_bytes, &mut |_| true)?;
        Ok(bytes.unwrap_or_default())
    }

    /// Reads a whole body of at most `max_bytes`. `has_memory` states whether a number of bytes may
    /// be held; it is called with the length, or before a body of unknown length gets longer. Once
    /// it returns false, the body is skipped up to its end and `None` returned.
    pub fn read_body_within(
        &mut self,
        body: Body,
        max_bytes: usize,
        has_memory: &mut dyn FnMut(usize) -> bool,
    ) -> Result<Option<Vec<u8>>, ReadError> {
        match body {
            Body::Empty => Ok(Some(Vec::new())),
            Body::Length(length) if length > max_bytes => Err(ReadError::TooLarge),
            Body::Length(length) if has_memory(length) => {
                let mut bytes = Vec::with_capacity(length);
                self.append(length, &mut bytes)?;
                Ok(Some(bytes))
            }
            Body::Length(length) => self.skip(length).map(|()| None),
            Body::Chunked => self.read_chunks_within(max_bytes, has_memory),
            Body::UntilClose => self.read_until_close(max_bytes, has_memory),
        }
    }

    fn read_chunks_within(
        &mut self,
        max_bytes: usize,
        has_memory: &mut dyn FnMut(usize) -> bool,
    ) -> Result<Option<Vec<u8>>, ReadError> {
        let mut bytes = Some(Vec::new());
        let mut length = 0;
        loop {
            let size = self.next_chunk(max_bytes - length)?;
            if size == 0 {
                self.skip_trailers()?;
                return Ok(bytes);
            }
            length += size;
            bytes = bytes.filter(|_| has_memory(length));
            match &mut bytes {
                Some(bytes) => self.append(size, bytes)?,
                None => self.skip(size)?,
            }
            self.end_chunk()?;
        }
    }

    fn skip(&mut self, mut length: usize) -> Result<(), ReadError> {
        while length > 0 {
            length -= self.body_fragment(length)?.len();
        }
        Ok(())
    }

    /// Appends the next chunk of a body to `to`, whose length may not exceed `max_bytes`. Returns
    /// false at the end of the body.
    pub fn read_chunk(&mut self, to: &mut Vec<u8>, max_bytes: usize) -> Result<bool, ReadError> {
        let size = self.next_chunk(max_bytes.saturating_sub(to.len()))?;
        if size == 0 {
            self.skip_trailers()?;
            return Ok(false);
        }
        self.append(size, to)?;
        self.end_chunk()?;
        Ok(true)
    }

    /// Returns the size of the next chunk, which is 0 for the last one.
    fn next_chunk(&mut self, max_bytes: usize) -> Result<usize, ReadError> {
        let size = self.chunk_size()?;
        if size > max_bytes as u64 {
            return Err(ReadError::TooLarge);
        }
        Ok(size as usize)
    }

    /// Reads the line end that follows the bytes of a chunk.
    fn end_chunk(&mut self) -> Result<(), ReadError> {
        if self.line()?.is_empty() {
            Ok(())
        } else {
            Err(ReadError::Malformed("chunk longer than its size"))
        }
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

    /// Reads `length` bytes and appends them to `to`. What is not received yet is read there
    /// directly.
    fn append(&mut self, mut length: usize, to: &mut Vec<u8>) -> Result<(), ReadError> {
        while length > 0 {
            let appended = if self.is_drained() {
                self.append_received(length.min(BODY_READ_BYTES), to)?
            } else {
                let fragment = self.body_fragment(length)?;
                to.extend_from_slice(fragment);
                fragment.len()
            };
            length -= appended;
        }
        Ok(())
    }

    /// Receives at most `max_bytes` and appends them to `to`. Returns their number.
    fn append_received(&mut self, max_bytes: usize, to: &mut Vec<u8>) -> Result<usize, ReadError> {
        let start = to.len();
        to.resize(start + max_bytes, 0);
        let read = read_uninterrupted(&mut self.from, &mut to[start..]);
        to.truncate(start + *read.as_ref().unwrap_or(&0));
        match read? {
            0 => Err(io::Error::from(ErrorKind::UnexpectedEof).into()),
            read => Ok(read),
        }
    }

    /// Reads all bytes up to the end of the connection.
    fn read_until_close(
        &mut self,
        max_bytes: usize,
        has_memory: &mut dyn FnMut(usize) -> bool,
    ) -> Result<Option<Vec<u8>>, ReadError> {
        let mut bytes = Some(Vec::new());
        let mut length = 0;
        loop {
            length += self.unread().len();
            if length > max_bytes {
                return Err(ReadError::TooLarge);
            }
            bytes = bytes.filter(|_| has_memory(length));
            if let Some(bytes) = &mut bytes {
                bytes.extend_from_slice(self.unread());
            }
            self.discard();
            if !self.fill()? {
                return Ok(bytes);
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
        self.make_room()?;
        let received = self.buffer.read(self.end, &mut self.from)?;
        self.end += received;
        Ok(received > 0)
    }

    /// Makes the buffer larger if a long message is being received, as far as there is memory.
    fn make_room(&mut self) -> Result<(), ReadError> {
        if self.end == BUFFER_BYTES {
            return Err(ReadError::TooLarge);
        }
        if self.buffer.should_grow(self.end) {
            self.grow();
        }
        if self.buffer.is_full(self.end) {
            return Err(ReadError::NoMemory);
        }
        Ok(())
    }

    /// Replaces the buffer by one of full size, unless that does not fit in the budget.
    fn grow(&mut self) {
        let Some(BufferMemory { budget, holder }) = &self.memory else {
            return self.buffer.grow(self.end, None);
        };
        if let Some(charge) = budget.try_charge(*holder, BUFFER_BYTES) {
            self.buffer.grow(self.end, Some(charge));
        }
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
