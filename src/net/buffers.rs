//! Buffers of one size, used again.
//!
//! One holds a whole command or answer: a value of 64 KiB and what goes round it. What is larger is malformed.

use std::ops::{Deref, DerefMut};
use std::sync::{Mutex, PoisonError};

/// Bytes in a buffer.
pub const SIZE: usize = 68 * 1024;
/// Buffers kept for later; more are given back to the system. Bounds what a burst leaves behind to 17 MiB.
const KEPT: usize = 256;

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
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let bytes = std::mem::take(&mut self.0);
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
