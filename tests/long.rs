//! Tests of long values, slow peers and crowds over loopback.

mod peers;

use peers::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{mpsc, Mutex};

/// Longer than anything that is held whole.
const LENGTH: usize = 1 << 20;

fn started(node: SocketAddr) -> Running {
    limiter(&settings(
        quiet_list(),
        quota_counter().0,
        &[("s-1", node), ("s-2", node)],
    ))
}

/// A node that begins a long value for a request, and goes on as it is told: with the rest, with what else is said, or not
/// at all.
fn node() -> (
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

/// The first half of the value, while the second has not left the node.
fn first_half(agent: &mut Client) {
    assert_eq!(agent.line(), format!("${LENGTH}"));
    let mut half = vec![0; LENGTH / 2];
    agent.0.read_exact(&mut half).expect("the first half");
    assert!(half.iter().all(|b| *b == b'a'));
}

#[test]
fn a_long_value_comes_as_it_is_served_and_the_connection_goes_on() {
    let (node, go_on, _ended) = node();
    let limiter = started(node);
    let mut agent = Client::ready(&limiter);
    // Short ones behind it on the same connection, of which one is served at once.
    agent.say(&(asking("look", "long", 1500) + &asking("look", "short", 1500)));
    first_half(&mut agent);
    go_on.send(Some(rest())).expect("a node");
    let mut half = vec![0; LENGTH / 2 + 2];
    agent.0.read_exact(&mut half).expect("the second half");
    assert!(half.ends_with(b"b\r\n"));
    assert_eq!(agent.answer(), "short");
    agent.ask("look", "later", 1500);
    assert_eq!(agent.answer(), "later");
}

#[test]
fn a_long_value_that_breaks_off_or_lies_about_its_length_is_seen_not_to_be_whole() {
    for end in [None, Some([rest(), b"more".to_vec()].concat())] {
        let (node, go_on, _ended) = node();
        let limiter = started(node);
        let mut agent = Client::ready(&limiter);
        agent.ask("look", "long", 1500);
        first_half(&mut agent);
        // Where the length is wrong, what stands behind the value is not the end of a line.
        let lies = end.map(|mut bytes| {
            bytes.insert(0, b'b');
            bytes
        });
        go_on.send(lies).expect("a node");
        let mut rest = Vec::new();
        _ = agent.0.read_to_end(&mut rest);
        assert!(
            rest.len() <= LENGTH / 2,
            "{} bytes behind the first half",
            rest.len()
        );
        let mut agent = Client::ready(&limiter);
        agent.ask("look", "after", 1500);
        assert_eq!(agent.answer(), "after");
    }
}

#[test]
fn no_time_out_cuts_off_what_a_node_still_gives() {
    let (node, go_on, _ended) = node();
    let limiter = started(node);
    let mut agent = Client::ready(&limiter);
    // Its time is up long before the second half comes, and so is the time of another that is asked later.
    agent.ask("look", "long", 100);
    first_half(&mut agent);
    let mut other = Client::ready(&limiter);
    other.ask("look", "short", 1500);
    assert_eq!(other.answer(), "short");
    std::thread::sleep(std::time::Duration::from_millis(300));
    go_on.send(Some(rest())).expect("a node");
    let mut half = vec![0; LENGTH / 2 + 2];
    agent.0.read_exact(&mut half).expect("the second half");
    assert!(half.ends_with(b"b\r\n"));
}

#[test]
fn an_agent_that_leaves_half_way_takes_its_attempt_along() {
    let (node, go_on, ended) = node();
    let limiter = started(node);
    let mut agent = Client::ready(&limiter);
    agent.ask("look", "long", 1500);
    first_half(&mut agent);
    drop(agent);
    go_on.send(Some(vec![b'b'; 10])).expect("a node");
    ended
        .recv_timeout(std::time::Duration::from_secs(20))
        .expect("the connection to the node ends");
}

#[test]
fn told_to_stop_it_waits_for_an_agent_in_the_middle_of_a_command() {
    let (node, _seen) = resp_peer(|_, words| serve(&words[2]));
    let limiter = started(node);
    let mut agent = Client::ready(&limiter);
    let text = asking("look", "slow", 1500);
    let (first, rest) = text.split_at(20);
    agent.say(first);
    let stopped = std::thread::spawn(move || limiter.stop());
    // In pieces, well after connections have stopped coming.
    for piece in rest.as_bytes().chunks(10) {
        std::thread::sleep(std::time::Duration::from_millis(80));
        agent.0.get_mut().write_all(piece).expect("written");
    }
    assert_eq!(agent.answer(), "slow");
    stopped.join().expect("an end in order");
}

#[test]
fn connections_that_wait_hold_no_thread_but_the_one_that_reads() {
    // A system that gives a process a part of a processor by stopping and continuing it does so with each of its threads:
    // 280 of them took all of 0.12 of a core.
    let (node, _seen) = resp_peer(|_, words| serve(&words[2]));
    let program = Program::start(
        "threads",
        &settings(quiet_list(), quota_counter().0, &[("s-1", node)]),
    );
    let mut agents: Vec<Client> = (0..100).map(|_| Client::ready_at(program.at)).collect();
    for (number, agent) in agents.iter_mut().enumerate() {
        agent.ask("look", &format!("look-{number}"), 1500);
        agent.answer();
    }
    // Those without work rest for a moment.
    until(|| program.threads(), |threads| *threads < 100 + 30);
}
