//! Scenario files: the committed ones are good, and what can't be played is refused with file and key.

use mossrill_lab::scenario::{load, load_with, parse, ScenarioError};
use std::path::Path;

const GOOD: &str = r#"
name = "good"
duration_s = 5
seeds = [1]
[sizes]
limiters = 8
servers = 20
services = 2
zones = 4
regions = 2
tenants = 10
routes = 1
[traffic]
requests_per_s = 10.0
tenant_skew = 1.0
spread = 2
mean_units = 1.0
scale = 1.0
[hollow]
counter = false
[[events]]
at_s = 1.0
event = { zone-lost = { zone = 1 } }
"#;

/// What is said of the good scenario with one line put in place of another.
fn fault_of(line: &str, changed: &str) -> String {
    assert!(GOOD.contains(line), "{line}");
    let text = GOOD.replace(line, changed);
    match parse("bad.toml", &text) {
        Ok(_) => panic!("taken: {changed}"),
        Err(fault) => fault.to_string(),
    }
}

#[test]
fn the_committed_scenarios_are_good() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let mut files = 0;
    for entry in std::fs::read_dir(folder)
        .expect("folder of scenarios")
        .flatten()
    {
        load(&entry.path()).unwrap_or_else(|fault| panic!("{fault}"));
        files += 1;
    }
    assert!(files > 0);
}

#[test]
fn unknown_keys_and_wrong_types_are_named_with_file_and_key() {
    let cases = [
        ("scale = 1.0", "scale = 1.0\nskale = 2", "skale"),
        (
            "counter = false",
            "counter = false\ncounters = true",
            "counters",
        ),
        ("name = \"good\"", "name = \"good\"\nnmae = 1", "nmae"),
        ("limiters = 8", "limiters = -8", "limiters"),
        ("limiters = 8", "limiters = \"eight\"", "limiters"),
        (
            "{ zone-lost = { zone = 1 } }",
            "{ zone-lots = { zone = 1 } }",
            "zone-lots",
        ),
        (
            "{ zone-lost = { zone = 1 } }",
            "{ zone-lost = { zome = 1 } }",
            "zome",
        ),
    ];
    for (line, changed, key) in cases {
        let fault = fault_of(line, changed);
        assert!(
            fault.starts_with("bad.toml: ") && fault.contains(key),
            "{changed}: {fault}"
        );
    }
}

#[test]
fn sizes_that_can_not_be_played_are_named_with_the_reason() {
    let cases = [
        ("limiters = 8", "limiters = 0", "sizes.limiters", "above 0"),
        ("duration_s = 5", "duration_s = 0", "duration_s", "above 0"),
        ("seeds = [1]", "seeds = []", "seeds", "one seed"),
        ("zones = 4", "zones = 9", "sizes.zones", "more zones"),
        (
            "regions = 2",
            "regions = 5",
            "sizes.regions",
            "more regions",
        ),
        (
            "services = 2",
            "services = 21",
            "sizes.services",
            "more services",
        ),
        (
            "requests_per_s = 10.0",
            "requests_per_s = -1.0",
            "traffic.requests_per_s",
            "above 0",
        ),
        (
            "requests_per_s = 10.0",
            "requests_per_s = inf",
            "traffic.requests_per_s",
            "above 0",
        ),
        ("scale = 1.0", "scale = 1.5", "traffic.scale", "at most"),
        ("spread = 2", "spread = 0", "traffic.spread", "above 0"),
        (
            "scale = 1.0",
            "scale = 1.0\ngiant_share = 1.0",
            "traffic.giant_share",
            "below 1",
        ),
        ("at_s = 1.0", "at_s = 6.0", "events[0].at_s", "duration"),
        (
            "zone = 1",
            "zone = 4",
            "events[0].event.zone-lost.zone",
            "there are 4",
        ),
        (
            "{ zone-lost = { zone = 1 } }",
            "{ list-changes = { count = 0 } }",
            "count",
            "from 1",
        ),
        (
            "{ zone-lost = { zone = 1 } }",
            "{ control-machine-lost = { machine = 0 } }",
            "events[0].event.control-machine-lost.machine",
            "there are 0",
        ),
        ("[hollow]\ncounter = false", "", "hollow", "must be there"),
    ];
    for (line, changed, key, reason) in cases {
        let fault = fault_of(line, changed);
        let named =
            fault.starts_with("bad.toml: key \"") && fault.contains(key) && fault.contains(reason);
        assert!(named, "{changed}: {fault}");
    }
}

#[test]
fn more_than_the_machine_bears_is_refused() {
    let memory = fault_of("servers = 20", "servers = 400_000_000");
    assert!(
        memory.contains("sizes.limiters") && memory.contains("machine bears"),
        "{memory}"
    );
    // What reading a list of 21,000 entries takes stays with each limiter's thread.
    let large = GOOD.replace("servers = 20", "servers = 21000");
    parse(
        "large.toml",
        &large.replace("limiters = 8", "limiters = 260"),
    )
    .expect("260 limiters are borne");
    let memory = parse(
        "bad.toml",
        &large.replace("limiters = 8", "limiters = 2000"),
    );
    let memory = memory.expect_err("2,000 limiters").to_string();
    assert!(
        memory.contains("sizes.limiters") && memory.contains("machine bears"),
        "{memory}"
    );
    let text = GOOD
        .replace("limiters = 8", "limiters = 2000")
        .replace("zones = 4", "zones = 301");
    let processes = parse("bad.toml", &text)
        .expect_err("301 processes and more")
        .to_string();
    assert!(
        processes.contains("sizes.zones") && processes.contains("300"),
        "{processes}"
    );
}

#[test]
fn a_file_that_is_not_there_is_named() {
    let fault = load(Path::new("no-such.toml")).expect_err("no file");
    assert!(matches!(fault, ScenarioError::Unreadable { .. }));
    assert!(fault.to_string().starts_with("no-such.toml: "));
}

#[test]
fn values_put_in_place_of_a_scenario_are_checked_like_its_own() {
    let short = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios/short.toml");
    let with = |entry: &str| load_with(&short, &[entry.to_owned()]);
    assert_eq!(
        with("traffic.spread=5")
            .expect("a good value")
            .traffic
            .spread,
        5
    );
    for (entry, key) in [
        ("traffic.spread=0", "traffic.spread"),
        ("traffic.spraed=5", "spraed"),
        ("trafic.spread=5", "trafic"),
        ("traffic.spread", "KEY=VALUE"),
        ("quota.mechanisms=[\"luck\"]", "luck"),
        ("quota.spacing_ms=0.0", "quota.spacing_ms"),
        ("quota.fallback_least=-1.0", "quota.fallback_least"),
    ] {
        let fault = with(entry).expect_err("a bad value").to_string();
        assert!(
            fault.contains("short.toml") && fault.contains(key),
            "{entry}: {fault}"
        );
    }
}
