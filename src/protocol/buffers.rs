//! A pool of buffers of one size.
//!
//! A buffer holds a whole command or answer: a value of 64 KiB and its framing.

use crate::threads::lock;
use std::io::{self, Read};
use std::ops::{Deref, DerefMut};
use std::sync::Mutex;

/// The size of a buffer in bytes.
pub const SIZE: usize = 68 * 1024;
/// The most unused buffers in the pool; further ones are freed. Bounds the memory that a burst leaves behind to 3 MiB, of
/// the 32 MB that a limiter may have in all.
const MAX_POOLED_BUFFERS: usize = 48;
/// Bytes read on the stack before a buffer is taken; most commands fit.
const FIRST_READ_BYTES: usize = 2 * 1024;

static POOL: Mutex<Vec<Box<[u8]>>> = Mutex::new(Vec::new());

/// A buffer from the pool, to which it returns when dropped.
#[derive(Debug)]
pub struct Buffer(Box<[u8]>);

impl Buffer {
    /// Takes a buffer. Its contents are those of its last use.
    pub fn take() -> Self {
        let pooled = lock(&POOL).pop();
        Self(pooled.unwrap_or_else(|| vec![0; SIZE].into_boxed_slice()))
    }

    /// An empty buffer, for a connection with no unprocessed bytes.
    pub fn none() -> Self {
        Self(Box::default())
    }

    /// Reads bytes into the buffer at `end` and returns how many; 0 at the end of the stream. An empty buffer is replaced
    /// by one from the pool once bytes were read.
    ///
    /// Guards against hundreds of silent connections: a buffer for each would need more memory than a small limiter has.
    ///
    /// # Errors
    ///
    /// Those of the read; an interrupted one is repeated.
    pub fn read(&mut self, end: usize, mut from: impl Read) -> io::Result<usize> {
        let mut first = [0; FIRST_READ_BYTES];
        let read = loop {
            let to = if self.is_empty() {
                &mut first
            } else {
                &mut self.0[end..]
            };
            match from.read(to) {
                // As after the machine was suspended and resumed; the connection is intact.
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Ok(read) if !self.is_empty() => return Ok(read),
                read => break read?,
            }
        };
        if read > 0 {
            *self = Self::take();
            self.0[..read].copy_from_slice(&first[..read]);
        }
        Ok(read)
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let bytes = std::mem::take(&mut self.0);
        if bytes.is_empty() {
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
