//! Scripted servers: upstream servers over RESP, and any server over HTTP.

use super::wait::WAIT_TIMEOUT;
use mossrill::protocol::resp;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::{io, thread};

/// A peer: each connection that it takes is handled by `work`, with its number.
pub fn peer(work: impl Fn(usize, TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    let work = Arc::new(work);
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let work = work.clone();
            stream.set_nodelay(true).expect("a socket");
            thread::spawn(move || work(number, stream));
        }
    });
    at
}

/// What a scripted peer does with a command or request.
pub enum Act {
    Say(String),
    Hang,
    Close,
}

/// What a ticket server serves.
pub fn serve(value: &str) -> Act {
    Act::Say(format!(
        "*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n",
        value.len()
    ))
}

/// The next RESP command of a connection.
pub fn command(stream: &mut TcpStream, seen: &mut Vec<u8>) -> Option<Vec<String>> {
    loop {
        if let Ok(Some((words, end))) = resp::command(seen) {
            let words = words
                .into_iter()
                .map(|w| String::from_utf8_lossy(&seen[w]).into_owned())
                .collect();
            seen.drain(..end);
            return Some(words);
        }
        let mut part = [0; 4096];
        let read = stream.read(&mut part).ok().filter(|n| *n > 0)?;
        seen.extend_from_slice(&part[..read]);
    }
}

/// Commands that a peer saw: the connection's number and the words; `None` where the connection ended.
pub type Seen = Receiver<(usize, Option<Vec<String>>)>;

/// A peer that speaks RESP by a script.
pub fn resp_peer(
    script: impl Fn(usize, &[String]) -> Act + Send + Sync + 'static,
) -> (SocketAddr, Seen) {
    let (tell, seen) = channel();
    let tell = Mutex::new(tell);
    let at = peer(move |number, mut stream| {
        let mut bytes = Vec::new();
        while let Some(words) = command(&mut stream, &mut bytes) {
            _ = tell
                .lock()
                .expect("whole")
                .send((number, Some(words.clone())));
            match script(number, &words) {
                Act::Say(text) => _ = stream.write_all(text.as_bytes()),
                Act::Hang => {}
                Act::Close => return,
            }
        }
        _ = tell.lock().expect("whole").send((number, None));
    });
    (at, seen)
}

/// The next command that a peer sees.
pub fn next(seen: &Seen) -> (usize, Option<Vec<String>>) {
    seen.recv_timeout(WAIT_TIMEOUT)
        .expect("something to happen")
}

/// One HTTP message off a connection: first line, header lines, body.
pub fn http(
    from: &mut BufReader<TcpStream>,
    bare: bool,
) -> io::Result<(String, Vec<String>, String)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end() {
            "" => break,
            line => lines.push(line.to_owned()),
        }
    }
    let length = lines.iter().find_map(|l| {
        l.to_ascii_lowercase()
            .strip_prefix("content-length: ")?
            .parse()
            .ok()
    });
    let mut body = vec![0; if bare { 0 } else { length.unwrap_or(0) }];
    from.read_exact(&mut body)?;
    let first = lines.remove(0);
    Ok((first, lines, String::from_utf8_lossy(&body).into_owned()))
}

/// A peer that speaks HTTP by a script, which gets the first line, the header lines and the body.
pub fn http_peer(
    script: impl Fn(&str, &[String], &str) -> Act + Send + Sync + 'static,
) -> SocketAddr {
    peer(move |_, stream| {
        let mut from = BufReader::new(stream);
        while let Ok((first, headers, body)) = http(&mut from, false) {
            match script(&first, &headers, &body) {
                Act::Say(text) => _ = from.get_mut().write_all(text.as_bytes()),
                Act::Hang => {}
                Act::Close => return,
            }
        }
    })
}

/// An HTTP answer with a body.
pub fn answer(status: &str, body: &str) -> Act {
    Act::Say(format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}
