//! Measures the time from the close of a client's connection to the last attempt of its requests.

use crate::peers::{
    request_command, served_reply, silent_discovery, start_resp_peer, Client, Program,
};
use crate::support::{close, malformed_commands, settings_with_long_deadlines};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Starts a shell that lets the program run for only 10 ms of each 100 ms, for at most `max_time`.
fn throttle_to_a_tenth_of_a_core(program: &Program, max_time: Duration) -> std::process::Child {
    let cycles = max_time.as_millis() / 100;
    let cycle = "kill -CONT $0 && sleep 0.01 && kill -STOP $0 && sleep 0.09 || exit 0";
    let script = format!("for cycle in $(seq {cycles}); do {cycle}; done; kill -CONT $0");
    let process_id = program.process_id().to_string();
    std::process::Command::new("sh")
        .args(["-c", &script, &process_id])
        .spawn()
        .expect("sh is started")
}

/// A measurement, not a test. Run it with
/// `cargo test --release --test races -- --ignored --nocapture time_from_client_close`.
#[test]
#[ignore = "a measurement"]
fn time_from_client_close_to_last_attempt_at_a_tenth_of_a_core() {
    let arrived: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let server_arrived = arrived.clone();
    let (server, _seen) = start_resp_peer(move |_, words| {
        server_arrived
            .lock()
            .expect("lock is not poisoned")
            .insert(words[2].clone(), Instant::now());
        thread::sleep(Duration::from_millis(15));
        served_reply(&words[2])
    });
    let servers = ["s-1", "s-2", "s-3"].map(|name| (name, server));
    let mut config = settings_with_long_deadlines(silent_discovery(), &servers);
    (
        config["settings"]["tariffs"][0]["refill"],
        config["settings"]["tariffs"][0]["peakUnits"],
    ) = (1e6.into(), 1e6.into());
    let program = Program::start("after-the-close", &config);
    program.call_until("ready", "YES");
    let mut throttle = throttle_to_a_tenth_of_a_core(&program, Duration::from_secs(30));
    let (address, started_at) = (program.client_address, Instant::now());
    let clients = (0..80).map(|client_number| {
        thread::spawn(move || {
            let (mut closed, mut rng) = (Vec::new(), fastrand::Rng::with_seed(client_number));
            for request_number in 0.. {
                if started_at.elapsed() > Duration::from_secs(20) {
                    break;
                }
                let id = format!("left-{client_number}-{request_number}");
                let mut client = Client::connect_at(address);
                // For half of the clients the limiter's reader is paused when they close.
                let sent_after = if request_number % 2 == 0 {
                    String::new()
                } else {
                    malformed_commands()
                };
                client.send(&(request_command("look", &id, 5_000) + &sent_after));
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
        .flat_map(|client| client.join().expect("client thread does not panic"))
        .collect();
    thread::sleep(Duration::from_secs(3));
    throttle.wait().expect("the throttling shell ends");
    let arrived = arrived.lock().expect("lock is not poisoned");
    let latencies = closed
        .iter()
        .filter_map(|(id, at)| arrived.get(id)?.checked_duration_since(*at));
    let mut latencies: Vec<_> = latencies.collect();
    latencies.sort();
    let percentile = |fraction: f64| {
        latencies
            .get((latencies.len() as f64 * fraction) as usize)
            .or(latencies.last())
    };
    println!(
        "{} clients closed, {} attempts arrived before and {} after the close: \
        50th percentile {:?}, 99th {:?}, maximum {:?}, {} later than 0.1 s",
        closed.len(),
        arrived.len() - latencies.len(),
        latencies.len(),
        percentile(0.5),
        percentile(0.99),
        latencies.last(),
        latencies
            .iter()
            .filter(|latency| **latency > Duration::from_millis(100))
            .count()
    );
}
