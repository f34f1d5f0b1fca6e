//! Tests of the Redis store: two limiters with an OpenAPI front share one stand-in of a Redis server.

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

/// What the stand-in does with a transaction.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mood {
    Works,
    /// Says nothing.
    Silent,
    /// Discards what was queued.
    Discards,
    /// Has lost every name.
    Forgets,
}

#[derive(Default)]
struct Store {
    totals: Mutex<HashMap<String, f64>>,
    transactions: AtomicUsize,
    first: Mutex<Vec<Vec<String>>>,
}

/// A stand-in for a Redis server: `MULTI`, `SET … NX`, `INCRBYFLOAT` and `EXEC` as the public documents have them.
fn redis(mood: Mood) -> (SocketAddr, Arc<Store>) {
    let store = Arc::new(Store::default());
    let own = store.clone();
    let at = peer(move |_, mut stream| {
        let (mut bytes, mut queued) = (Vec::new(), Vec::new());
        while let Some(words) = command(&mut stream, &mut bytes) {
            if own.transactions.load(Ordering::SeqCst) == 0 {
                own.first.lock().expect("whole").push(words.clone());
            }
            let told = match &*words[0] {
                "MULTI" => "+OK\r\n".into(),
                "EXEC" => execute(&own, mood, std::mem::take(&mut queued)),
                _ => {
                    queued.push(words);
                    "+QUEUED\r\n".into()
                }
            };
            if mood != Mood::Silent && stream.write_all(told.as_bytes()).is_err() {
                return;
            }
        }
    });
    (at, store)
}

fn execute(store: &Store, mood: Mood, queued: Vec<Vec<String>>) -> String {
    store.transactions.fetch_add(1, Ordering::SeqCst);
    if mood == Mood::Discards {
        return "-EXECABORT Transaction discarded because of previous errors.\r\n".into();
    }
    let mut totals = store.totals.lock().expect("whole");
    if mood == Mood::Forgets {
        totals.clear();
    }
    let mut text = format!("*{}\r\n", queued.len());
    for words in queued {
        let known = totals.contains_key(&words[1]);
        let total = totals.entry(words[1].clone()).or_default();
        if words[0] == "SET" {
            text += if known { "$-1\r\n" } else { "+OK\r\n" };
            continue;
        }
        *total += words[2].parse::<f64>().expect("an amount");
        text += &format!("${}\r\n{total}\r\n", total.to_string().len());
    }
    text
}

/// Two limiters of one account whose quota lets 40 units through and fills far too slowly for more.
fn pair(store: SocketAddr) -> Vec<(Running, Client)> {
    let node = http_peer(|_, _, _| answer("200 OK", "{}")).to_string();
    let start = |me| {
        let mut file: Value = serde_json::from_str(FILE).expect("JSON");
        file["listen"] = json!("127.0.0.1:0");
        file["limiters"] = json!({"me": me, "all": 2});
        file["ticket_nodes"] = (0..4)
            .map(|n| json!({"name": format!("node-{n}"), "address": node}))
            .collect();
        file["store"] = json!({"kind": "redis", "address": store.to_string()});
        file["plans"][2] = json!({"name": "utama", "rate": 0.001, "burst": 40});
        // What the quota can't reach is refused after a part of the aim: a short one keeps the test short.
        let short = DESCRIPTION.replace("\"aim-ms\": 800", "\"aim-ms\": 200");
        let limiter = openapi_limiter(&file, &short);
        let agent = Client::connect(&limiter);
        (limiter, agent)
    };
    (0..2).map(start).collect()
}

/// Asks one limiter after the other for a seat, of one unit; how many were served.
fn served(limiters: &mut [(Running, Client)], tries: usize) -> usize {
    let text =
        "GET /v1/sailings/1/seats HTTP/1.1\r\nHost: x\r\nX-Agent-Account: agen-utama\r\n\r\n";
    let mut served = 0;
    for number in 0..tries {
        let agent = &mut limiters[number % 2].1;
        agent.say(text);
        let (first, ..) = http(&mut agent.0, false).expect("an answer");
        assert!(
            first.contains(" 200 ") || first.contains(" 429 "),
            "{first}"
        );
        // As clients do, and so that the counts are heard of between two requests.
        std::thread::sleep(std::time::Duration::from_millis(3));
        served += usize::from(first.contains(" 200 "));
    }
    served
}

#[test]
fn two_limiters_keep_one_quota() {
    let (at, store) = redis(Mood::Works);
    let served = served(&mut pair(at), 60);
    // A count is told of in passing: a few units may go on before the other limiter hears of them.
    assert!((36..=50).contains(&served), "{served} of 40 units");
    let first: Vec<String> = store
        .first
        .lock()
        .expect("whole")
        .iter()
        .take(4)
        .map(|w| w.join(" "))
        .collect();
    let name = first[1].split(' ').nth(1).expect("a key").to_owned();
    // One name for both limiters, and another if the window turned over meanwhile.
    let totals = store.totals.lock().expect("whole");
    assert!(
        totals.contains_key(&name) && totals.len() <= 2,
        "{totals:?}"
    );
    insta::assert_snapshot!(first.join("\n").replace(&name, "NAME"));
}

#[test]
fn a_store_that_is_silent_or_broken_leaves_each_limiter_its_part_of_the_quota() {
    for mood in [Mood::Silent, Mood::Discards] {
        let (at, store) = redis(mood);
        // Half of the quota each, as neither hears of the other.
        let served = served(&mut pair(at), 60);
        assert!(
            (30..=40).contains(&served),
            "{served} of 40 units with a store that is {mood:?}"
        );
        assert!(store.transactions.load(Ordering::SeqCst) > 0);
    }
    // Under the ports that are given out: nobody takes it meanwhile.
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    assert!(TcpStream::connect(nowhere).is_err());
    let served = served(&mut pair(nowhere), 60);
    assert!(
        (30..=40).contains(&served),
        "{served} of 40 units without a store"
    );
}

#[test]
fn lost_counts_give_nobody_the_whole_quota_again() {
    let (at, _) = redis(Mood::Forgets);
    let served = served(&mut pair(at), 90);
    // Each knows what it has sent on itself, so neither goes beyond the quota by more than the other's part.
    assert!((36..=80).contains(&served), "{served} of 40 units");
}
