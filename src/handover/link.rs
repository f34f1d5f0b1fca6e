//! The way between the two processes of an upgrade: frames, and descriptors that come with them.

use super::message::{Body, Frame, LONGEST};
use prost::Message;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut, Write};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::sync::Mutex;
use std::time::Duration;

/// A peer that does not read for so long is given up.
const WRITE_WAIT: Duration = Duration::from_secs(1);

/// Why nothing more is heard.
#[derive(Debug, PartialEq)]
pub enum Deaf {
    /// Nothing came in time.
    Overdue,
    /// The peer is gone.
    Lost,
    /// It says what nobody understands.
    Strange(&'static str),
}

/// One end of the way. Said from any thread, heard by one.
pub struct Link {
    stream: UnixStream,
    saying: Mutex<()>,
    hearing: Mutex<Hearing>,
}

#[derive(Default)]
struct Hearing {
    bytes: Vec<u8>,
    descriptors: VecDeque<OwnedFd>,
}

impl Link {
    /// A link over a connected stream, to a process of the same user.
    pub fn new(stream: UnixStream) -> io::Result<Self> {
        let peer = rustix::net::sockopt::socket_peercred(&stream)?;
        if peer.uid != rustix::process::geteuid() {
            return Err(io::Error::new(
                ErrorKind::PermissionDenied,
                "a process of another user",
            ));
        }
        stream.set_write_timeout(Some(WRITE_WAIT))?;
        Ok(Self {
            stream,
            saying: Mutex::default(),
            hearing: Mutex::default(),
        })
    }

    /// Says something, with a descriptor if there is one to give.
    pub fn say(&self, body: Body, descriptor: Option<BorrowedFd>) -> io::Result<()> {
        let frame = Frame { body: Some(body) };
        let size = frame.encoded_len();
        if size > LONGEST {
            return Err(io::Error::new(
                ErrorKind::InvalidInput,
                "more than a frame may hold",
            ));
        }
        let mut text = Vec::with_capacity(size + 4);
        text.extend_from_slice(&(size as u32).to_be_bytes());
        frame.encode(&mut text).map_err(io::Error::other)?;
        let _turn = crate::threads::lock(&self.saying);
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut with = SendAncillaryBuffer::new(&mut space);
        let given: Vec<BorrowedFd> = descriptor.into_iter().collect();
        if !given.is_empty() {
            with.push(SendAncillaryMessage::ScmRights(&given));
        }
        // The descriptor goes with the first byte of its frame.
        let sent = loop {
            match sendmsg(
                &self.stream,
                &[IoSlice::new(&text)],
                &mut with,
                SendFlags::NOSIGNAL,
            ) {
                Err(rustix::io::Errno::INTR) => {}
                sent => break sent?,
            }
        };
        (&self.stream).write_all(&text[sent..])
    }

    /// Nothing more is said by either end; what was said before is still heard.
    pub fn shut(&self) {
        _ = self.stream.shutdown(std::net::Shutdown::Both);
    }

    /// Hears the next frame, waiting for its beginning for so long.
    pub fn hear(&self, wait: Option<Duration>) -> Result<(Body, Option<OwnedFd>), Deaf> {
        let mut hearing = crate::threads::lock(&self.hearing);
        if wait == Some(Duration::ZERO) || self.stream.set_read_timeout(wait).is_err() {
            return Err(Deaf::Overdue);
        }
        loop {
            if let Some(size) = hearing
                .bytes
                .first_chunk()
                .map(|size| u32::from_be_bytes(*size) as usize)
            {
                if size > LONGEST {
                    return Err(Deaf::Strange("a frame is too long"));
                }
                if hearing.bytes.len() >= size + 4 {
                    let frame = Frame::decode(&hearing.bytes[4..size + 4]);
                    hearing.bytes.drain(..size + 4);
                    let body = frame.ok().and_then(|frame| frame.body);
                    let body = body.ok_or(Deaf::Strange("a frame can't be read"))?;
                    let carries = matches!(body, Body::Welcome(_) | Body::Connection(_));
                    let descriptor = if carries {
                        hearing.descriptors.pop_front()
                    } else {
                        None
                    };
                    return match descriptor {
                        None if carries => Err(Deaf::Strange("a descriptor is missing")),
                        descriptor => Ok((body, descriptor)),
                    };
                }
            }
            self.more(&mut hearing)?;
        }
    }

    fn more(&self, hearing: &mut Hearing) -> Result<(), Deaf> {
        let mut part = [0; 16 * 1024];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(4))];
        let mut with = RecvAncillaryBuffer::new(&mut space);
        let slice = &mut [IoSliceMut::new(&mut part)];
        let got = match recvmsg(&self.stream, slice, &mut with, RecvFlags::CMSG_CLOEXEC) {
            Err(rustix::io::Errno::INTR) => return Ok(()),
            Err(rustix::io::Errno::AGAIN) => return Err(Deaf::Overdue),
            Err(_) => return Err(Deaf::Lost),
            Ok(got) => got.bytes,
        };
        for message in with.drain() {
            if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                hearing.descriptors.extend(descriptors);
            }
        }
        if got == 0 {
            return Err(Deaf::Lost);
        }
        hearing.bytes.extend_from_slice(&part[..got]);
        Ok(())
    }
}
