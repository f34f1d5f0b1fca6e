//! Scripted servers over RESP and HTTP.

use super::wait::WAIT_TIMEOUT;
use mossrill::protocol::resp;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::{io, thread};

/// Starts a server on a free port of loopback and returns its address. `handle` is called for each
/// connection with its index, from 0, and its stream, on a new thread.
pub fn start_peer(handle: impl Fn(usize, TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port is bound");
    let address = listener.local_addr().expect("the listener has an address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for (index, stream) in listener.incoming().flatten().enumerate() {
            let handle = handle.clone();
            stream.set_nodelay(true).expect("TCP_NODELAY is set");
            thread::spawn(move || handle(index, stream));
        }
    });
    address
}

/// Reaction of a scripted peer to a command or request.
pub enum PeerAction {
    /// Sends this text.
    Reply(String),
    /// Sends nothing and keeps the connection open.
    Hang,
    /// Closes the connection.
    Close,
}

/// Returns the reply of an upstream server that served a request with `value`.
pub fn served_reply(value: &str) -> PeerAction {
    PeerAction::Reply(format!(
        "*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n",
        value.len()
    ))
}

/// Reads the next RESP command of a connection; `None` if the connection ends first. `buffer` keeps
/// the bytes that were read beyond the command.
pub fn read_command(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Vec<String>> {
    loop {
        if let Ok(Some((words, end))) = resp::parse_command(buffer) {
            let words = words
                .into_iter()
                .map(|range| String::from_utf8_lossy(&buffer[range]).into_owned())
                .collect();
            buffer.drain(..end);
            return Some(words);
        }
        let mut chunk = [0; 4096];
        let read = stream.read(&mut chunk).ok().filter(|n| *n > 0)?;
        buffer.extend_from_slice(&chunk[..read]);
    }
}

/// Commands that a peer has received, each with the index of its connection; `None` stands for the
/// end of the connection.
pub type Seen = Receiver<(usize, Option<Vec<String>>)>;

/// Starts a RESP server whose `script` gets the index of the connection and the words of each
/// command. Returns its address and the commands that it receives.
pub fn start_resp_peer(
    script: impl Fn(usize, &[String]) -> PeerAction + Send + Sync + 'static,
) -> (SocketAddr, Seen) {
    let (sender, seen) = channel();
    let sender = Mutex::new(sender);
    let address = start_peer(move |index, mut stream| {
        let mut bytes = Vec::new();
        while let Some(words) = read_command(&mut stream, &mut bytes) {
            _ = sender
                .lock()
                .expect("the lock is not poisoned")
                .send((index, Some(words.clone())));
            match script(index, &words) {
                PeerAction::Reply(text) => _ = stream.write_all(text.as_bytes()),
                PeerAction::Hang => {}
                PeerAction::Close => return,
            }
        }
        _ = sender
            .lock()
            .expect("the lock is not poisoned")
            .send((index, None));
    });
    (address, seen)
}

/// Waits for the next command that a peer receives, or for the end of one of its connections.
pub fn next_command(seen: &Seen) -> (usize, Option<Vec<String>>) {
    seen.recv_timeout(WAIT_TIMEOUT)
        .expect("the peer receives a command or the end of a connection in time")
}

/// Reads an HTTP message and returns its first line, its header lines and its body. With
/// `without_body`, no body is read, whatever length the headers give.
pub fn read_http_message(
    reader: &mut BufReader<TcpStream>,
    without_body: bool,
) -> io::Result<(String, Vec<String>, String)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end() {
            "" => break,
            line => lines.push(line.to_owned()),
        }
    }
    let length = lines.iter().find_map(|line| {
        line.to_ascii_lowercase()
            .strip_prefix("content-length: ")?
            .parse()
            .ok()
    });
    let mut body = vec![0; if without_body { 0 } else { length.unwrap_or(0) }];
    reader.read_exact(&mut body)?;
    let first = lines.remove(0);
    Ok((first, lines, String::from_utf8_lossy(&body).into_owned()))
}

/// Starts an HTTP server whose `script` gets the first line, the header lines and the body of each
/// request. Returns its address.
pub fn start_http_peer(
    script: impl Fn(&str, &[String], &str) -> PeerAction + Send + Sync + 'static,
) -> SocketAddr {
    start_peer(move |_, stream| {
        let mut reader = BufReader::new(stream);
        while let Ok((first, headers, body)) = read_http_message(&mut reader, false) {
            match script(&first, &headers, &body) {
                PeerAction::Reply(text) => _ = reader.get_mut().write_all(text.as_bytes()),
                PeerAction::Hang => {}
                PeerAction::Close => return,
            }
        }
    })
}

/// Returns an HTTP answer with this status and body.
pub fn http_reply(status: &str, body: &str) -> PeerAction {
    PeerAction::Reply(format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}
