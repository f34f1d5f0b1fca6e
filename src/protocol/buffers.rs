//! Buffers for commands and replies.
//!
//! A full-size buffer is large enough for a whole command or reply: a value of 64 KiB and its
//! framing. Full-size buffers are pooled. Most commands and replies are far shorter and are held in
//! smaller buffers.

use crate::threads::lock;
use std::io::{self, Read};
use std::ops::{Deref, DerefMut};
use std::sync::Mutex;

/// Size of a full-size buffer, in bytes.
pub const BUFFER_BYTES: usize = 68 * 1024;
/// Maximum number of unused buffers in the pool; further ones are freed. After a burst of requests
/// the pool thus keeps at most about 3 MiB, of the 32 MB of memory that a limiter may use.
const MAX_POOLED_BUFFERS: usize = 48;
/// Size of the stack buffer that is read into before a buffer is allocated, in bytes. Most commands
/// fit in it.
const FIRST_READ_BYTES: usize = 2 * 1024;
/// Maximum size of a small buffer, in bytes. One of this size is used for a command or reply whose
/// first bytes do not fill the stack buffer.
pub const SMALL_BUFFER_BYTES: usize = 4 * 1024;

static POOL: Mutex<Vec<Box<[u8]>>> = Mutex::new(Vec::new());

/// A buffer. Dropping one of full size returns it to the pool.
#[derive(Debug)]
pub struct Buffer(Box<[u8]>);

impl Buffer {
    /// Takes a full-size buffer from the pool. It still contains the bytes of its previous use.
    pub fn take() -> Self {
        let pooled = lock(&POOL).pop();
        Self(pooled.unwrap_or_else(|| vec![0; BUFFER_BYTES].into_boxed_slice()))
    }

    /// Returns a buffer of this many bytes if that is a small one, and otherwise one of full size.
    pub fn with_room_for(bytes: usize) -> Self {
        if bytes <= SMALL_BUFFER_BYTES {
            Self(vec![0; bytes].into_boxed_slice())
        } else {
            Self::take()
        }
    }

    /// Returns a buffer without capacity, for a connection that has no unprocessed bytes.
    pub fn empty() -> Self {
        Self(Box::default())
    }

    /// Reads bytes into the buffer at index `end`. Returns the number of bytes read, which is 0 at
    /// the end of the stream.
    ///
    /// A buffer without capacity is replaced by another one only once bytes have been received, and
    /// a small one by one of full size only once it is full or its content was used up: a full-size
    /// buffer for each of hundreds of connections would need more memory than a small limiter has.
    ///
    /// # Errors
    ///
    /// Returns the error of the read. Interrupted reads are repeated.
    pub fn read(&mut self, end: usize, mut from: impl Read) -> io::Result<usize> {
        if end == 0 || end == self.len() {
            self.grow(end);
        }
        let mut first = [0; FIRST_READ_BYTES];
        let read = loop {
            let to = if self.is_empty() {
                &mut first
            } else {
                &mut self.0[end..]
            };
            match from.read(to) {
                // Occurs when the machine was suspended and resumed; the connection is still intact.
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Ok(read) if !self.is_empty() => return Ok(read),
                read => break read?,
            }
        };
        if read > 0 {
            *self = if read < FIRST_READ_BYTES {
                Self::with_room_for(SMALL_BUFFER_BYTES)
            } else {
                Self::take()
            };
            self.0[..read].copy_from_slice(&first[..read]);
        }
        Ok(read)
    }

    /// Replaces a small buffer by one of full size with the same first `end` bytes.
    fn grow(&mut self, end: usize) {
        if !self.is_empty() && self.len() < BUFFER_BYTES {
            let mut larger = Self::take();
            larger[..end].copy_from_slice(&self[..end]);
            *self = larger;
        }
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let bytes = std::mem::take(&mut self.0);
        if bytes.len() < BUFFER_BYTES {
            return;
        }
        let mut pool = lock(&POOL);
        if pool.len() < MAX_POOLED_BUFFERS {
            pool.push(bytes);
        }
    }
}

impl Deref for Buffer {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0
    }
}

impl DerefMut for Buffer {
    fn deref_mut(&mut self) -> &mut [u8] {
        &mut self.0
    }
}
