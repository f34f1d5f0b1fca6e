//! Buffers of one size, used again.
//!
//! One holds a whole command or answer: a value of 64 KiB and what goes round it. What is larger is malformed.

use std::io::{self, Read};
use std::ops::{Deref, DerefMut};
use std::sync::{Mutex, PoisonError};

/// Bytes in a buffer.
pub const SIZE: usize = 68 * 1024;
/// Buffers kept for later; more are given back to the system. Bounds what a burst leaves behind to 3 MiB, of
/// the 32 MB that a limiter may have in all.
const KEPT: usize = 48;
/// Bytes read before a buffer is taken: most commands whole.
const FIRST: usize = 2 * 1024;

static POOL: Mutex<Vec<Box<[u8]>>> = Mutex::new(Vec::new());

/// A buffer on loan from the pool.
#[derive(Debug)]
pub struct Buffer(Box<[u8]>);

impl Buffer {
    /// Takes one; its contents are whatever was left in it.
    pub fn take() -> Self {
        let kept = POOL.lock().unwrap_or_else(PoisonError::into_inner).pop();
        Self(kept.unwrap_or_else(|| vec![0; SIZE].into_boxed_slice()))
    }

    /// None yet: a connection on which nothing is under way holds no buffer.
    pub fn none() -> Self {
        Self(Box::default())
    }

    /// Reads on behind `end`; what was none becomes one once there are bytes for it.
    ///
    /// Guards against hundreds of connections that say nothing: a buffer for each would be more memory than a
    /// small limiter has.
    pub fn read(&mut self, end: usize, mut from: impl Read) -> io::Result<usize> {
        let mut first = [0; FIRST];
        let read = loop {
            let to = if self.is_empty() {
                &mut first
            } else {
                &mut self.0[end..]
            };
            match from.read(to) {
                // A machine that was stopped for a while and goes on: nothing is wrong with the connection.
                Err(fault) if fault.kind() == io::ErrorKind::Interrupted => {}
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
        let mut pool = POOL.lock().unwrap_or_else(PoisonError::into_inner);
        if pool.len() < KEPT {
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
