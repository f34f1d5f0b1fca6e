//! Tests of the Redis counter: two limiters with an OpenAPI front share one fake Redis server.

mod peers;

use peers::*;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

const DESCRIPTION: &str = include_str!("../deploy/ferry.openapi.json");
const FILE: &str = include_str!("../deploy/openapi.json");

/// How the fake server handles transactions.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behavior {
    /// Executes them.
    Works,
    /// Never answers.
    Silent,
    /// Discards the queued commands.
    Discards,
    /// Has lost all keys before each transaction.
    LosesKeys,
}

#[derive(Default)]
struct Store {
    /// Units by key.
    totals: Mutex<HashMap<String, f64>>,
    /// Number of `EXEC` commands.
    transactions: AtomicUsize,
    /// Commands up to the first `EXEC`.
    first_commands: Mutex<Vec<Vec<String>>>,
}

/// Starts a fake Redis server with `MULTI`, `SET … NX`, `INCRBYFLOAT` and `EXEC` as the public
/// documentation of Redis describes them.
fn redis(behavior: Behavior) -> (SocketAddr, Arc<Store>) {
    let store = Arc::new(Store::default());
    let shared = store.clone();
    let at = start_peer(move |_, mut stream| {
        let (mut bytes, mut queued) = (Vec::new(), Vec::new());
        while let Some(words) = read_command(&mut stream, &mut bytes) {
            if shared.transactions.load(Ordering::SeqCst) == 0 {
                shared
                    .first_commands
                    .lock()
                    .expect("the lock is not poisoned")
                    .push(words.clone());
            }
            let reply = match &*words[0] {
                "MULTI" => "+OK\r\n".into(),
                "EXEC" => execute(&shared, behavior, std::mem::take(&mut queued)),
                _ => {
                    queued.push(words);
                    "+QUEUED\r\n".into()
                }
            };
            if behavior != Behavior::Silent && stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    });
    (at, store)
}

/// Executes a transaction and returns the reply to `EXEC`.
fn execute(store: &Store, behavior: Behavior, queued: Vec<Vec<String>>) -> String {
    store.transactions.fetch_add(1, Ordering::SeqCst);
    if behavior == Behavior::Discards {
        return "-EXECABORT Transaction discarded because of previous errors.\r\n".into();
    }
    let mut totals = store.totals.lock().expect("the lock is not poisoned");
    if behavior == Behavior::LosesKeys {
        totals.clear();
    }
    let mut reply = format!("*{}\r\n", queued.len());
    for words in queued {
        let known = totals.contains_key(&words[1]);
        let total = totals.entry(words[1].clone()).or_default();
        if words[0] == "SET" {
            reply += if known { "$-1\r\n" } else { "+OK\r\n" };
            continue;
        }
        *total += words[2].parse::<f64>().expect("the amount is a number");
        reply += &format!("${}\r\n{total}\r\n", total.to_string().len());
    }
    reply
}

/// Starts two limiters with an account whose quota has a burst of 40 units and refills far too
/// slowly for more, and a client of each.
fn limiter_pair(store: SocketAddr) -> Vec<(RunningLimiter, Client)> {
    let server = start_http_peer(|_, _, _| http_reply("200 OK", "{}")).to_string();
    let start = |me| {
        let mut file: Value = serde_json::from_str(FILE).expect("the configuration file is JSON");
        file["listen"] = json!("127.0.0.1:0");
        file["limiters"] = json!({"me": me, "all": 2});
        file["ticket_nodes"] = (0..4)
            .map(|n| json!({"name": format!("node-{n}"), "address": server}))
            .collect();
        file["store"] = json!({"kind": "redis", "address": store.to_string()});
        file["plans"][2] = json!({"name": "utama", "rate": 0.001, "burst": 40});
        // Requests that the quota does not cover are rejected after a part of the latency
        // objective, so a short objective keeps the test short.
        let description = DESCRIPTION.replace("\"aim-ms\": 800", "\"aim-ms\": 200");
        let limiter = start_openapi_limiter(&file, &description);
        let client = Client::connect(&limiter);
        (limiter, client)
    };
    (0..2).map(start).collect()
}

/// Sends requests of one unit each to the limiters in turn and returns how many were served.
fn count_served(limiters: &mut [(RunningLimiter, Client)], requests: usize) -> usize {
    let text =
        "GET /v1/sailings/1/seats HTTP/1.1\r\nHost: x\r\nX-Agent-Account: agen-utama\r\n\r\n";
    let mut served = 0;
    for number in 0..requests {
        let client = &mut limiters[number % 2].1;
        client.send(text);
        let (status_line, ..) =
            read_http_message(&mut client.0, false).expect("the limiter answers");
        assert!(
            status_line.contains(" 200 ") || status_line.contains(" 429 "),
            "expected status 200 or 429, got {status_line:?}"
        );
        // Real clients pause between requests, too, and the limiters get the totals of the counter
        // meanwhile.
        std::thread::sleep(std::time::Duration::from_millis(3));
        served += usize::from(status_line.contains(" 200 "));
    }
    served
}

#[test]
fn two_limiters_keep_one_quota() {
    let (at, store) = redis(Behavior::Works);
    let served = count_served(&mut limiter_pair(at), 60);
    // Units are counted in the background: a few more may be spent before the other limiter learns
    // of them.
    assert!(
        (36..=50).contains(&served),
        "{served} units served of a quota of 40"
    );
    let first_commands: Vec<String> = store
        .first_commands
        .lock()
        .expect("the lock is not poisoned")
        .iter()
        .take(4)
        .map(|words| words.join(" "))
        .collect();
    let key = first_commands[1]
        .split(' ')
        .nth(1)
        .expect("the second command names a key")
        .to_owned();
    // Both limiters use the same key, and a second one if a new counting window began during the
    // test.
    let totals = store.totals.lock().expect("the lock is not poisoned");
    assert!(
        totals.contains_key(&key) && totals.len() <= 2,
        "expected {key} and at most one more key, got {totals:?}"
    );
    insta::assert_snapshot!(first_commands.join("\n").replace(&key, "NAME"));
}

#[test]
fn silent_or_broken_store_leaves_each_limiter_its_quota_share() {
    for behavior in [Behavior::Silent, Behavior::Discards] {
        let (at, store) = redis(behavior);
        // Each limiter serves half of the quota, as neither learns of the units of the other.
        let served = count_served(&mut limiter_pair(at), 60);
        assert!(
            (30..=40).contains(&served),
            "{served} units served of a quota of 40, store: {behavior:?}"
        );
        assert!(store.transactions.load(Ordering::SeqCst) > 0);
    }
    // Port 1 is below the range of ephemeral ports, so that no other process gets it during the
    // test.
    let unreachable = SocketAddr::from(([127, 0, 0, 1], 1));
    assert!(TcpStream::connect(unreachable).is_err());
    let served = count_served(&mut limiter_pair(unreachable), 60);
    assert!(
        (30..=40).contains(&served),
        "{served} units served of a quota of 40 without a store"
    );
}

#[test]
fn lost_counts_do_not_reopen_the_whole_quota() {
    let (at, _) = redis(Behavior::LosesKeys);
    let served = count_served(&mut limiter_pair(at), 90);
    // Each limiter keeps count of the units that it forwarded itself, so neither exceeds the quota
    // by more than the units of the other.
    assert!(
        (36..=80).contains(&served),
        "{served} units served of a quota of 40"
    );
}
