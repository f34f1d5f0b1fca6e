//! A call of the quota counter takes longer than usual: its connection stays in use.

use crate::peers::{http_reply, parse_counter_call, start_http_peer};
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
    let (gate, (call_sender, calls)) = (Gate::default(), channel());
    let (counter_gate, call_sender) = (gate.clone(), Mutex::new(call_sender));
    let counter = start_http_peer(move |request_line, _, _| {
        _ = call_sender.lock().expect("lock is not poisoned").send(());
        counter_gate.wait();
        http_reply("200 OK", &parse_counter_call(request_line).1.to_string())
    });
    let (reply_sender, replies) = channel();
    let reply_sender = Mutex::new(reply_sender);
    let on_reply = Arc::new(move |call, outcome, total: f64| {
        _ = reply_sender.lock().expect("lock is not poisoned").send((
            call,
            format!("{outcome:?}"),
            total,
        ));
    });
    let log = Logger::root(Discard, o!());
    let client = CounterClient::start(
        counter,
        Duration::from_secs(20),
        HttpCounterProtocol,
        on_reply,
        &log,
    )
    .expect("counter client starts");
    let send_addition = |call| {
        client.add(Addition {
            call_number: call,
            counter: 4,
            amount: call as f64,
            ttl: Duration::from_secs(4),
        })
    };
    send_addition(1);
    calls.recv().expect("the counter receives a call");
    // With a call timeout of 50 ms, a call that is unanswered for this long blocks the replies
    // behind it, and the connection is replaced. Here the call timeout is 20 s.
    thread::sleep(Duration::from_millis(400));
    send_addition(2);
    gate.open();
    let outcomes: Vec<_> = (0..2)
        .map(|_| replies.recv().expect("the call is completed"))
        .collect();
    assert_eq!(outcomes, [(1, "Ok".into(), 1.0), (2, "Ok".into(), 2.0)]);
}
