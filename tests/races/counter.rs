//! A call of the quota counter takes longer than usual.

use crate::peers::{answer, counted, http_peer};
use crate::support::Gate;
use mossrill::counter::http::HttpCounterProtocol;
use mossrill::counter::{Addition, CounterClient};
use slog::{o, Discard, Logger};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

#[test]
fn slow_counter_call_keeps_its_connection() {
    let (gate, (come, called)) = (Gate::default(), channel());
    let (own, come) = (gate.clone(), Mutex::new(come));
    let counter = http_peer(move |first, _, _| {
        _ = come.lock().expect("whole").send(());
        own.pass();
        answer("200 OK", &counted(first).1.to_string())
    });
    let (tell, told) = channel();
    let tell = Mutex::new(tell);
    let ends = Arc::new(move |call, outcome, total: f64| {
        _ = tell
            .lock()
            .expect("whole")
            .send((call, format!("{outcome:?}"), total));
    });
    let log = Logger::root(Discard, o!());
    let lines = CounterClient::start(
        counter,
        Duration::from_secs(20),
        HttpCounterProtocol,
        ends,
        &log,
    )
    .expect("lines");
    let add = |call| {
        lines.add(Addition {
            call_number: call,
            counter: 4,
            amount: call as f64,
            ttl: Duration::from_secs(4),
        })
    };
    add(1);
    called.recv().expect("a call");
    // Where calls are given up after 50 ms, so old a one holds up all behind it.
    thread::sleep(Duration::from_millis(400));
    add(2);
    gate.open();
    let ends: Vec<_> = (0..2).map(|_| told.recv().expect("an end")).collect();
    assert_eq!(ends, [(1, "Ok".into(), 1.0), (2, "Ok".into(), 2.0)]);
}
