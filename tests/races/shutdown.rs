//! Signals and closed connections during requests.

use crate::peers::{
    asking, command, limiter, next, peer, quiet_list, quota_counter, resp_peer, serve, settings,
    Act, Client, Program,
};
use crate::support::{gated_server, request_ids, settings_with_long_deadlines, Gate};
use socket2::SockRef;
use std::io::Write;
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

#[test]
fn shutdown_with_resetting_watches_does_not_raise_the_poll_rate() {
    let (tell, asked) = channel();
    let tell = Mutex::new(tell);
    let list = peer(move |_, stream| {
        _ = tell.lock().expect("whole").send(());
        SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .expect("a socket");
    });
    let (server, seen) = resp_peer(|_, _| Act::Hang);
    let mut told = settings(list, quota_counter().0, &[("s-1", server)]);
    told["settings"]["safety"]["drainGrace"] = 1_000_000.into();
    let program = Program::start("list-resets", &told);
    let mut held = Client::ready_at(program.at);
    held.ask("pay", "held", 2000);
    next(&seen);
    program.signal("TERM");
    assert!(held.answer().starts_with('-'));
    program.ends();
    // A tenth of 20 ms passes between two at the least; at once after each other they were thousands.
    let many = asked.try_iter().count();
    assert!(many < 500, "{many} calls");
}

#[test]
fn shutdown_with_hanging_servers_answers_each_request_once() {
    let (server, seen) = resp_peer(|_, _| Act::Hang);
    let mut told = settings(
        quiet_list(),
        quota_counter().0,
        &[("s-1", server), ("s-2", server), ("s-3", server)],
    );
    // Shorter than the time in which connections still come.
    for class in told["settings"]["classes"].as_array_mut().expect("classes") {
        (class["slo"], class["deadline"]) = (200_000.into(), 400_000.into());
    }
    let program = Program::start("all-hang", &told);
    let ask = |class: &str| {
        let mut client = Client::ready_at(program.at);
        client.ask(class, class, 400);
        client
    };
    let mut clients: Vec<_> = ["look", "hold", "pay"]
        .iter()
        .map(|class| ask(class))
        .collect();
    next(&seen);
    program.signal("TERM");
    // On a kept connection, up to its end: each is answered, or the connection ends first.
    for client in &mut clients {
        let first = client.answer();
        assert!(first.starts_with('-'), "{first}");
        while let Some(more) = client.try_ask(&asking("look", "more", 400)) {
            assert!(more.starts_with('-'), "{more}");
        }
    }
    program.ends();
}

#[test]
fn request_sent_during_shutdown_is_answered_or_never_forwarded() {
    let (server, seen) = resp_peer(|_, words| {
        thread::sleep(Duration::from_millis(5));
        serve(&words[2])
    });
    let mut told = settings(
        quiet_list(),
        quota_counter().0,
        &[("s-1", server), ("s-2", server), ("s-3", server)],
    );
    (
        told["settings"]["tariffs"][0]["refill"],
        told["settings"]["tariffs"][0]["peakUnits"],
    ) = (1e6.into(), 1e6.into());
    let program = Program::start("send-on", &told);
    let at = program.at;
    // Each asks one after another on a kept connection, and on a new one once that ends, until nobody is there.
    let clients: Vec<_> = (0..6)
        .map(|own| {
            thread::spawn(move || {
                let (mut number, mut unanswered) = (0, Vec::new());
                while let Some(mut client) = Client::try_at(at) {
                    loop {
                        number += 1;
                        let id = format!("{own}-{number}");
                        match client.try_ask(&asking("pay", &id, 2000)) {
                            Some(answer) => {
                                assert!(
                                    answer == id || answer.starts_with('-'),
                                    "{answer} for {id}"
                                )
                            }
                            None => {
                                unanswered.push(id);
                                break;
                            }
                        }
                    }
                }
                unanswered
            })
        })
        .collect();
    (0..50).for_each(|_| drop(next(&seen)));
    program.signal("TERM");
    let unanswered: Vec<_> = clients
        .into_iter()
        .flat_map(|client| client.join().expect("no wrong answer"))
        .collect();
    program.ends();
    let sent = request_ids(&seen);
    let lost: Vec<_> = unanswered.iter().filter(|id| sent.contains(id)).collect();
    assert_eq!(
        lost,
        Vec::<&String>::new(),
        "{} ended unanswered",
        unanswered.len()
    );
}

#[test]
fn request_read_before_the_idle_close_is_answered() {
    let (server, _seen) = resp_peer(|_, words| serve(&words[2]));
    let limiter = limiter(&settings_with_long_deadlines(
        quiet_list(),
        &[("s-1", server)],
    ));
    let mut client = Client::ready(&limiter);
    client.ask("look", "first", 20_000);
    assert_eq!(client.answer(), "first");
    let stopped = thread::spawn(move || limiter.stop());
    // Idle connections are closed 0.45 s after the word; nothing is owed on this one then, but its reader, held back for
    // 0.36 s by nonsense, has the request in its hands.
    thread::sleep(Duration::from_millis(250));
    client.say(&(asking("dance", "bad", 500).repeat(8) + &asking("pay", "in-hand", 20_000)));
    let answers: Vec<_> = (0..9).map(|_| client.answer()).collect();
    assert_eq!(answers[8], "in-hand");
    stopped.join().expect("an end");
}

#[test]
fn request_accepted_after_the_core_ended_is_answered_and_its_connection_closed() {
    let (server, _seen) = resp_peer(|_, words| serve(&words[2]));
    let mut told = settings(quiet_list(), quota_counter().0, &[("s-1", server)]);
    // Shorter than the time in which connections still come: the core ends with it, 0.45 s after the word to stop.
    for class in told["settings"]["classes"].as_array_mut().expect("classes") {
        (class["slo"], class["deadline"]) = (50_000.into(), 50_000.into());
    }
    let limiter = limiter(&told);
    let mut client = Client::ready(&limiter);
    client.ask("look", "first", 50);
    assert!(!client.answer().is_empty());
    let stopped = thread::spawn(move || limiter.stop());
    thread::sleep(Duration::from_millis(300));
    // The reader has all of it in its hands, and comes to the request once it has rested after the nonsense, for 0.36 s.
    client.say(&(asking("dance", "bad", 500).repeat(8) + &asking("pay", "in-hand", 50)));
    stopped.join().expect("an end");
    let answers: Vec<_> = (0..10).map(|_| client.answer()).collect();
    assert_eq!(answers[8..], ["-ERR failed", ""]);
}

#[test]
fn connection_accepted_after_the_idle_close_has_its_first_request_served() {
    let (server, gate, seen) = gated_server("held");
    let limiter = limiter(&settings_with_long_deadlines(
        quiet_list(),
        &[("s-1", server), ("s-2", server)],
    ));
    let at = limiter.at;
    let (mut idle, mut held) = (Client::ready_at(at), Client::ready_at(at));
    held.ask("look", "held", 20_000);
    next(&seen);
    let stopped = thread::spawn(move || limiter.stop());
    assert_eq!(idle.line(), "", "closed as idle");
    let mut late = Client::connect_at(at);
    late.ask("pay", "late", 20_000);
    assert_eq!(late.answer(), "late");
    gate.open();
    assert_eq!(held.answer(), "held");
    stopped.join().expect("an end");
}

#[test]
fn simultaneous_sigterm_and_sighup_still_serve_accepted_requests() {
    let (server, gate, seen) = gated_server("held");
    let program = Program::start(
        "both-words",
        &settings_with_long_deadlines(quiet_list(), &[("s-1", server)]),
    );
    let mut held = Client::ready_at(program.at);
    held.ask("pay", "held", 20_000);
    next(&seen);
    program.signal("HUP");
    program.signal("TERM");
    program.signal("HUP");
    // Idle ones are closed: the word has been heard.
    assert_eq!(Client::ready_at(program.at).line(), "");
    gate.open();
    assert_eq!(held.answer(), "held");
    program.ends();
}

#[test]
fn shutdown_during_a_partial_answer_delivers_the_complete_answer() {
    let (half, gate) = (Gate::default(), Gate::default());
    let (told, held) = (half.clone(), gate.clone());
    let server = peer(move |_, mut stream| {
        let mut bytes = Vec::new();
        while let Some(words) = command(&mut stream, &mut bytes) {
            let Act::Say(text) = serve(&words[2]) else {
                unreachable!("it serves")
            };
            let (one, two) = text.split_at(text.len() / 2);
            stream.write_all(one.as_bytes()).expect("written");
            told.open();
            held.pass();
            stream.write_all(two.as_bytes()).expect("written");
        }
    });
    let limiter = limiter(&settings_with_long_deadlines(
        quiet_list(),
        &[("s-1", server)],
    ));
    let (mut idle, mut client) = (Client::ready(&limiter), Client::ready(&limiter));
    client.ask("pay", "pay-1", 20_000);
    half.pass();
    let stopped = thread::spawn(move || limiter.stop());
    assert_eq!(idle.line(), "", "closed as idle");
    gate.open();
    assert_eq!(
        (client.answer(), client.line()),
        ("pay-1".into(), String::new())
    );
    stopped.join().expect("an end");
}
