//! Tests of the link between the two processes of an upgrade, which carries messages and file
//! descriptors.

use mossrill::handover::link::{Link, ReceiveError};
use mossrill::handover::message::AccountState;
use mossrill::handover::message::HandoverMessage;
use mossrill::handover::message::LearnedState;
use std::io::Read;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// Timeout of a message that is expected to arrive.
const RECEIVE_TIMEOUT: Option<Duration> = Some(Duration::from_secs(20));

/// Returns a link and the raw socket at its other end.
fn link_and_peer() -> (Link, UnixStream) {
    let (near, far) = UnixStream::pair().expect("a socket pair is created");
    (
        Link::new(near).expect("a link is opened on the socket"),
        far,
    )
}

#[test]
fn frames_and_descriptors_arrive_together() {
    let (sender, peer) = link_and_peer();
    let receiver = Link::new(peer).expect("a link is opened on the socket");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is bound");
    let mut client =
        TcpStream::connect(listener.local_addr().expect("the listener has an address"))
            .expect("the listener accepts connections");
    let (stream, _) = listener.accept().expect("the connection is accepted");
    let accounts = (0..10_000).map(|number| AccountState {
        id: format!("{number:016x}"),
        ..AccountState::default()
    });
    let sent = HandoverMessage::LearnedState(LearnedState {
        accounts: accounts.collect(),
        ..LearnedState::default()
    });
    std::thread::scope(|scope| {
        scope.spawn(|| {
            use std::os::fd::AsFd;
            sender
                .send(sent.clone(), None)
                .expect("the message is sent");
            sender
                .send(
                    HandoverMessage::Connection(b"half".to_vec()),
                    Some(stream.as_fd()),
                )
                .expect("the message is sent");
            sender
                .send(HandoverMessage::Serving(true), None)
                .expect("the message is sent");
        });
        assert_eq!(
            receiver
                .receive(RECEIVE_TIMEOUT)
                .expect("a message is received")
                .0,
            sent
        );
        let (body, descriptor) = receiver
            .receive(RECEIVE_TIMEOUT)
            .expect("a message is received");
        assert_eq!(body, HandoverMessage::Connection(b"half".to_vec()));
        let mut handed_over = TcpStream::from(
            descriptor.expect("the message carries the descriptor of the connection"),
        );
        std::io::Write::write_all(&mut handed_over, b"here").expect("the bytes are written");
        assert_eq!(
            receiver
                .receive(RECEIVE_TIMEOUT)
                .expect("a message is received")
                .0,
            HandoverMessage::Serving(true)
        );
    });
    let mut received = [0; 4];
    client
        .read_exact(&mut received)
        .expect("the client receives what was written");
    assert_eq!(&received, b"here");
    drop(sender);
    assert_eq!(
        receiver.receive(RECEIVE_TIMEOUT).map(|(body, _)| body),
        Err(ReceiveError::Closed)
    );
}

#[test]
fn messages_sent_before_shutdown_are_received_and_none_after() {
    // Whether the successor can still send its confirmation decides which process owns the state.
    let (predecessor, peer) = link_and_peer();
    let successor = Link::new(peer).expect("a link is opened on the socket");
    successor
        .send(HandoverMessage::Serving(true), None)
        .expect("the message is sent");
    predecessor.shutdown();
    assert!(successor
        .send(HandoverMessage::Serving(true), None)
        .is_err());
    assert_eq!(
        predecessor
            .receive(RECEIVE_TIMEOUT)
            .expect("a message is received")
            .0,
        HandoverMessage::Serving(true)
    );
    assert_eq!(
        predecessor.receive(RECEIVE_TIMEOUT).map(|(body, _)| body),
        Err(ReceiveError::Closed)
    );
}

#[test]
fn malformed_frames_timeouts_and_closed_connections_give_different_errors() {
    for (bytes, expected) in [
        (&b"\xff\xff\xff\xff"[..], ReceiveError::FrameTooLong),
        (
            &b"\0\0\0\x03\x2a\xff\x01"[..],
            ReceiveError::UnreadableFrame,
        ),
        (&b"\0\0\0\0"[..], ReceiveError::UnreadableFrame),
        // `Accept` without the descriptor of the listener.
        (&b"\0\0\0\x02\x10\x01"[..], ReceiveError::MissingDescriptor),
        // A truncated frame.
        (&b"\0\0\0\x09\x10"[..], ReceiveError::Closed),
    ] {
        let (link, mut peer) = link_and_peer();
        peer.write_all(bytes).expect("the bytes are written");
        drop(peer);
        assert_eq!(
            link.receive(RECEIVE_TIMEOUT).map(|(body, _)| body),
            Err(expected),
            "received bytes: {bytes:?}"
        );
    }
    let (link, _silent) = link_and_peer();
    let received = link
        .receive(Some(Duration::from_millis(1)))
        .map(|(body, _)| body);
    assert_eq!(received, Err(ReceiveError::TimedOut));
}
