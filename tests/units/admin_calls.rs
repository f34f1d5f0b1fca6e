//! Tests of the text of admin calls: how a line is parsed, and what is answered.

use mossrill::admin::{acknowledgement, render_metrics, Call};
use mossrill::decision::ServerId;
use mossrill::metrics::Metrics;
use mossrill::metrics::RequestOutcome;

#[test]
fn admin_calls_are_parsed_and_malformed_ones_are_rejected() {
    let server = || ServerId::from("s-5be2a07c");
    assert_eq!(Call::parse(b"ready\r"), Ok(Call::Ready));
    assert_eq!(Call::parse(b"show-stat"), Ok(Call::ShowStat));
    assert_eq!(
        Call::parse(b"disable-server s-5be2a07c"),
        Ok(Call::DisableServer(server()))
    );
    assert_eq!(
        Call::parse(b"enable-server  s-5be2a07c "),
        Ok(Call::EnableServer(server()))
    );
    let malformed: [&[u8]; 8] = [
        b"",
        b"  ",
        b"READY",
        b"ready now",
        b"show-stat all",
        b"disable-server",
        b"enable-server a b",
        b"\xff",
    ];
    for line in malformed {
        let error = Call::parse(line).expect_err("the call is malformed");
        let answer = acknowledgement(Err(&error.to_string()));
        assert!(
            answer.starts_with("NO "),
            "expected NO to {line:?}, got {answer:?}"
        );
    }
}

#[test]
fn each_request_is_counted_once_at_its_end() {
    let metrics = Metrics::new(vec!["look".into(), "pay".into()]);
    let (served, dropped, in_flight) = (
        metrics.begin_request(0),
        metrics.begin_request(1),
        metrics.begin_request(1),
    );
    served.finish(RequestOutcome::Served);
    drop(dropped);
    metrics.count_attempt();
    metrics.set_server_counts(3, 1);
    insta::assert_snapshot!(render_metrics(&metrics, Vec::new()));
    in_flight.finish(RequestOutcome::Rejected);
    assert!(metrics.all().contains(&("requests.pay.refused".into(), 1)));
    assert!(metrics.all().contains(&("in_flight".into(), 0)));
}
