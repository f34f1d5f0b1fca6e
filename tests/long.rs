//! Tests of streamed values, client and server time-outs, shutdown and many idle connections, over
//! loopback.

mod peers;

use peers::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{mpsc, Mutex};

/// Length of a value that is streamed because it is too long for a buffer, in bytes.
const VALUE_BYTES: usize = 1 << 20;

/// Starts a limiter whose two upstream servers have the same address.
fn start_limiter_with_server(server: SocketAddr) -> RunningLimiter {
    start_limiter(&settings(
        silent_discovery(),
        quota_counter().0,
        &[("s-1", server), ("s-2", server)],
    ))
}

/// Starts an upstream server that replies to the request "long" with the first half of a long
/// value, then sends the bytes that it receives on the channel, or closes the connection if it
/// receives `None`. Other requests are served at once.
///
/// Returns the address, the sender of these instructions, and a receiver that is notified whenever
/// the limiter has closed a connection.
fn streaming_server() -> (
    SocketAddr,
    mpsc::Sender<Option<Vec<u8>>>,
    mpsc::Receiver<()>,
) {
    let (instructions, instruction_receiver) = mpsc::channel::<Option<Vec<u8>>>();
    let (closed_sender, closed) = mpsc::channel();
    let instruction_receiver = Mutex::new(instruction_receiver);
    let closed_sender = Mutex::new(closed_sender);
    let address = start_peer(move |_, mut stream: TcpStream| {
        let mut bytes = Vec::new();
        while let Some(words) = read_command(&mut stream, &mut bytes) {
            if words[2] != "long" {
                let PeerAction::Reply(text) = served_reply(&words[2]) else {
                    return;
                };
                _ = stream.write_all(text.as_bytes());
                continue;
            }
            _ = stream.write_all(
                format!("*3\r\n${VALUE_BYTES}\r\n{}", "a".repeat(VALUE_BYTES / 2)).as_bytes(),
            );
            match instruction_receiver
                .lock()
                .expect("the receiver is not poisoned")
                .recv()
            {
                Ok(Some(rest)) => _ = stream.write_all(&rest),
                _ => return,
            }
        }
        // The limiter has closed the connection.
        _ = closed_sender
            .lock()
            .expect("the sender is not poisoned")
            .send(());
    });
    (address, instructions, closed)
}

/// The second half of the value, the usage and the load report.
fn rest_of_reply() -> Vec<u8> {
    format!(
        "{}\r\n$-1\r\n$26\r\ninflight=7,queue=2,util=0.6\r\n",
        "b".repeat(VALUE_BYTES / 2)
    )
    .into_bytes()
}

/// Reads the first half of the value, of which the server has not sent the second half yet.
fn read_first_half(client: &mut Client) {
    assert_eq!(client.read_line(), format!("${VALUE_BYTES}"));
    let mut half = vec![0; VALUE_BYTES / 2];
    client
        .0
        .read_exact(&mut half)
        .expect("the client receives the first half");
    assert!(half.iter().all(|b| *b == b'a'));
}

#[test]
fn long_value_is_streamed_and_its_connection_reused() {
    let (server, instructions, _closed) = streaming_server();
    let limiter = start_limiter_with_server(server);
    let mut client = Client::connect_when_ready(&limiter);
    // The request for a short value is sent together with that for the long one, and a further one
    // after both replies.
    client.send(&(request_command("look", "long", 1500) + &request_command("look", "short", 1500)));
    read_first_half(&mut client);
    instructions
        .send(Some(rest_of_reply()))
        .expect("the upstream server waits for an instruction");
    let mut half = vec![0; VALUE_BYTES / 2 + 2];
    client
        .0
        .read_exact(&mut half)
        .expect("the client receives the second half");
    assert!(half.ends_with(b"b\r\n"));
    assert_eq!(client.read_reply(), "short");
    client.send_request("look", "later", 1500);
    assert_eq!(client.read_reply(), "later");
}

#[test]
fn long_value_without_its_announced_length_is_detectable() {
    for rest in [None, Some([rest_of_reply(), b"more".to_vec()].concat())] {
        let (server, instructions, _closed) = streaming_server();
        let limiter = start_limiter_with_server(server);
        let mut client = Client::connect_when_ready(&limiter);
        client.send_request("look", "long", 1500);
        read_first_half(&mut client);
        // With one additional byte, the bytes after the announced length are not a line end.
        let longer_rest = rest.map(|mut bytes| {
            bytes.insert(0, b'b');
            bytes
        });
        instructions
            .send(longer_rest)
            .expect("the upstream server waits for an instruction");
        let mut received = Vec::new();
        _ = client.0.read_to_end(&mut received);
        assert!(
            received.len() <= VALUE_BYTES / 2,
            "the client received {} bytes after the first half",
            received.len()
        );
        let mut client = Client::connect_when_ready(&limiter);
        client.send_request("look", "after", 1500);
        assert_eq!(client.read_reply(), "after");
    }
}

#[test]
fn request_timeouts_do_not_truncate_a_value_that_is_being_streamed() {
    let (server, instructions, _closed) = streaming_server();
    let limiter = start_limiter_with_server(server);
    let mut client = Client::connect_when_ready(&limiter);
    // The request's deadline passes before the second half is sent, while a later request is served
    // meanwhile.
    client.send_request("look", "long", 100);
    read_first_half(&mut client);
    let mut other = Client::connect_when_ready(&limiter);
    other.send_request("look", "short", 1500);
    assert_eq!(other.read_reply(), "short");
    std::thread::sleep(std::time::Duration::from_millis(300));
    instructions
        .send(Some(rest_of_reply()))
        .expect("the upstream server waits for an instruction");
    let mut half = vec![0; VALUE_BYTES / 2 + 2];
    client
        .0
        .read_exact(&mut half)
        .expect("the client receives the second half");
    assert!(half.ends_with(b"b\r\n"));
}

#[test]
fn attempt_is_cancelled_if_its_client_closes_while_a_value_is_streamed() {
    let (server, instructions, closed) = streaming_server();
    let limiter = start_limiter_with_server(server);
    let mut client = Client::connect_when_ready(&limiter);
    client.send_request("look", "long", 1500);
    read_first_half(&mut client);
    drop(client);
    instructions
        .send(Some(vec![b'b'; 10]))
        .expect("the upstream server waits for an instruction");
    closed
        .recv_timeout(std::time::Duration::from_secs(20))
        .expect("the limiter closes its connection to the upstream server");
}

#[test]
fn shutdown_waits_for_a_partially_written_command() {
    let (server, _received) = start_resp_peer(|_, words| served_reply(&words[2]));
    let limiter = start_limiter_with_server(server);
    let mut client = Client::connect_when_ready(&limiter);
    let text = request_command("look", "slow", 1500);
    let (first, rest) = text.split_at(20);
    client.send(first);
    let shutdown = std::thread::spawn(move || limiter.stop());
    // The rest of the command is sent in small pieces after the limiter has stopped accepting
    // connections.
    for piece in rest.as_bytes().chunks(10) {
        std::thread::sleep(std::time::Duration::from_millis(80));
        client
            .0
            .get_mut()
            .write_all(piece)
            .expect("the limiter keeps the connection open");
    }
    assert_eq!(client.read_reply(), "slow");
    shutdown
        .join()
        .expect("the limiter shuts down without a panic");
}

#[test]
fn idle_connections_keep_only_their_reader_thread() {
    // An operating system that limits a process to a share of a core by stopping and continuing it
    // must do so for each of its threads. With 280 threads, this took up a whole limit of 0.12
    // cores.
    let (server, _received) = start_resp_peer(|_, words| served_reply(&words[2]));
    let program = Program::start(
        "threads",
        &settings(silent_discovery(), quota_counter().0, &[("s-1", server)]),
    );
    let mut clients: Vec<Client> = (0..100)
        .map(|_| Client::connect_when_ready_at(program.client_address))
        .collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send_request("look", &format!("look-{number}"), 1500);
        client.read_reply();
    }
    // Threads without work exit after a short time.
    wait_until(|| program.thread_count(), |threads| *threads < 100 + 30);
}
