//! Buffers for commands and replies.
//!
//! A full-size buffer is large enough for a whole command or reply: a value of 64 KiB and its
//! framing. Full-size buffers are pooled. Most commands and replies are far shorter and are held in
//! smaller buffers.

use crate::memory::MemoryCharge;
use crate::threads::lock;
use std::io::{self, ErrorKind, Read};
use std::ops::{Deref, DerefMut};
use std::sync::Mutex;

/// Size of a full-size buffer, in bytes.
pub const BUFFER_BYTES: usize = 68 * 1024;
/// Maximum number of unused buffers in the pool; further ones are freed.
pub const MAX_POOLED_BUFFERS: usize = 28;
/// Size of the stack buffer that is read into before a buffer is allocated, in bytes. Most commands
/// fit in it.
const FIRST_READ_BYTES: usize = 2 * 1024;
/// Maximum size of a small buffer, in bytes. One of this size is used for a command or reply whose
/// first bytes do not fill the stack buffer.
pub const SMALL_BUFFER_BYTES: usize = 4 * 1024;

static POOL: Mutex<Vec<Box<[u8]>>> = Mutex::new(Vec::new());

/// A buffer. Dropping one of full size returns it to the pool.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: Box<[u8]>,
    /// Charge for a buffer of full size; none if it is accounted for otherwise.
    charge: Option<MemoryCharge>,
}

impl Buffer {
    /// Takes a full-size buffer from the pool. It still contains the bytes of its previous use.
    pub fn take() -> Self {
        let pooled = lock(&POOL).pop();
        let bytes = pooled.unwrap_or_else(|| vec![0; BUFFER_BYTES].into_boxed_slice());
        Self {
            bytes,
            charge: None,
        }
    }

    /// Returns a buffer of this many bytes if that is a small one, and otherwise one of full size.
    pub fn with_room_for(bytes: usize) -> Self {
        if bytes <= SMALL_BUFFER_BYTES {
            Self {
                bytes: vec![0; bytes].into_boxed_slice(),
                charge: None,
            }
        } else {
            Self::take()
        }
    }

    /// Returns a buffer without capacity, for a connection that has no unprocessed bytes.
    pub fn empty() -> Self {
        Self::default()
    }

    /// Reads bytes into the buffer at index `end`. Returns the number of bytes read, which is 0 at
    /// the end of the stream.
    ///
    /// A buffer without capacity is replaced by a small one only once bytes have been received: a
    /// buffer for each of hundreds of connections would need more memory than a small limiter has.
    /// Only [`Self::grow`] makes a buffer larger than that.
    ///
    /// # Errors
    ///
    /// Returns the error of the read, or [`ErrorKind::OutOfMemory`] if the buffer is full.
    /// Interrupted reads are repeated.
    pub fn read(&mut self, end: usize, mut from: impl Read) -> io::Result<usize> {
        if self.is_full(end) {
            return Err(ErrorKind::OutOfMemory.into());
        }
        if !self.is_empty() {
            return read_uninterrupted(&mut from, &mut self.bytes[end..]);
        }
        let mut first = [0; FIRST_READ_BYTES];
        let read = read_uninterrupted(&mut from, &mut first)?;
        if read > 0 {
            *self = Self::with_room_for(SMALL_BUFFER_BYTES);
            self.bytes[..read].copy_from_slice(&first[..read]);
        }
        Ok(read)
    }

    /// Whether nothing can be read at index `end`, because the buffer ends there.
    pub fn is_full(&self, end: usize) -> bool {
        !self.is_empty() && end == self.len()
    }

    /// Whether a small buffer with `end` received bytes should become one of full size, because a
    /// long message is being received.
    pub fn should_grow(&self, end: usize) -> bool {
        !self.is_empty() && self.len() < BUFFER_BYTES && end >= FIRST_READ_BYTES
    }

    /// Replaces a small buffer by one of full size with the same first `end` bytes, which `charge`
    /// covers until it is dropped.
    pub fn grow(&mut self, end: usize, charge: Option<MemoryCharge>) {
        let mut larger = Self::take();
        larger[..end].copy_from_slice(&self[..end]);
        larger.charge = charge;
        *self = larger;
    }

    /// Moves the charge for this buffer to another one of full size, or ends it if the other one is
    /// small.
    pub fn move_charge(&mut self, to: &mut Self) {
        to.charge = self.charge.take().filter(|_| to.len() >= BUFFER_BYTES);
    }
}

/// Reads until a read is not interrupted by a signal. That also occurs when the machine was
/// suspended and resumed; the connection is still intact.
///
/// # Errors
///
/// Returns any other error of the read.
pub(super) fn read_uninterrupted(from: &mut impl Read, to: &mut [u8]) -> io::Result<usize> {
    loop {
        match from.read(to) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            read => return read,
        }
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
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
        &self.bytes
    }
}

impl DerefMut for Buffer {
    fn deref_mut(&mut self) -> &mut [u8] {
        &mut self.bytes
    }
}
