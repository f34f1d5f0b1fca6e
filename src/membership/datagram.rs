//! What limiters say to each other: datagrams of at most 256 bytes, sealed with the fleet's key.
//!
//! A datagram is a tag of 16 bytes, a keyed BLAKE3 hash of what follows, and one protocol buffer. What does not open
//! with the own key was written by nobody of this fleet, and is told from what is merely not for this format or fleet.

use super::released::ReleasedPart;
use prost::{Message, Oneof};
use std::net::{Ipv4Addr, SocketAddrV4};

/// The longest datagram in bytes: what the platform carries between limiters.
pub const LONGEST: usize = 256;
/// The format of fleets that carry the whole set of released leases in every datagram, as all did in the versions
/// before [`PARTS_FORMAT`].
pub const FORMAT: u32 = 1;
/// The format of fleets that carry the set in parts, and the number of configured limiters. No member of a fleet
/// takes the other format: what it says of leases would be misread.
pub const PARTS_FORMAT: u32 = 2;
/// Bytes of the tag.
pub const TAG: usize = 16;
/// The most limiters of a fleet: six windows of the set of released leases.
pub const MOST_LIMITERS: u32 = 4_096;
/// Milliseconds of Unix time stay far below; what is above was not made by a limiter.
const MOST_INCARNATION: u64 = 1 << 53;

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Datagram {
    /// [`FORMAT`].
    #[prost(uint32, tag = "1")]
    pub format: u32,
    /// The fleet's name.
    #[prost(string, tag = "2")]
    pub fleet: String,
    /// The sender's number.
    #[prost(uint32, tag = "3")]
    pub from: u32,
    /// The sender's incarnation.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Drawn by the sender's process at its start.
    #[prost(fixed64, tag = "5")]
    pub session: u64,
    /// The receiver's session as the sender knows it, 0 if it does not: whoever is told its own knows that this was
    /// written in its own life.
    #[prost(fixed64, tag = "6")]
    pub to: u64,
    /// Counts the sender's datagrams to this receiver, from 1.
    #[prost(uint64, tag = "7")]
    pub number: u64,
    /// The highest number heard of the receiver in its session: this was written after that one had come.
    #[prost(uint64, tag = "8")]
    pub heard: u64,
    /// The sender holds the receiver for living, and renews its lease.
    #[prost(bool, tag = "9")]
    pub grants: bool,
    /// Where the sender is reached.
    #[prost(fixed32, tag = "10")]
    pub ip: u32,
    /// See `ip`.
    #[prost(uint32, tag = "11")]
    pub port: u32,
    /// The sender's version of the program, as [`version`] has it.
    #[prost(uint32, tag = "12")]
    pub version: u32,
    /// What it is about.
    #[prost(oneof = "Word", tags = "20, 21, 22, 23, 24, 25")]
    pub word: Option<Word>,
    /// What the sender knows of others.
    #[prost(message, repeated, tag = "13")]
    pub news: Vec<News>,
    /// A bit for each limiter whose lease the sender has not renewed for longer than a lease lasts. [`FORMAT`] alone.
    #[prost(bytes = "vec", tag = "14")]
    pub released: Vec<u8>,
    /// A part of that set; without it nothing is said of the set. [`PARTS_FORMAT`] alone.
    #[prost(message, optional, tag = "15")]
    pub released_part: Option<ReleasedPart>,
    /// Limiters that the sender's configuration has. [`PARTS_FORMAT`] alone.
    #[prost(uint32, tag = "16")]
    pub limiters: u32,
}

/// What a datagram is about.
#[derive(Clone, Copy, PartialEq, Eq, Oneof)]
pub enum Word {
    /// Are you there?
    #[prost(bool, tag = "20")]
    Ping(bool),
    /// I am.
    #[prost(bool, tag = "21")]
    Ack(bool),
    /// Ask this limiter for me, as it does not answer me.
    #[prost(uint32, tag = "22")]
    Ask(u32),
    /// It has answered me.
    #[prost(uint32, tag = "23")]
    Vouch(u32),
    /// News alone.
    #[prost(bool, tag = "24")]
    Gossip(bool),
    /// I leave in order.
    #[prost(bool, tag = "25")]
    Leave(bool),
}

/// What is known of a limiter.
#[derive(Clone, PartialEq, Message)]
pub struct News {
    /// Its number.
    #[prost(uint32, tag = "1")]
    pub who: u32,
    /// A [`State`], from 1.
    #[prost(uint32, tag = "2")]
    pub state: u32,
    /// Its incarnation that this is true of.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Who said so first.
    #[prost(uint32, tag = "4")]
    pub by: u32,
    /// Where it is reached.
    #[prost(fixed32, tag = "5")]
    pub ip: u32,
    /// See `ip`.
    #[prost(uint32, tag = "6")]
    pub port: u32,
    /// Its version of the program.
    #[prost(uint32, tag = "7")]
    pub version: u32,
}

/// State of a limiter as another one has it. At one incarnation a later state of these goes before an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// Never heard of.
    #[default]
    Unknown,
    /// Answers.
    Alive,
    /// Did not answer, and may still say that it lives.
    Suspect,
    /// Did not say so in time.
    Dead,
    /// Has left in order.
    Left,
}

impl State {
    /// As it is written.
    pub fn number(self) -> u32 {
        self as u32
    }

    /// As it is read; nobody says of another that it is unknown.
    pub fn read(number: u32) -> Option<Self> {
        [Self::Alive, Self::Suspect, Self::Dead, Self::Left]
            .into_iter()
            .find(|s| s.number() == number)
    }

    /// As operators are shown it.
    pub fn word(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Left => "left",
        }
    }

    /// Counts among the living.
    pub fn lives(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// Why a datagram is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    /// Too short for a tag, or longer than any limiter writes.
    Size,
    /// Not sealed with this fleet's key, or changed on its way.
    Foreign,
    /// Sealed, and can't be read.
    Garbled,
    /// Of another format.
    Format,
    /// Of another fleet under the same key, or of another size of this one.
    Fleet,
    /// Names a limiter, state, incarnation or address that can't be.
    Strange,
    /// Heard before, or of an earlier life of sender or receiver.
    Stale,
    /// More than is taken in a second.
    Flood,
}

impl Fault {
    /// All of them, in order.
    pub const ALL: [Self; 8] = [
        Self::Size,
        Self::Foreign,
        Self::Garbled,
        Self::Format,
        Self::Fleet,
        Self::Strange,
        Self::Stale,
        Self::Flood,
    ];

    /// As operators are shown it.
    pub fn word(self) -> &'static str {
        match self {
            Self::Size => "size",
            Self::Foreign => "foreign",
            Self::Garbled => "garbled",
            Self::Format => "format",
            Self::Fleet => "fleet",
            Self::Strange => "strange",
            Self::Stale => "stale",
            Self::Flood => "flood",
        }
    }
}

/// The fleet's key.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// A key from whatever secret the operators share.
    pub fn new(secret: &[u8]) -> Self {
        Self(blake3::derive_key("mossrill fleet datagram 1", secret))
    }

    fn tag(&self, body: &[u8]) -> [u8; TAG] {
        let mut tag = [0; TAG];
        tag.copy_from_slice(&blake3::keyed_hash(&self.0, body).as_bytes()[..TAG]);
        tag
    }

    /// A datagram as it is sent.
    pub fn seal(&self, datagram: &Datagram) -> Vec<u8> {
        let body = datagram.encode_to_vec();
        let mut bytes = self.tag(&body).to_vec();
        bytes.extend_from_slice(&body);
        bytes
    }

    /// Reads what has come.
    pub fn open(&self, fleet: &str, bytes: &[u8]) -> Result<Datagram, Fault> {
        if bytes.len() > LONGEST || bytes.len() <= TAG {
            return Err(Fault::Size);
        }
        let (tag, body) = bytes.split_at(TAG);
        // Takes as long whatever is wrong.
        let differs = self
            .tag(body)
            .iter()
            .zip(tag)
            .fold(0, |all, (own, its)| all | (own ^ its));
        if differs != 0 {
            return Err(Fault::Foreign);
        }
        let datagram = Datagram::decode(body).map_err(|_| Fault::Garbled)?;
        match () {
            () if ![FORMAT, PARTS_FORMAT].contains(&datagram.format) => Err(Fault::Format),
            () if datagram.fleet != fleet => Err(Fault::Fleet),
            () if datagram.word.is_none() || datagram.session == 0 => Err(Fault::Garbled),
            () if datagram.incarnation >= MOST_INCARNATION || datagram.address().is_none() => {
                Err(Fault::Strange)
            }
            () => Ok(datagram),
        }
    }
}

impl Datagram {
    /// Its length as it is sent.
    pub fn size(&self) -> usize {
        self.encoded_len() + TAG
    }

    /// Where the sender is reached, if that is an address that somebody can have.
    pub fn address(&self) -> Option<SocketAddrV4> {
        usable(self.ip, self.port)
    }
}

impl News {
    /// What it says, if that can be: whose state, its incarnation and its address.
    pub fn read(&self, limiters: u32) -> Option<(usize, State, SocketAddrV4)> {
        if self.who >= limiters || self.by >= limiters || self.incarnation >= MOST_INCARNATION {
            return None;
        }
        Some((
            self.who as usize,
            State::read(self.state)?,
            usable(self.ip, self.port)?,
        ))
    }
}

/// An address that one limiter can have.
pub fn usable(ip: u32, port: u32) -> Option<SocketAddrV4> {
    let (ip, port) = (
        Ipv4Addr::from(ip),
        u16::try_from(port).ok().filter(|port| *port > 0)?,
    );
    let nobody = ip.is_unspecified() || ip.is_multicast() || ip.is_broadcast();
    (!nobody).then_some(SocketAddrV4::new(ip, port))
}

/// A version of the program as a number that grows with it.
pub fn version(text: &str) -> u32 {
    let mut parts = text
        .split('.')
        .map(|part| part.parse::<u32>().unwrap_or(0).min(999));
    let mut next = || parts.next().unwrap_or(0);
    next() * 1_000_000 + next() * 1_000 + next()
}

/// And back.
pub fn version_text(version: u32) -> String {
    format!(
        "{}.{}.{}",
        version / 1_000_000,
        version / 1_000 % 1_000,
        version % 1_000
    )
}
