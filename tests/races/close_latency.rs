//! Measures the time from the close of a client to the last attempt of its requests.

use crate::peers::{asking, quiet_list, resp_peer, serve, Client, Program};
use crate::support::{close, malformed_commands, settings_with_long_deadlines};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A process that runs for 10 ms of each 100 ms, for at most so long.
fn throttle_to_a_tenth_of_a_core(program: &Program, longest: Duration) -> std::process::Child {
    let turns = longest.as_millis() / 100;
    let turn = "kill -CONT $0 && sleep 0.01 && kill -STOP $0 && sleep 0.09 || exit 0";
    let script = format!("for turn in $(seq {turns}); do {turn}; done; kill -CONT $0");
    let number = program.number().to_string();
    std::process::Command::new("sh")
        .args(["-c", &script, &number])
        .spawn()
        .expect("a shell")
}

/// A measurement, not a test: `cargo test --release --test races -- --ignored --nocapture after_the_close`.
#[test]
#[ignore = "a measurement"]
fn time_from_client_close_to_last_attempt_at_a_tenth_of_a_core() {
    let arrived: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let own = arrived.clone();
    let (server, _seen) = resp_peer(move |_, words| {
        own.lock()
            .expect("whole")
            .insert(words[2].clone(), Instant::now());
        thread::sleep(Duration::from_millis(15));
        serve(&words[2])
    });
    let servers = ["s-1", "s-2", "s-3"].map(|name| (name, server));
    let mut told = settings_with_long_deadlines(quiet_list(), &servers);
    (
        told["settings"]["tariffs"][0]["refill"],
        told["settings"]["tariffs"][0]["peakUnits"],
    ) = (1e6.into(), 1e6.into());
    let program = Program::start("after-the-close", &told);
    program.call_until("ready", "YES");
    let mut slowed = throttle_to_a_tenth_of_a_core(&program, Duration::from_secs(30));
    let (at, began) = (program.at, Instant::now());
    let clients = (0..80).map(|own| {
        thread::spawn(move || {
            let (mut closed, mut rng) = (Vec::new(), fastrand::Rng::with_seed(own));
            for number in 0.. {
                if began.elapsed() > Duration::from_secs(20) {
                    break;
                }
                let id = format!("left-{own}-{number}");
                let mut client = Client::connect_at(at);
                // Half of them are not read from when they leave.
                let behind = if number % 2 == 0 {
                    String::new()
                } else {
                    malformed_commands()
                };
                client.say(&(asking("look", &id, 5_000) + &behind));
                thread::sleep(Duration::from_millis(rng.u64(0..600)));
                close(client);
                closed.push((id, Instant::now()));
            }
            closed
        })
    });
    let clients: Vec<_> = clients.collect();
    let closed: Vec<_> = clients
        .into_iter()
        .flat_map(|client| client.join().expect("an end"))
        .collect();
    thread::sleep(Duration::from_secs(3));
    slowed.wait().expect("an end");
    let arrived = arrived.lock().expect("whole");
    let late = closed
        .iter()
        .filter_map(|(id, at)| arrived.get(id)?.checked_duration_since(*at));
    let mut late: Vec<_> = late.collect();
    late.sort();
    let part = |part: f64| {
        late.get((late.len() as f64 * part) as usize)
            .or(late.last())
    };
    println!(
        "{} left, {} attempts came before and {} after: 50th {:?}, 99th {:?}, worst {:?}, {} after 0.1 s",
        closed.len(),
        arrived.len() - late.len(),
        late.len(),
        part(0.5),
        part(0.99),
        late.last(),
        late.iter().filter(|late| **late > Duration::from_millis(100)).count()
    );
}
