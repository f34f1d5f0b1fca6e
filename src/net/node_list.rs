//! Watches the node list: what is known first, then every change, over broken watches too.

use super::http::{Body, Broken, Reader};
use super::lock;
use crate::config::{self, NodeNews};
use crossbeam_channel::{unbounded, Receiver, Sender};
use serde_json::Value;
use slog::{info, warn, Logger};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// An empty line comes every 2 s; a watch silent for longer than this is broken.
const SILENCE: Duration = Duration::from_millis(4_500);
const CONNECT: Duration = Duration::from_secs(1);
const FIRST_WAIT: Duration = Duration::from_millis(50);
const LONGEST_WAIT: Duration = Duration::from_secs(1);
/// A line of the watch holds the whole list at most.
const LONGEST_LINE: usize = 4 << 20;

/// The watch of a node list, as those see it who may send it elsewhere.
#[derive(Clone)]
pub struct Watch {
    moved: Sender<SocketAddr>,
    /// The connection in use; closed to wake the thread that reads it.
    current: Arc<Mutex<Option<TcpStream>>>,
}

impl Watch {
    /// Follows the list at another address from now on. Its versions may have nothing to do with those so far, so
    /// it is read whole first.
    pub fn move_to(&self, at: SocketAddr) {
        _ = self.moved.send(at);
        if let Some(stream) = &*lock(&self.current) {
            _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Starts the watch after this version of the list. `news` is told of every change.
pub fn watch(
    from: SocketAddr,
    generation: u64,
    news: impl Fn(NodeNews) + Send + 'static,
    log: Logger,
) -> io::Result<Watch> {
    let (moved, moves) = unbounded();
    let watch = Watch { moved, current: Arc::default() };
    let current = watch.current.clone();
    let mut follower = Follower { from, generation: Some(generation), moves, current, news, log };
    super::spawn("node-list", move || follower.run())?;
    Ok(watch)
}

struct Follower<N> {
    from: SocketAddr,
    /// The version last told of; none where the list has to be read whole.
    generation: Option<u64>,
    moves: Receiver<SocketAddr>,
    current: Arc<Mutex<Option<TcpStream>>>,
    news: N,
    log: Logger,
}

impl<N: Fn(NodeNews)> Follower<N> {
    fn run(&mut self) {
        let mut wait = FIRST_WAIT;
        loop {
            let before = self.generation;
            let fault = self.follow();
            *lock(&self.current) = None;
            if self.moves.is_empty() {
                warn!(self.log, "node list watch broke"; "fault" => ?fault, "generation" => self.generation);
            }
            wait = if self.generation == before { (wait * 2).min(LONGEST_WAIT) } else { FIRST_WAIT };
            let mut moved = self.moves.recv_timeout(wait).ok();
            while let Some(at) = moved {
                info!(self.log, "node list moved"; "to" => %at);
                (self.from, self.generation, wait) = (at, None, FIRST_WAIT);
                moved = self.moves.try_recv().ok();
            }
        }
    }

    fn connect(&self) -> Result<TcpStream, Broken> {
        let stream = TcpStream::connect_timeout(&self.from, CONNECT)?;
        stream.set_read_timeout(Some(SILENCE))?;
        stream.set_nodelay(true)?;
        *lock(&self.current) = Some(stream.try_clone()?);
        // Whoever sent the watch elsewhere meanwhile found no connection to close.
        match self.moves.is_empty() {
            true => Ok(stream),
            false => Err(Broken::Closed),
        }
    }

    fn ask(&self, mut stream: &TcpStream, query: &str) -> Result<(), Broken> {
        let head = format!("GET /v1/endpoints{query} HTTP/1.1\r\nHost: {}\r\n\r\n", self.from);
        Ok(stream.write_all(head.as_bytes())?)
    }

    fn follow(&mut self) -> Result<(), Broken> {
        if self.generation.is_none() {
            let stream = self.connect()?;
            self.ask(&stream, "")?;
            let (head, list) = Reader::new(&stream).response_with_body(LONGEST_LINE, false)?;
            if head.status != 200 {
                return Err(Broken::Malformed("not a node list"));
            }
            self.tell(&list, true)?;
        }
        let stream = self.connect()?;
        self.ask(&stream, &format!("?watch=1&from={}", self.generation.unwrap_or(0)))?;
        let mut reader = Reader::new(&stream);
        let head = reader.response()?;
        if head.status != 200 || head.body != Body::Chunked {
            return Err(Broken::Malformed("not a watch"));
        }
        let mut text = Vec::new();
        while reader.chunk(&mut text)? {
            while let Some(end) = text.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = text.drain(..=end).collect();
                let line = line.trim_ascii();
                if !line.is_empty() {
                    self.tell(line, false)?;
                }
            }
            if text.len() > LONGEST_LINE {
                return Err(Broken::TooLarge);
            }
        }
        Ok(())
    }

    /// Passes on what a line or a `whole` list holds, unless the watch has been sent elsewhere since it came.
    fn tell(&mut self, text: &[u8], whole: bool) -> Result<(), Broken> {
        if !self.moves.is_empty() {
            return Err(Broken::Closed);
        }
        let value: Value = serde_json::from_slice(text).map_err(|_| Broken::Malformed("not JSON"))?;
        match config::node_news(&value) {
            Ok(told) => {
                let told = NodeNews { full: told.full || whole, ..told };
                info!(self.log, "node list news"; "generation" => told.generation, "full" => told.full,
                    "nodes" => told.nodes.len());
                self.generation = Some(told.generation);
                (self.news)(told);
                Ok(())
            }
            Err(fault) => {
                warn!(self.log, "node list news unreadable"; "fault" => fault);
                // Without what it held, later changes would not make up the list: it is read whole next.
                self.generation = None;
                Err(Broken::Malformed("unreadable news"))
            }
        }
    }
}
