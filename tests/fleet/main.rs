//! Fleets of processes, with the network between them in the test's hand: joins, crashes, splits, and what is asked of
//! the limiters meanwhile.

mod checker;
#[path = "../peers/mod.rs"]
mod peers;
mod relay;
mod rig;

use mossrill::membership::datagram::{Datagram, MessageKind};
use mossrill::membership::format::FORMAT;
use rig::{Plan, Rig};
use std::net::UdpSocket;
use std::thread;
use std::time::{Duration, Instant};

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

#[test]
fn half_of_thirty_limiters_restart_within_a_second_beside_a_warming_and_a_draining_server() {
    let mut rig = Rig::up(Plan::new("thirty", 30));
    rig.cold_and_drained();
    let load = rig.load(40);
    load.goes_on(300);
    let began = Instant::now();
    for who in (0..30).step_by(2) {
        rig.kill(who);
    }
    for who in (0..30).step_by(2) {
        rig.start(who);
    }
    println!("restarted in {:?}", began.elapsed());
    rig.settle();
    load.goes_on(300);
    load.end();
    rig.check(None);
}

#[test]
fn partition_of_seven_with_deaths_and_joins_on_both_sides_heals() {
    let mut rig = Rig::up(Plan::new("split", 7));
    rig.until("a lease for all", |rig| {
        (0..7).all(|who| rig.part(who) == 1.0)
    });
    let load = rig.load(10);
    load.goes_on(50);
    rig.cold_and_drained();
    rig.kill(6);
    rig.settle();
    rig.script(|script| script.side = vec![0, 0, 0, 0, 1, 1, 1]);
    rig.agree(&[0, 1, 2, 3]);
    rig.agree(&[4, 5]);
    // On the side with fewer one comes back and one dies; on the other one dies and comes back.
    rig.start(6);
    rig.agree(&[4, 5, 6]);
    rig.kill(5);
    rig.kill(0);
    rig.agree(&[1, 2, 3]);
    rig.agree(&[4, 6]);
    rig.start(0);
    rig.agree(&[0, 1, 2, 3]);
    load.goes_on(50);
    rig.script(|script| script.side = vec![0; 7]);
    rig.start(5);
    rig.settle();
    rig.until("a lease for all again", |rig| {
        (0..7).all(|who| rig.part(who) == 1.0)
    });
    load.goes_on(50);
    load.end();
    rig.check(None);
}

#[test]
fn quota_shares_of_a_partitioned_fleet_stay_within_the_quotas() {
    // The counter says nothing all the time: each limiter keeps to its part.
    let plan = Plan {
        rate: 40.0,
        burst: 400.0,
        ..Plan::new("parts", 5)
    };
    let rig = Rig::up(plan);
    rig.counts_answer
        .store(false, std::sync::atomic::Ordering::SeqCst);
    rig.until("a lease for all", |rig| {
        (0..5).all(|who| rig.part(who) == 1.0)
    });
    let load = rig.load(2);
    load.goes_on(100);
    let all = |rig: &Rig| (0..5).map(|who| rig.part(who)).sum::<f64>() / 5.0;
    rig.script(|script| script.side = vec![0, 0, 0, 1, 1]);
    let began = Instant::now();
    // Asked one after another, so a part that is just given up may be seen beside one that is just taken: not here, as a
    // whole lease lies between the two.
    while rig.part(0) < 1.2 || rig.part(4) > 0.5 {
        let all = all(&rig);
        assert!(all <= 1.0 + 1e-6, "{all} of the whole");
        assert!(
            began.elapsed() < Duration::from_secs(40),
            "nothing was shared out"
        );
        pause(50);
    }
    assert!(
        (rig.part(0) - (0.5 + 5.0 * 0.5 / 3.0)).abs() < 1e-2 && (rig.part(4) - 0.5).abs() < 1e-2
    );
    rig.script(|script| script.side = vec![0, 1, 2, 0, 1]);
    rig.until("without a majority", |rig| {
        (0..5).all(|who| (rig.part(who) - 0.5).abs() < 1e-2)
    });
    rig.script(|script| script.side = vec![0; 5]);
    rig.until("even parts again", |rig| {
        (0..5).all(|who| (rig.part(who) - 1.0).abs() < 1e-2)
    });
    load.end();
    // Each opens with its part, and fills by it: the whole, once, and units of one request at each limiter.
    rig.check(Some(rig.bounds(0.1)));
}

#[test]
fn one_way_partitions_and_a_limiter_whose_datagrams_are_lost_heal() {
    let rig = Rig::up(Plan::new("one-way", 5));
    let load = rig.load(6);
    rig.cold_and_drained();
    // Two that do not hear each other in one direction: others vouch for them.
    rig.script(|script| script.cut = vec![(0, 1), (3, 2)]);
    let refuted = rig.figure(1, "fleet.found_dead");
    pause(4_000);
    rig.settle();
    assert_eq!(
        rig.figure(1, "fleet.found_dead"),
        refuted,
        "found dead though others vouch"
    );
    rig.script(|script| script.cut = (0..5).map(|to| (2, to)).collect());
    rig.agree(&[0, 1, 3, 4]);
    assert_eq!(
        rig.states(2)
            .iter()
            .filter(|state| *state == "dead")
            .count(),
        0,
        "it hears them all"
    );
    rig.until("its lease over", |rig| rig.part(2) == 0.5);
    rig.script(|script| script.cut.clear());
    rig.settle();
    load.goes_on(30);
    load.end();
    rig.check(None);
}

#[test]
fn repeatedly_paused_process_rejoins() {
    let rig = Rig::up(Plan::new("stopped", 3));
    let load = rig.load(4);
    rig.cold_and_drained();
    for _ in 0..3 {
        rig.signal(1, "STOP");
        rig.agree_from(&[0, 2], &[0, 2]);
        pause(2_000);
        rig.signal(1, "CONT");
        rig.settle();
    }
    load.goes_on(30);
    load.end();
    // It lived all the time: what it had taken is answered.
    rig.check(None);
}

#[test]
fn membership_settles_after_lost_late_and_duplicated_datagrams() {
    let rig = Rig::up(Plan::new("lossy", 7));
    let load = rig.load(8);
    rig.cold_and_drained();
    rig.script(|script| (script.loss, script.twice, script.late) = (0.3, 0.2, 60));
    pause(60_000);
    rig.settle();
    rig.script(|script| (script.loss, script.twice, script.late) = (0.0, 0.0, 5));
    rig.settle();
    load.goes_on(30);
    load.end();
    rig.check(None);
}

#[test]
fn upgrade_in_a_partition_is_one_member_and_a_rolling_restart_with_a_crash_settles() {
    let mut rig = Rig::up(Plan::new("upgrade", 5));
    let load = rig.load(6);
    rig.cold_and_drained();
    rig.script(|script| script.side = vec![0, 0, 0, 1, 1]);
    rig.agree(&[0, 1, 2]);
    let newer = rig.another(1);
    newer.call_until("ready", "YES");
    let old = rig.limiters[1].replace(newer).expect("running");
    old.ends();
    rig.agree(&[0, 1, 2]);
    rig.agree(&[3, 4]);
    rig.script(|script| script.side = vec![0; 5]);
    rig.settle();
    load.goes_on(30);
    // All in turn, in order but for one.
    for who in 0..5 {
        match who {
            3 => rig.kill(who),
            _ => rig.leave(who),
        }
        let rest = rig.running();
        rig.agree(&rest);
        if who != 3 {
            assert!(
                rest.iter().all(|other| rig.states(*other)[who] == "left"),
                "{who} was found out"
            );
        }
        rig.start(who);
        rig.settle();
    }
    load.goes_on(30);
    load.end();
    rig.check(None);
}

#[test]
fn clients_of_the_rig_reconnect_to_the_new_address_only() {
    let mut rig = Rig::up(Plan::new("address", 3));
    let load = rig.load(3);
    load.goes_on(20);
    let left = rig.limiters[0].as_ref().expect("running").at;
    rig.leave(0);
    // The port goes to another listener, which takes connections and says nothing.
    let silent = std::net::TcpListener::bind(left).expect("the port");
    rig.start(0);
    rig.settle();
    let served = || rig.figure(0, "requests.look.served") + rig.figure(0, "requests.pay.served");
    rig.until("served where it is", |_| served() > 20);
    load.end();
    silent.set_nonblocking(true).expect("a listener");
    assert!(silent.accept().is_err(), "asked where it was");
    rig.check(None);
}

#[test]
fn limiter_started_with_dead_seeds_serves_and_joins_later() {
    let mut rig = Rig::new(Plan {
        seeds: 2,
        ..Plan::new("seeds", 4)
    });
    rig.start(2);
    rig.start(3);
    rig.until("speak", |rig| rig.states(3).len() == 4);
    let load = rig.load(4);
    load.goes_on(20);
    assert_eq!(
        rig.states(2)
            .iter()
            .filter(|state| *state == "unknown")
            .count(),
        3
    );
    // One seed is enough for all to find each other.
    rig.start(1);
    rig.settle();
    rig.start(0);
    rig.settle();
    load.goes_on(20);
    load.end();
    rig.check(None);
}

#[test]
fn relay_drops_datagrams_of_another_fleet() {
    let (small, large) = (relay::Relay::new(5, 1), relay::Relay::new(30, 2));
    let key = relay::key();
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let send = |fleet: &str, from: u32| {
        let datagram = Datagram {
            format: FORMAT,
            fleet: fleet.into(),
            sender: from,
            session: 1,
            ip: u32::from(std::net::Ipv4Addr::LOCALHOST),
            port: 9,
            message: Some(MessageKind::Ping(true)),
            ..Datagram::default()
        };
        socket
            .send_to(&key.seal(&datagram), small.address(0))
            .expect("sent");
    };
    // The first one's number is above all that the relay knows.
    send(large.fleet(), 25);
    send(small.fleet(), 1);
    let began = Instant::now();
    while small.real(1).is_none() {
        assert!(
            began.elapsed() < Duration::from_secs(20),
            "the relay reads no further"
        );
        pause(5);
    }
}

#[test]
fn malformed_datagrams_and_a_flood_of_them_change_nothing() {
    let rig = Rig::up(Plan::new("flood", 3));
    let load = rig.load(4);
    load.goes_on(20);
    rig.until("a few datagrams", |rig| rig.relay.kept(0).len() > 50);
    let at = rig.relay.real(0).expect("spoken");
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let kept = rig.relay.kept(0);
    let before = (
        rig.states(0),
        rig.figure(0, "fleet.found_dead"),
        rig.word(0, "living"),
    );
    let began = Instant::now();
    let mut sent = 0u64;
    // Noise, half of a datagram, too long a one, one with a foreign tag, and what was heard before.
    while began.elapsed() < Duration::from_secs(3) {
        let old = &kept[sent as usize % kept.len()];
        let bytes = match sent % 5 {
            0 => vec![0x5a; 100],
            1 => old[..old.len() / 2].to_vec(),
            2 => vec![1; 400],
            3 => old
                .iter()
                .enumerate()
                .map(|(n, byte)| if n == 3 { byte ^ 1 } else { *byte })
                .collect(),
            _ => old.clone(),
        };
        _ = socket.send_to(&bytes, at);
        sent += 1;
        if sent % 100 == 0 {
            pause(8);
        }
    }
    load.goes_on(50);
    rig.settle();
    assert_eq!(
        (
            rig.states(0),
            rig.figure(0, "fleet.found_dead"),
            rig.word(0, "living")
        ),
        before
    );
    for fault in ["size", "foreign", "stale"] {
        assert!(
            rig.figure(0, &format!("fleet.dropped.{fault}")) > 100,
            "{fault}"
        );
    }
    let log = rig.limiters[0].as_ref().expect("running").log();
    let lines = log
        .iter()
        .filter(|line| line.contains("datagram dropped"))
        .count();
    assert!(
        (1..10).contains(&lines),
        "{lines} lines for {sent} datagrams"
    );
    load.end();
    rig.check(None);
}

#[test]
fn show_fleet_lists_states_and_who_reported_them() {
    let mut rig = Rig::up(Plan::new("seen", 3));
    rig.kill(2);
    rig.settle();
    let text = rig.call(0, "show-fleet");
    let lines: Vec<_> = text.lines().collect();
    assert_eq!(lines.len(), 5, "{text}");
    assert!(
        lines[2].starts_with("limiter=2 state=dead since_ms=")
            && lines[2].contains(" version=0.1.0 ")
    );
    let own = format!("fleet={} me=0 living=2 of=3 age_ms=", rig.relay.fleet());
    assert!(lines[3].starts_with(&own) && lines[4] == "END", "{text}");
    let log = rig.limiters[0].as_ref().expect("running").log();
    let death = log
        .iter()
        .find(|line| line.contains("member state changed") && line.contains("state: dead"));
    assert!(
        death.is_some_and(|line| line.contains("limiter: 2") && line.contains("by: ")),
        "{log:?}"
    );
    assert_eq!(rig.figure(0, "fleet.dead"), 1);
    // Without a fleet nothing of this is there.
    let plain = Rig::up_alone(Plan {
        fleet: false,
        ..Plan::new("plain", 1)
    });
    assert!(plain.call(0, "show-fleet").starts_with("NO "));
    assert!(!plain.call(0, "show-stat").contains("fleet."));
}

#[test]
fn fleet_configuration_errors_name_the_key() {
    let file: serde_json::Value =
        serde_json::from_str(include_str!("../../deploy/fleet.json")).expect("JSON");
    let description = include_str!("../../deploy/ferry.openapi.json");
    let read = |file: &serde_json::Value| {
        mossrill::config::openapi(&file.to_string(), |_| Ok(description.to_owned()))
            .err()
            .map(|fault| fault.to_string())
    };
    // The operators' file itself is good, and without the part nothing is known of a fleet.
    assert_eq!(read(&file), None);
    let mut plain = file.clone();
    plain["fleet"] = serde_json::Value::Null;
    assert_eq!(read(&plain), None);
    type Change = fn(&mut serde_json::Value);
    let changes: [Change; 12] = [
        |f| f["seed"] = 1.into(),
        |f| f["seeds"][1]["limiter"] = 0.into(),
        |f| f["seeds"][1]["address"] = f["seeds"][0]["address"].clone(),
        |f| f["seeds"][1]["limiter"] = 3.into(),
        |f| _ = f["seeds"].as_array_mut().map(|seeds| seeds.remove(0)),
        |f| f["address"] = "127.0.0.1:9".into(),
        |f| f["listen"] = "[::1]:7946".into(),
        |f| f["listen"] = "0.0.0.0:7946".into(),
        |f| f["key"] = "0011".into(),
        |f| f["name"] = "a name that is far too long".into(),
        |f| f["kept"] = 1.5.into(),
        |f| f["period_ms"] = 1.into(),
    ];
    let faults = changes.map(|change| {
        let mut changed = file.clone();
        change(&mut changed["fleet"]);
        read(&changed).expect("a fault")
    });
    insta::assert_snapshot!(faults.join("\n"));
    // Where the platform lets limiters not talk, a fleet is no mere word without effect.
    let nobody = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    let mut told = peers::settings(nobody, nobody, &[]);
    told["fleet"] = file["fleet"].clone();
    let fault = mossrill::config::platform(&told.to_string(), |_| None)
        .err()
        .expect("a fault")
        .to_string();
    assert!(fault.contains("\"fleet\""), "{fault}");
}

/// A measurement, not a test: `cargo test --release --test fleet -- --ignored --nocapture used`.
#[test]
#[ignore = "a measurement"]
fn cpu_time_per_request_and_memory_with_and_without_a_fleet() {
    for round in 0..3 {
        for (name, fleet) in [("used-on", true), ("used-off", false)] {
            let rig = Rig::up_alone(Plan {
                fleet,
                ..Plan::new(name, 3)
            });
            pause(3_000);
            let before: u64 = (0..3)
                .map(|who| rig.limiters[who].as_ref().expect("running").used().0)
                .sum();
            let load = rig.load(20);
            pause(15_000);
            let asked = load.end();
            let used = (0..3).map(|who| rig.limiters[who].as_ref().expect("running").used());
            let (ticks, memory) = used.fold((0, 0), |all, one| (all.0 + one.0, all.1 + one.1 / 3));
            let each = (ticks - before) as f64 * 1e4 / asked as f64;
            println!(
                "round {round} {name}: {asked} requests, {each:.1} us of processor time each, {memory} kB"
            );
        }
    }
}
