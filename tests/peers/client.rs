//! Clients of a limiter.

use super::limiter::Running;
use super::servers::{answer, next};
use super::wait::WAIT_TIMEOUT;
use mossrill::protocol::resp;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::{io, thread};

/// What an operator is told who calls there.
pub fn call(at: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(at).expect("a connection");
    stream.write_all(line.as_bytes()).expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    answer
}

/// A client's connection.
pub struct Client(pub BufReader<TcpStream>);

impl Client {
    /// Connects, and waits until the limiter says that it is ready.
    pub fn ready(limiter: &Running) -> Self {
        Self::ready_at(limiter.at)
    }

    pub fn ready_at(at: SocketAddr) -> Self {
        let mut client = Self::connect_at(at);
        loop {
            client.say("*1\r\n$4\r\nPING\r\n");
            if client.line() == "+PONG" {
                return client;
            }
            thread::yield_now();
        }
    }

    /// Connects if somebody is there and ready.
    pub fn try_at(at: SocketAddr) -> Option<Self> {
        Self::try_on(TcpStream::connect(at).ok()?)
    }

    /// Takes a connection if whoever is at its other end is ready.
    pub fn try_on(stream: TcpStream) -> Option<Self> {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
        let mut client = Self(BufReader::new(stream));
        (client.try_ask("*1\r\n$4\r\nPING\r\n")? == "+PONG").then_some(client)
    }

    /// Asks and waits for the answer; none if the connection ends first.
    pub fn try_ask(&mut self, text: &str) -> Option<String> {
        self.0.get_mut().write_all(text.as_bytes()).ok()?;
        let mut line = String::new();
        let mut next = || match self.0.read_line(&mut line) {
            Ok(read) if read > 0 => Some(std::mem::take(&mut line).trim_end().to_owned()),
            Ok(_) => None,
            Err(error) => {
                let waits = matches!(
                    error.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                );
                assert!(
                    !waits,
                    "no answer and no end of {:?} at {:?}",
                    text,
                    self.0.get_ref()
                );
                None
            }
        };
        let first = next()?;
        if first.starts_with('$') {
            next()
        } else {
            Some(first)
        }
    }

    pub fn connect(limiter: &Running) -> Self {
        Self::connect_at(limiter.at)
    }

    pub fn connect_at(at: SocketAddr) -> Self {
        let stream = TcpStream::connect(at).expect("a connection");
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("a timeout");
        Self(BufReader::new(stream))
    }

    pub fn say(&mut self, text: &str) {
        self.0
            .get_mut()
            .write_all(text.as_bytes())
            .expect("written");
    }

    /// Asks for a class with an id, an account and a time to wait.
    pub fn ask(&mut self, class: &str, id: &str, wait: u64) {
        self.say(&asking(class, id, wait));
    }

    /// The next line; empty at the end of the connection.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        match self.0.read_line(&mut line) {
            Ok(_) => line.trim_end().to_owned(),
            Err(error) if error.kind() == io::ErrorKind::ConnectionReset => String::new(),
            Err(error) => panic!("no line: {error}"),
        }
    }

    /// The next answer: a value, or the line.
    pub fn answer(&mut self) -> String {
        let line = self.line();
        match line.starts_with('$') {
            true => self.line(),
            false => line,
        }
    }
}

/// A command of a client.
pub fn asking(class: &str, id: &str, wait: u64) -> String {
    asking_for("00000000b4d65521", 1, class, id, wait)
}

/// A command of a client for an account that comes through so many limiters.
pub fn asking_for(account: &str, spread: usize, class: &str, id: &str, wait: u64) -> String {
    let fields = format!("c={class},t=basic,d={wait},k=5c0f,units=2,spread={spread},first=0");
    let verb = if class == "look" {
        "SVC.QUERY"
    } else {
        "SVC.SUBMIT"
    };
    let mut text = Vec::new();
    let words = [verb, account, id, &fields, "BODY"];
    resp::write_command(&mut text, words.iter().map(|w| w.as_bytes()));
    String::from_utf8(text).expect("text")
}
