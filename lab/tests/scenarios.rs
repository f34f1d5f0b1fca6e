//! Scenario files: the committed ones are valid, and invalid ones are refused with file and key.

use mossrill_lab::scenario::{load, load_with, parse, ScenarioError};
use std::path::Path;

const VALID: &str = r#"
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

/// Returns the error on the valid scenario after one line has been replaced.
fn error_of(line: &str, replacement: &str) -> String {
    assert!(VALID.contains(line), "{line}");
    let text = VALID.replace(line, replacement);
    match parse("bad.toml", &text) {
        Ok(_) => panic!("scenario with `{replacement}` was accepted"),
        Err(error) => error.to_string(),
    }
}

#[test]
fn committed_scenarios_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let mut files = 0;
    for entry in std::fs::read_dir(folder)
        .expect("reads the folder of scenarios")
        .flatten()
    {
        load(&entry.path()).unwrap_or_else(|error| panic!("{error}"));
        files += 1;
    }
    assert!(files > 0);
}

#[test]
fn unknown_keys_and_wrong_types_are_reported_with_file_and_key() {
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
    for (line, replacement, key) in cases {
        let error = error_of(line, replacement);
        assert!(
            error.starts_with("bad.toml: ") && error.contains(key),
            "{replacement}: {error}"
        );
    }
}

#[test]
fn invalid_values_are_reported_with_key_and_reason() {
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
        ("[hollow]\ncounter = false", "", "hollow", "must be present"),
    ];
    for (line, replacement, key, reason) in cases {
        let error = error_of(line, replacement);
        let reported =
            error.starts_with("bad.toml: key \"") && error.contains(key) && error.contains(reason);
        assert!(reported, "{replacement}: {error}");
    }
}

#[test]
fn scenarios_beyond_the_memory_or_process_limit_are_refused() {
    let memory = error_of("servers = 20", "servers = 400_000_000");
    assert!(
        memory.contains("sizes.limiters") && memory.contains("MB of memory, the limit is"),
        "{memory}"
    );
    // The heap of each limiter's thread keeps the memory that reading a list of 21,000 entries
    // takes.
    let large = VALID.replace("servers = 20", "servers = 21000");
    parse(
        "large.toml",
        &large.replace("limiters = 8", "limiters = 260"),
    )
    .expect("260 limiters fit into the memory limit");
    let memory = parse(
        "bad.toml",
        &large.replace("limiters = 8", "limiters = 2000"),
    );
    let memory = memory
        .expect_err("2,000 limiters exceed the memory limit")
        .to_string();
    assert!(
        memory.contains("sizes.limiters") && memory.contains("MB of memory, the limit is"),
        "{memory}"
    );
    let text = VALID
        .replace("limiters = 8", "limiters = 2000")
        .replace("zones = 4", "zones = 301");
    let processes = parse("bad.toml", &text)
        .expect_err("301 zones exceed the process limit")
        .to_string();
    assert!(
        processes.contains("sizes.zones") && processes.contains("300"),
        "{processes}"
    );
}

#[test]
fn missing_file_is_reported_with_its_name() {
    let error = load(Path::new("no-such.toml")).expect_err("the file does not exist");
    assert!(matches!(error, ScenarioError::Unreadable { .. }));
    assert!(error.to_string().starts_with("no-such.toml: "));
}

#[test]
fn overrides_are_checked_like_values_of_the_file() {
    let short = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios/short.toml");
    let with = |entry: &str| load_with(&short, &[entry.to_owned()]);
    assert_eq!(
        with("traffic.spread=5")
            .expect("the override is valid")
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
        let error = with(entry)
            .expect_err("the override is invalid")
            .to_string();
        assert!(
            error.contains("short.toml") && error.contains(key),
            "{entry}: {error}"
        );
    }
}
