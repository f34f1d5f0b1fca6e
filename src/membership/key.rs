//! Authentication of datagrams with the key that the limiters of a fleet share.
//!
//! A sealed datagram is a tag of 16 bytes, the keyed BLAKE3 hash of the rest, followed by one
//! protocol buffer. Datagrams are authenticated, not encrypted.

use super::datagram::{Datagram, MAX_DATAGRAM_BYTES, MAX_INCARNATION, TAG_BYTES};
use super::format::{FORMAT, PARTS_FORMAT};
use super::rejection::Rejection;
use prost::Message;

/// Key that authenticates the datagrams of a fleet.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives the key from the secret in the configuration.
    pub fn new(secret: &[u8]) -> Self {
        Self(blake3::derive_key("mossrill fleet datagram 1", secret))
    }

    fn tag(&self, body: &[u8]) -> [u8; TAG_BYTES] {
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&blake3::keyed_hash(&self.0, body).as_bytes()[..TAG_BYTES]);
        tag
    }

    /// Encodes a datagram and prepends its tag.
    pub fn seal(&self, datagram: &Datagram) -> Vec<u8> {
        let body = datagram.encode_to_vec();
        let mut bytes = self.tag(&body).to_vec();
        bytes.extend_from_slice(&body);
        bytes
    }

    /// Authenticates and decodes a received datagram.
    ///
    /// # Errors
    ///
    /// Returns the reason if no member of `fleet` can have sent the datagram.
    pub fn open(&self, fleet: &str, bytes: &[u8]) -> Result<Datagram, Rejection> {
        if bytes.len() > MAX_DATAGRAM_BYTES || bytes.len() <= TAG_BYTES {
            return Err(Rejection::InvalidSize);
        }
        let (tag, body) = bytes.split_at(TAG_BYTES);
        if !equal_in_constant_time(&self.tag(body), tag) {
            return Err(Rejection::Unauthenticated);
        }
        let datagram = Datagram::decode(body).map_err(|_| Rejection::Malformed)?;
        check(&datagram, fleet)?;
        Ok(datagram)
    }
}

/// Compares tags of equal length in a time that does not depend on where they differ, so that it
/// does not help to guess a tag.
fn equal_in_constant_time(expected: &[u8], received: &[u8]) -> bool {
    let differences = expected
        .iter()
        .zip(received)
        .fold(0, |bits, (left, right)| bits | (left ^ right));
    differences == 0
}

/// Checks the fields that every fleet requires, and the name of the fleet.
fn check(datagram: &Datagram, fleet: &str) -> Result<(), Rejection> {
    if ![FORMAT, PARTS_FORMAT].contains(&datagram.format) {
        return Err(Rejection::WrongFormat);
    }
    if datagram.fleet != fleet {
        return Err(Rejection::WrongFleet);
    }
    if datagram.message.is_none() || datagram.session == 0 {
        return Err(Rejection::Malformed);
    }
    if datagram.incarnation >= MAX_INCARNATION || datagram.address().is_none() {
        return Err(Rejection::OutOfRange);
    }
    Ok(())
}
