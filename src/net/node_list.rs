//! Watches the node list: what is known first, then every change, over broken watches too.

use super::http::{Body, Broken, Reader};
use crate::config::{self, NodeNews};
use serde_json::Value;
use slog::{info, warn, Logger};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// An empty line comes every 2 s; a watch silent for longer than this is broken.
const SILENCE: Duration = Duration::from_secs(6);
const FIRST_WAIT: Duration = Duration::from_millis(50);
const LONGEST_WAIT: Duration = Duration::from_secs(1);
/// A line of the watch holds the whole list at most.
const LONGEST_LINE: usize = 4 << 20;

/// Starts the watch after this version of the list. `news` is told of every change.
pub fn watch(
    from: SocketAddr,
    mut generation: u64,
    news: impl Fn(NodeNews) + Send + 'static,
    log: Logger,
) -> io::Result<()> {
    super::spawn("node-list", move || {
        let mut wait = FIRST_WAIT;
        loop {
            let before = generation;
            let fault = follow(from, &mut generation, &news, &log);
            warn!(log, "node list watch broke"; "fault" => ?fault, "generation" => generation);
            wait = if generation == before { (wait * 2).min(LONGEST_WAIT) } else { FIRST_WAIT };
            thread::sleep(wait);
        }
    })
}

fn follow(
    from: SocketAddr,
    generation: &mut u64,
    news: &impl Fn(NodeNews),
    log: &Logger,
) -> Result<(), Broken> {
    let mut stream = TcpStream::connect_timeout(&from, SILENCE)?;
    stream.set_read_timeout(Some(SILENCE))?;
    stream.set_nodelay(true)?;
    let head = format!("GET /v1/endpoints?watch=1&from={generation} HTTP/1.1\r\nHost: {from}\r\n\r\n");
    stream.write_all(head.as_bytes())?;
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
            if line.is_empty() {
                continue;
            }
            let value: Value = serde_json::from_slice(line).map_err(|_| Broken::Malformed("not JSON"))?;
            match config::node_news(&value) {
                Ok(told) => {
                    info!(log, "node list news"; "generation" => told.generation, "full" => told.full,
                        "nodes" => told.nodes.len());
                    *generation = told.generation;
                    news(told);
                }
                Err(fault) => warn!(log, "node list news unreadable"; "fault" => fault),
            }
        }
        if text.len() > LONGEST_LINE {
            return Err(Broken::TooLarge);
        }
    }
    Ok(())
}
