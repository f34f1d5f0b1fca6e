//! Frames and descriptors between the two processes of an upgrade.

use mossrill::handover::link::{Link, ReceiveError};
use mossrill::handover::message::AccountState;
use mossrill::handover::message::HandoverMessage;
use mossrill::handover::message::LearnedState;
use std::io::Read;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::time::Duration;

const WAIT: Option<Duration> = Some(Duration::from_secs(20));

fn pair() -> (Link, UnixStream) {
    let (a, b) = UnixStream::pair().expect("a pair");
    (Link::new(a).expect("a link"), b)
}

#[test]
fn frames_and_descriptors_arrive_together() {
    let (one, other) = pair();
    let other = Link::new(other).expect("a link");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut client =
        TcpStream::connect(listener.local_addr().expect("an address")).expect("connected");
    let (stream, _) = listener.accept().expect("a connection");
    let accounts = (0..10_000).map(|n| AccountState {
        id: format!("{n:016x}"),
        ..AccountState::default()
    });
    let given = HandoverMessage::LearnedState(LearnedState {
        accounts: accounts.collect(),
        ..LearnedState::default()
    });
    std::thread::scope(|scope| {
        scope.spawn(|| {
            use std::os::fd::AsFd;
            one.send(given.clone(), None).expect("said");
            one.send(
                HandoverMessage::Connection(b"half".to_vec()),
                Some(stream.as_fd()),
            )
            .expect("said");
            one.send(HandoverMessage::Serving(true), None)
                .expect("said");
        });
        assert_eq!(other.receive(WAIT).expect("heard").0, given);
        let (body, descriptor) = other.receive(WAIT).expect("heard");
        assert_eq!(body, HandoverMessage::Connection(b"half".to_vec()));
        let mut moved = TcpStream::from(descriptor.expect("a connection"));
        std::io::Write::write_all(&mut moved, b"here").expect("written");
        assert_eq!(
            other.receive(WAIT).expect("heard").0,
            HandoverMessage::Serving(true)
        );
    });
    let mut told = [0; 4];
    client.read_exact(&mut told).expect("read");
    assert_eq!(&told, b"here");
    drop(one);
    assert_eq!(
        other.receive(WAIT).map(|(body, _)| body),
        Err(ReceiveError::Closed)
    );
}

#[test]
fn messages_sent_before_shutdown_are_received_and_none_after() {
    // It decides which process owns the state.
    let (one, other) = pair();
    let other = Link::new(other).expect("a link");
    other
        .send(HandoverMessage::Serving(true), None)
        .expect("said");
    one.shutdown();
    assert!(other.send(HandoverMessage::Serving(true), None).is_err());
    assert_eq!(
        one.receive(WAIT).expect("heard").0,
        HandoverMessage::Serving(true)
    );
    assert_eq!(
        one.receive(WAIT).map(|(body, _)| body),
        Err(ReceiveError::Closed)
    );
}

#[test]
fn malformed_frames_are_told_from_timeouts_and_closed_connections() {
    for (bytes, why) in [
        (&b"\xff\xff\xff\xff"[..], ReceiveError::FrameTooLong),
        (
            &b"\0\0\0\x03\x2a\xff\x01"[..],
            ReceiveError::UnreadableFrame,
        ),
        (&b"\0\0\0\0"[..], ReceiveError::UnreadableFrame),
        // Welcome without the listener.
        (&b"\0\0\0\x02\x10\x01"[..], ReceiveError::MissingDescriptor),
        // Truncated.
        (&b"\0\0\0\x09\x10"[..], ReceiveError::Closed),
    ] {
        let (link, mut peer) = pair();
        peer.write_all(bytes).expect("written");
        drop(peer);
        assert_eq!(
            link.receive(WAIT).map(|(body, _)| body),
            Err(why),
            "{bytes:?}"
        );
    }
    let (link, _silent) = pair();
    let nothing = link
        .receive(Some(Duration::from_millis(1)))
        .map(|(body, _)| body);
    assert_eq!(nothing, Err(ReceiveError::TimedOut));
}
