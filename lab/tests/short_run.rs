//! A complete run of small size: all events are carried out, every limiter gets every change, and
//! the figures are consistent. No durations are asserted, because they depend on the load of the
//! machine.

use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::Command;

fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(name)
}

/// Runs `mossrill-lab`; returns whether it succeeded, its standard output and its standard error.
fn run_lab(arguments: &[&str]) -> (bool, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_mossrill-lab"))
        .args(arguments)
        .output()
        .expect("starts mossrill-lab");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (
        output.status.success(),
        text(&output.stdout),
        text(&output.stderr),
    )
}

fn count(value: &Value, path: &str) -> u64 {
    value
        .pointer(path)
        .and_then(Value::as_u64)
        .unwrap_or_else(|| panic!("the report has no number at {path}"))
}

fn number(value: &Value, path: &str) -> f64 {
    value
        .pointer(path)
        .and_then(Value::as_f64)
        .unwrap_or_else(|| panic!("the report has no number at {path}"))
}

#[test]
fn short_run_carries_out_every_event_with_consistent_figures() {
    let json = std::env::temp_dir().join(format!("mossrill-lab-short-{}.json", std::process::id()));
    let scenario = file("scenarios/short.toml");
    let predictions = file("tests/short_predictions.toml");
    let limiter = file("../target/release/mossrill");
    assert!(
        limiter.exists(),
        "run `make build` first: the limiter program {} is missing",
        limiter.display()
    );
    let (success, printed, error) = run_lab(&[
        "run",
        "--limiter",
        &limiter.to_string_lossy(),
        &scenario.to_string_lossy(),
        "--json",
        &json.to_string_lossy(),
        "--predictions",
        &predictions.to_string_lossy(),
    ]);
    assert!(success, "{error}\n{printed}");
    let text = std::fs::read_to_string(&json).expect("reads the reports");
    _ = std::fs::remove_file(&json);
    let reports: Value = serde_json::from_str(&text).expect("the reports are JSON");
    assert_eq!(reports.as_array().map(Vec::len), Some(1));
    let report = &reports[0];
    hollow_limiters_get_every_change(&report["hollow"]);
    decisions_are_consistent(&report["hollow"]);
    members_learn_of_every_event(&report["membership"]);
    real_processes_serve(&report["real"]);
    each_mechanism_runs_on_the_same_requests(&report["quota"]);
    predictions_are_compared(report, &printed);
    assert!(report["kept_up"].is_boolean() && report["fell_behind"].is_array());
    for figure in [
        "hollow.memory_bytes_per_limiter",
        "hollow.discovery.calls_per_s",
        "membership.settled_s",
    ] {
        assert!(
            printed.contains(figure),
            "{figure} is not in the table:\n{printed}"
        );
    }
}

fn hollow_limiters_get_every_change(hollow: &Value) {
    let events: Vec<_> = hollow["events"]
        .as_array()
        .expect("events is an array")
        .iter()
        .map(Value::as_str)
        .collect();
    let expected = [
        "list-changes",
        "zone-lost",
        "zone-back",
        "region-cut",
        "list-changes",
        "region-healed",
        "half-restarted",
    ];
    assert_eq!(events, expected.map(Some));
    let changes = hollow["changes"].as_array().expect("changes is an array");
    assert_eq!(changes.len(), 4);
    for change in changes {
        assert_eq!(count(change, "/missing"), 0, "{change}");
        assert!(
            count(change, "/limiters") > 0 && count(change, "/bytes") > 0,
            "{change}"
        );
        assert_eq!(
            count(change, "/limiters"),
            count(change, "/delay_s/count"),
            "{change}"
        );
    }
    // 24 limiters at the start, 6 of the zone that comes back, and 12 of the restarted half.
    assert_eq!(count(hollow, "/first_list_s/count"), 24 + 6 + 12);
    assert_eq!(count(hollow, "/changes_missing"), 0);
    assert!(count(hollow, "/discovery/calls") >= 24 + 6 + 12);
    for figure in [
        "cpu_cores_per_limiter",
        "memory_bytes_per_limiter",
        "start_cpu_s_per_limiter",
    ] {
        assert!(number(hollow, &format!("/{figure}")) > 0.0, "{figure}");
    }
}

fn decisions_are_consistent(hollow: &Value) {
    let of = |name: &str| count(hollow, &format!("/quota/decisions/{name}"));
    assert!(of("requests") > 0 && of("sent") > 0 && of("calls") > 0);
    assert_eq!(of("requests"), of("sent") + of("refused") + of("undecided"));
    let received = count(hollow, "/counter/calls");
    assert!(
        of("calls_answered") <= received && received <= of("calls"),
        "the counter received {received} calls"
    );
    let (sent, beyond) = (
        number(hollow, "/quota/audit/sent_units"),
        number(hollow, "/quota/audit/beyond_units"),
    );
    assert!(sent >= of("sent") as f64 && beyond >= 0.0 && beyond < sent);
}

fn members_learn_of_every_event(membership: &Value) {
    assert_eq!(membership["time"], "virtual");
    let events = membership["events"].as_array().expect("events is an array");
    assert_eq!(events.len(), 6);
    for event in events {
        assert!(event["known_s"].is_number(), "{event}");
    }
    assert!(
        number(membership, "/settled_s") > 0.0 && number(membership, "/bytes_per_member_s") > 0.0
    );
}

fn real_processes_serve(real: &Value) {
    let of = |name: &str| count(real, &format!("/{name}"));
    assert_eq!(
        of("requests"),
        of("served") + of("refused") + of("failed") + of("broken")
    );
    assert!(of("served") > 0);
    let events: Vec<_> = real["events"]
        .as_array()
        .expect("events is an array")
        .iter()
        .map(Value::as_str)
        .collect();
    for event in ["configuration-changed", "half-restarted", "limiter-paused"] {
        assert!(events.contains(&Some(event)), "{event}: {events:?}");
    }
    let changes = real["configuration_changes"]
        .as_array()
        .expect("changes is an array");
    assert_eq!(changes.len(), 3);
    for change in changes {
        assert_eq!(
            (count(change, "/missing"), count(change, "/delay_s/count")),
            (0, 2),
            "{change}"
        );
    }
    for figure in [
        "latency/p50_ms",
        "added/p99_ms",
        "added/p999_ms",
        "memory_bytes_per_limiter",
    ] {
        assert!(number(real, &format!("/{figure}")) > 0.0, "{figure}");
    }
    assert!(number(real, "/counter_calls_per_limiter_s") > 0.0);
}

/// The same seed gives the same figures in virtual time, so they can be asserted.
fn each_mechanism_runs_on_the_same_requests(quota: &Value) {
    let results = quota.as_array().expect("quota is an array");
    let mechanisms: Vec<_> = results
        .iter()
        .map(|result| result["mechanism"].as_str())
        .collect();
    assert_eq!(mechanisms, [Some("counter"), Some("leases")]);
    // Every mechanism gets the same requests.
    let requests = |result: &Value| count(result, "/whole/requests");
    assert!(requests(&results[0]) > 0);
    assert_eq!(requests(&results[0]), requests(&results[1]));
    for result in results {
        let phases = result["phases"].as_array().expect("phases is an array");
        assert_eq!(
            phases
                .iter()
                .map(|phase| count(phase, "/requests"))
                .sum::<u64>(),
            requests(result)
        );
        let events: Vec<_> = phases.iter().map(|phase| phase["event"].as_str()).collect();
        for event in [
            "start",
            "zone-lost",
            "region-cut",
            "limiter-paused",
            "control-machine-lost",
        ] {
            assert!(events.contains(&Some(event)), "{event}: {events:?}");
        }
        assert_eq!(
            result["whole"]["messages_per_machine_s"]
                .as_array()
                .map(Vec::len),
            Some(3)
        );
        assert!(number(result, "/whole/bytes_per_limiter_s") > 0.0);
        assert!(number(result, "/audit/sent_units") > number(result, "/audit/beyond_units"));
        // The bound of the leases, without the shares reserved for a partition, is looser than the
        // quota.
        assert!(
            number(result, "/lease_bound_audit/beyond_units")
                <= number(result, "/audit/beyond_units")
        );
    }
}

/// One prediction agrees, one is far off, and one names a figure that does not exist.
fn predictions_are_compared(report: &Value, printed: &str) {
    let compared = report["predictions"]
        .as_array()
        .expect("predictions is an array");
    let agrees = |figure: &str| {
        let found = compared.iter().find(|c| c["figure"] == figure);
        found.unwrap_or_else(|| panic!("no comparison of {figure}"))["agrees"].as_bool()
    };
    assert_eq!(agrees("hollow.limiters"), Some(true));
    assert_eq!(agrees("hollow.processes"), Some(false));
    assert_eq!(agrees("hollow.no_such_figure"), Some(false));
    assert!(
        printed.contains("hollow.processes: predicted 8, seen 4, ratio 0.50: DIFFERS"),
        "{printed}"
    );
}

#[test]
fn malformed_scenario_ends_the_program_with_an_error_that_names_the_file() {
    let bad = std::env::temp_dir().join(format!("mossrill-lab-bad-{}.toml", std::process::id()));
    std::fs::write(&bad, "name = \"bad\"\nunknown = 1\n").expect("writes the scenario file");
    let (success, _, error) = run_lab(&["run", &bad.to_string_lossy()]);
    _ = std::fs::remove_file(&bad);
    assert!(
        !success && error.contains(&*bad.to_string_lossy()) && error.contains("unknown"),
        "{error}"
    );
}
