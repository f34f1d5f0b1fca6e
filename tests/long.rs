//! Tests of long values, slow peers and crowds over loopback.

mod peers;

use peers::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{mpsc, Mutex};

/// Longer than anything that is held whole.
const LENGTH: usize = 1 << 20;

fn started(server: SocketAddr) -> Running {
    limiter(&settings(
        quiet_list(),
        quota_counter().0,
        &[("s-1", server), ("s-2", server)],
    ))
}

/// A server that begins a long value for a request, and goes on as it is told: with the rest, with what else is said, or not
/// at all.
fn server() -> (
    SocketAddr,
    mpsc::Sender<Option<Vec<u8>>>,
    mpsc::Receiver<()>,
) {
    let (go_on, told) = mpsc::channel::<Option<Vec<u8>>>();
    let (tell, ended) = mpsc::channel();
    let (told, tell) = (Mutex::new(told), Mutex::new(tell));
    let at = peer(move |_, mut stream: TcpStream| {
        let mut bytes = Vec::new();
        while let Some(words) = command(&mut stream, &mut bytes) {
            if words[2] != "long" {
                let Act::Say(text) = serve(&words[2]) else {
                    return;
                };
                _ = stream.write_all(text.as_bytes());
                continue;
            }
            _ = stream
                .write_all(format!("*3\r\n${LENGTH}\r\n{}", "a".repeat(LENGTH / 2)).as_bytes());
            match told.lock().expect("whole").recv() {
                Ok(Some(rest)) => _ = stream.write_all(&rest),
                _ => return,
            }
        }
        // The limiter has ended the connection.
        _ = tell.lock().expect("whole").send(());
    });
    (at, go_on, ended)
}

fn rest() -> Vec<u8> {
    format!(
        "{}\r\n$-1\r\n$26\r\ninflight=7,queue=2,util=0.6\r\n",
        "b".repeat(LENGTH / 2)
    )
    .into_bytes()
}

/// The first half of the value, while the second has not left the server.
fn first_half(client: &mut Client) {
    assert_eq!(client.line(), format!("${LENGTH}"));
    let mut half = vec![0; LENGTH / 2];
    client.0.read_exact(&mut half).expect("the first half");
    assert!(half.iter().all(|b| *b == b'a'));
}

#[test]
fn long_value_is_streamed_and_its_connection_reused() {
    let (server, go_on, _ended) = server();
    let limiter = started(server);
    let mut client = Client::ready(&limiter);
    // Short ones behind it on the same connection, of which one is served at once.
    client.say(&(asking("look", "long", 1500) + &asking("look", "short", 1500)));
    first_half(&mut client);
    go_on.send(Some(rest())).expect("a node");
    let mut half = vec![0; LENGTH / 2 + 2];
    client.0.read_exact(&mut half).expect("the second half");
    assert!(half.ends_with(b"b\r\n"));
    assert_eq!(client.answer(), "short");
    client.ask("look", "later", 1500);
    assert_eq!(client.answer(), "later");
}

#[test]
fn truncated_or_mismeasured_long_value_is_detectable() {
    for end in [None, Some([rest(), b"more".to_vec()].concat())] {
        let (server, go_on, _ended) = server();
        let limiter = started(server);
        let mut client = Client::ready(&limiter);
        client.ask("look", "long", 1500);
        first_half(&mut client);
        // Where the length is wrong, what stands behind the value is not the end of a line.
        let lies = end.map(|mut bytes| {
            bytes.insert(0, b'b');
            bytes
        });
        go_on.send(lies).expect("a node");
        let mut rest = Vec::new();
        _ = client.0.read_to_end(&mut rest);
        assert!(
            rest.len() <= LENGTH / 2,
            "{} bytes behind the first half",
            rest.len()
        );
        let mut client = Client::ready(&limiter);
        client.ask("look", "after", 1500);
        assert_eq!(client.answer(), "after");
    }
}

#[test]
fn timeouts_do_not_cut_off_a_value_that_is_still_sent() {
    let (server, go_on, _ended) = server();
    let limiter = started(server);
    let mut client = Client::ready(&limiter);
    // Its time is up long before the second half comes, and so is the time of another that is asked later.
    client.ask("look", "long", 100);
    first_half(&mut client);
    let mut other = Client::ready(&limiter);
    other.ask("look", "short", 1500);
    assert_eq!(other.answer(), "short");
    std::thread::sleep(std::time::Duration::from_millis(300));
    go_on.send(Some(rest())).expect("a node");
    let mut half = vec![0; LENGTH / 2 + 2];
    client.0.read_exact(&mut half).expect("the second half");
    assert!(half.ends_with(b"b\r\n"));
}

#[test]
fn attempt_is_cancelled_if_its_client_closes_during_the_answer() {
    let (server, go_on, ended) = server();
    let limiter = started(server);
    let mut client = Client::ready(&limiter);
    client.ask("look", "long", 1500);
    first_half(&mut client);
    drop(client);
    go_on.send(Some(vec![b'b'; 10])).expect("a node");
    ended
        .recv_timeout(std::time::Duration::from_secs(20))
        .expect("the connection to the node ends");
}

#[test]
fn shutdown_waits_for_a_partially_written_command() {
    let (server, _seen) = resp_peer(|_, words| serve(&words[2]));
    let limiter = started(server);
    let mut client = Client::ready(&limiter);
    let text = asking("look", "slow", 1500);
    let (first, rest) = text.split_at(20);
    client.say(first);
    let stopped = std::thread::spawn(move || limiter.stop());
    // In pieces, well after connections have stopped coming.
    for piece in rest.as_bytes().chunks(10) {
        std::thread::sleep(std::time::Duration::from_millis(80));
        client.0.get_mut().write_all(piece).expect("written");
    }
    assert_eq!(client.answer(), "slow");
    stopped.join().expect("an end in order");
}

#[test]
fn waiting_connections_hold_only_their_reader_thread() {
    // A system that gives a process a part of a processor by stopping and continuing it does so with each of its threads:
    // 280 of them took all of 0.12 of a core.
    let (server, _seen) = resp_peer(|_, words| serve(&words[2]));
    let program = Program::start(
        "threads",
        &settings(quiet_list(), quota_counter().0, &[("s-1", server)]),
    );
    let mut clients: Vec<Client> = (0..100).map(|_| Client::ready_at(program.at)).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.ask("look", &format!("look-{number}"), 1500);
        client.answer();
    }
    // Those without work rest for a moment.
    until(|| program.threads(), |threads| *threads < 100 + 30);
}
