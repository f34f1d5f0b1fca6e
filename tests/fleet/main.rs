//! Fleets of limiter processes under load, on a network controlled by the test: joins, crashes,
//! pauses, upgrades, partitions and lost datagrams.

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

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

#[test]
fn fleet_of_thirty_settles_after_half_of_it_restarts_at_once() {
    let mut rig = Rig::start_and_settle(Plan::new("thirty", 30));
    rig.drain_and_cold_start();
    let load = rig.load(40);
    load.wait_for_requests(300);
    let began = Instant::now();
    for limiter in (0..30).step_by(2) {
        rig.kill(limiter);
    }
    for limiter in (0..30).step_by(2) {
        rig.start(limiter);
    }
    println!("half of the fleet restarted in {:?}", began.elapsed());
    rig.settle();
    load.wait_for_requests(300);
    load.stop();
    rig.check(None);
}

#[test]
fn partition_of_seven_with_deaths_and_joins_on_both_sides_heals() {
    let mut rig = Rig::start_and_settle(Plan::new("split", 7));
    rig.wait_until("all limiters hold a lease", |rig| {
        (0..7).all(|limiter| rig.quota_share(limiter) == 1.0)
    });
    let load = rig.load(10);
    load.wait_for_requests(50);
    rig.drain_and_cold_start();
    rig.kill(6);
    rig.settle();
    rig.change_faults(|faults| faults.partition = vec![0, 0, 0, 0, 1, 1, 1]);
    rig.wait_for_agreement(&[0, 1, 2, 3]);
    rig.wait_for_agreement(&[4, 5]);
    // In the minority, limiter 6 comes back and limiter 5 dies. In the majority, limiter 0 dies and
    // comes back.
    rig.start(6);
    rig.wait_for_agreement(&[4, 5, 6]);
    rig.kill(5);
    rig.kill(0);
    rig.wait_for_agreement(&[1, 2, 3]);
    rig.wait_for_agreement(&[4, 6]);
    rig.start(0);
    rig.wait_for_agreement(&[0, 1, 2, 3]);
    load.wait_for_requests(50);
    rig.change_faults(|faults| faults.partition = vec![0; 7]);
    rig.start(5);
    rig.settle();
    rig.wait_until("all limiters hold a lease again", |rig| {
        (0..7).all(|limiter| rig.quota_share(limiter) == 1.0)
    });
    load.wait_for_requests(50);
    load.stop();
    rig.check(None);
}

#[test]
fn quota_shares_of_a_partitioned_fleet_stay_within_the_quotas() {
    // The counter never answers, so each limiter limits the accounts to its own quota share.
    let plan = Plan {
        rate: 40.0,
        burst: 400.0,
        ..Plan::new("shares", 5)
    };
    let rig = Rig::start_and_settle(plan);
    rig.counter_answers
        .store(false, std::sync::atomic::Ordering::SeqCst);
    rig.wait_until("all limiters hold a lease", |rig| {
        (0..5).all(|limiter| rig.quota_share(limiter) == 1.0)
    });
    let load = rig.load(2);
    load.wait_for_requests(100);
    let total_share = |rig: &Rig| (0..5).map(|limiter| rig.quota_share(limiter)).sum::<f64>() / 5.0;
    rig.change_faults(|faults| faults.partition = vec![0, 0, 0, 1, 1]);
    let began = Instant::now();
    // The limiters are queried one after another, so the total could count both a share that one has
    // just given up and a share that another one has just gained. It does not, as a whole lease lies
    // between the two.
    while rig.quota_share(0) < 1.2 || rig.quota_share(4) > 0.5 {
        let total = total_share(&rig);
        assert!(
            total <= 1.0 + 1e-6,
            "the shares of all limiters are {total} of the quota, expected at most 1"
        );
        assert!(
            began.elapsed() < Duration::from_secs(40),
            "the majority did not take over the leased shares of the minority within 40 s"
        );
        sleep_ms(50);
    }
    assert!(
        (rig.quota_share(0) - (0.5 + 5.0 * 0.5 / 3.0)).abs() < 1e-2
            && (rig.quota_share(4) - 0.5).abs() < 1e-2
    );
    rig.change_faults(|faults| faults.partition = vec![0, 1, 2, 0, 1]);
    rig.wait_until(
        "all limiters are without a lease, as no partition has a majority",
        |rig| (0..5).all(|limiter| (rig.quota_share(limiter) - 0.5).abs() < 1e-2),
    );
    rig.change_faults(|faults| faults.partition = vec![0; 5]);
    rig.wait_until("all limiters have even shares again", |rig| {
        (0..5).all(|limiter| (rig.quota_share(limiter) - 1.0).abs() < 1e-2)
    });
    load.stop();
    // Each limiter starts with its share of the burst and refills at its share of the rate. Together
    // that is the quota once; the slack covers the units of one request at each limiter.
    rig.check(Some(rig.quota_bounds(0.1)));
}

#[test]
fn one_way_partitions_and_a_limiter_whose_datagrams_are_lost_heal() {
    let rig = Rig::start_and_settle(Plan::new("one-way", 5));
    let load = rig.load(6);
    rig.drain_and_cold_start();
    // Two links are cut in one direction each. Indirect probes by other members must show that the
    // members at both ends are alive.
    rig.change_faults(|faults| faults.cut_links = vec![(0, 1), (3, 2)]);
    let declared_dead = rig.metric(1, "fleet.found_dead");
    sleep_ms(4_000);
    rig.settle();
    assert_eq!(
        rig.metric(1, "fleet.found_dead"),
        declared_dead,
        "limiter 1 declared a member dead that other members can reach"
    );
    rig.change_faults(|faults| faults.cut_links = (0..5).map(|to| (2, to)).collect());
    rig.wait_for_agreement(&[0, 1, 3, 4]);
    assert_eq!(
        rig.member_states(2)
            .iter()
            .filter(|state| *state == "dead")
            .count(),
        0,
        "limiter 2 receives the datagrams of all members, so it must not declare one dead"
    );
    rig.wait_until("the lease of limiter 2 has ended", |rig| {
        rig.quota_share(2) == 0.5
    });
    rig.change_faults(|faults| faults.cut_links.clear());
    rig.settle();
    load.wait_for_requests(30);
    load.stop();
    rig.check(None);
}

#[test]
fn repeatedly_paused_process_rejoins() {
    let rig = Rig::start_and_settle(Plan::new("paused", 3));
    let load = rig.load(4);
    rig.drain_and_cold_start();
    for _ in 0..3 {
        rig.signal(1, "STOP");
        rig.wait_for_views(&[0, 2], &[0, 2]);
        sleep_ms(2_000);
        rig.signal(1, "CONT");
        rig.settle();
    }
    load.wait_for_requests(30);
    load.stop();
    // The process was paused and never stopped, so it must answer each request that it accepted.
    rig.check(None);
}

#[test]
fn membership_settles_after_lost_late_and_duplicated_datagrams() {
    let rig = Rig::start_and_settle(Plan::new("lossy", 7));
    let load = rig.load(8);
    rig.drain_and_cold_start();
    rig.change_faults(|faults| {
        (faults.loss, faults.duplication, faults.max_delay_ms) = (0.3, 0.2, 60)
    });
    sleep_ms(60_000);
    rig.settle();
    rig.change_faults(|faults| {
        (faults.loss, faults.duplication, faults.max_delay_ms) = (0.0, 0.0, 5)
    });
    rig.settle();
    load.wait_for_requests(30);
    load.stop();
    rig.check(None);
}

#[test]
fn upgraded_limiter_in_a_partition_stays_one_member_and_rolling_restart_settles() {
    let mut rig = Rig::start_and_settle(Plan::new("upgrade", 5));
    let load = rig.load(6);
    rig.drain_and_cold_start();
    rig.change_faults(|faults| faults.partition = vec![0, 0, 0, 1, 1]);
    rig.wait_for_agreement(&[0, 1, 2]);
    let successor = rig.spawn_process(1);
    successor.call_until("ready", "YES");
    let predecessor = rig.limiters[1]
        .replace(successor)
        .expect("the limiter runs");
    predecessor.terminate();
    rig.wait_for_agreement(&[0, 1, 2]);
    rig.wait_for_agreement(&[3, 4]);
    rig.change_faults(|faults| faults.partition = vec![0; 5]);
    rig.settle();
    load.wait_for_requests(30);
    // A rolling restart. Each limiter is shut down gracefully, apart from limiter 3, which is killed.
    for limiter in 0..5 {
        match limiter {
            3 => rig.kill(limiter),
            _ => rig.leave(limiter),
        }
        let rest = rig.running();
        rig.wait_for_agreement(&rest);
        if limiter != 3 {
            assert!(
                rest.iter()
                    .all(|other| rig.member_states(*other)[limiter] == "left"),
                "limiter {limiter} was shut down, and not all others have it as left"
            );
        }
        rig.start(limiter);
        rig.settle();
    }
    load.wait_for_requests(30);
    load.stop();
    rig.check(None);
}

#[test]
fn clients_of_the_rig_reconnect_to_the_new_address_only() {
    let mut rig = Rig::start_and_settle(Plan::new("address", 3));
    let load = rig.load(3);
    load.wait_for_requests(20);
    let old_address = rig.limiters[0]
        .as_ref()
        .expect("the limiter runs")
        .client_address;
    rig.leave(0);
    // Another listener gets the old port. It accepts connections and never answers.
    let silent = std::net::TcpListener::bind(old_address).expect("bind the old address");
    rig.start(0);
    rig.settle();
    let served = || rig.metric(0, "requests.look.served") + rig.metric(0, "requests.pay.served");
    rig.wait_until(
        "limiter 0 has served more than 20 requests at its new address",
        |_| served() > 20,
    );
    load.stop();
    silent
        .set_nonblocking(true)
        .expect("make the listener non-blocking");
    assert!(
        silent.accept().is_err(),
        "a client connected to the old address"
    );
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
    rig.wait_until("limiter 3 lists all members", |rig| {
        rig.member_states(3).len() == 4
    });
    let load = rig.load(4);
    load.wait_for_requests(20);
    assert_eq!(
        rig.member_states(2)
            .iter()
            .filter(|state| *state == "unknown")
            .count(),
        3
    );
    // One running seed is enough for all limiters to find each other.
    rig.start(1);
    rig.settle();
    rig.start(0);
    rig.settle();
    load.wait_for_requests(20);
    load.stop();
    rig.check(None);
}

#[test]
fn relay_drops_datagrams_of_another_fleet() {
    let (small, large) = (relay::Relay::new(5, 1), relay::Relay::new(30, 2));
    let key = relay::key();
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bind a UDP socket");
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
            .expect("send a datagram");
    };
    // The number of the first sender is above all numbers of the small fleet. The relay's receiving
    // thread would panic if it did not drop this datagram.
    send(large.fleet(), 25);
    send(small.fleet(), 1);
    let began = Instant::now();
    while small.limiter_address(1).is_none() {
        assert!(
            began.elapsed() < Duration::from_secs(20),
            "the relay received no datagram of its own fleet within 20 s"
        );
        sleep_ms(5);
    }
}

#[test]
fn flood_of_malformed_and_replayed_datagrams_changes_no_member_state() {
    let rig = Rig::start_and_settle(Plan::new("flood", 3));
    let load = rig.load(4);
    load.wait_for_requests(20);
    rig.wait_until("the relay has captured datagrams for replays", |rig| {
        rig.relay.captured(0).len() > 50
    });
    let at = rig
        .relay
        .limiter_address(0)
        .expect("limiter 0 has sent a datagram");
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bind a UDP socket");
    let captured = rig.relay.captured(0);
    let before = (
        rig.member_states(0),
        rig.metric(0, "fleet.found_dead"),
        rig.view_field(0, "living"),
    );
    let began = Instant::now();
    let mut sent = 0u64;
    // In turn: noise, a truncated datagram, one that is too long, one whose authentication tag is
    // wrong, and a replay.
    while began.elapsed() < Duration::from_secs(3) {
        let replayed = &captured[sent as usize % captured.len()];
        let bytes = match sent % 5 {
            0 => vec![0x5a; 100],
            1 => replayed[..replayed.len() / 2].to_vec(),
            2 => vec![1; 400],
            3 => replayed
                .iter()
                .enumerate()
                .map(|(n, byte)| if n == 3 { byte ^ 1 } else { *byte })
                .collect(),
            _ => replayed.clone(),
        };
        _ = socket.send_to(&bytes, at);
        sent += 1;
        if sent % 100 == 0 {
            sleep_ms(8);
        }
    }
    load.wait_for_requests(50);
    rig.settle();
    assert_eq!(
        (
            rig.member_states(0),
            rig.metric(0, "fleet.found_dead"),
            rig.view_field(0, "living")
        ),
        before
    );
    for reason in ["size", "foreign", "stale"] {
        assert!(
            rig.metric(0, &format!("fleet.dropped.{reason}")) > 100,
            "expected more than 100 datagrams dropped as {reason}"
        );
    }
    let log = rig.limiters[0]
        .as_ref()
        .expect("the limiter runs")
        .unread_log();
    let lines = log
        .iter()
        .filter(|line| line.contains("datagram dropped"))
        .count();
    assert!(
        (1..10).contains(&lines),
        "expected 1 to 9 log lines about dropped datagrams, got {lines} for {sent} datagrams"
    );
    load.stop();
    rig.check(None);
}

#[test]
fn show_fleet_lists_states_and_who_reported_them() {
    let mut rig = Rig::start_and_settle(Plan::new("seen", 3));
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
    let log = rig.limiters[0]
        .as_ref()
        .expect("the limiter runs")
        .unread_log();
    let death = log
        .iter()
        .find(|line| line.contains("member state changed") && line.contains("state: dead"));
    assert!(
        death.is_some_and(|line| line.contains("limiter: 2") && line.contains("by: ")),
        "{log:?}"
    );
    assert_eq!(rig.metric(0, "fleet.dead"), 1);
    // Without a fleet, the limiter has neither the call nor the metrics.
    let plain = Rig::start_until_ready(Plan {
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
    // The example configuration is valid, with and without its `fleet` object.
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
        read(&changed).expect("an error for the changed configuration")
    });
    insta::assert_snapshot!(faults.join("\n"));
    // If the platform does not let limiters send to each other, a configured fleet is an error and
    // is not ignored.
    let unused = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    let mut settings = peers::settings(unused, unused, &[]);
    settings["fleet"] = file["fleet"].clone();
    let fault = mossrill::config::platform(&settings.to_string(), |_| None)
        .err()
        .expect("an error for the configured fleet")
        .to_string();
    assert!(fault.contains("\"fleet\""), "{fault}");
}

/// A measurement, not a test. Run it with
/// `cargo test --release --test fleet -- --ignored --nocapture cpu_time_per_request`.
#[test]
#[ignore = "a measurement"]
fn cpu_time_per_request_and_memory_with_and_without_a_fleet() {
    for round in 0..3 {
        for (name, fleet) in [("with-fleet", true), ("without-fleet", false)] {
            let rig = Rig::start_until_ready(Plan {
                fleet,
                ..Plan::new(name, 3)
            });
            sleep_ms(3_000);
            let ticks_before: u64 = (0..3)
                .map(|limiter| {
                    rig.limiters[limiter]
                        .as_ref()
                        .expect("the limiter runs")
                        .cpu_ticks_and_memory_kb()
                        .0
                })
                .sum();
            let load = rig.load(20);
            sleep_ms(15_000);
            let requests = load.stop();
            let used = (0..3).map(|limiter| {
                rig.limiters[limiter]
                    .as_ref()
                    .expect("the limiter runs")
                    .cpu_ticks_and_memory_kb()
            });
            let (ticks, memory_kb) =
                used.fold((0, 0), |all, one| (all.0 + one.0, all.1 + one.1 / 3));
            let cpu_us = (ticks - ticks_before) as f64 * 1e4 / requests as f64;
            println!(
                "round {round} {name}: {requests} requests, {cpu_us:.1} us of CPU time each, {memory_kb} kB per limiter"
            );
        }
    }
}
