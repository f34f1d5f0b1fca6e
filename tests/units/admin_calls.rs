//! Admin calls as text: what is read from a line, and what is answered.

use mossrill::admin::{stat, word, Call};
use mossrill::decision::ServerId;
use mossrill::metrics::Metrics;
use mossrill::metrics::RequestOutcome;

#[test]
fn calls_are_read_to_the_word() {
    let node = || ServerId::from("s-5be2a07c");
    assert_eq!(Call::parse(b"ready\r"), Ok(Call::Ready));
    assert_eq!(Call::parse(b"show-stat"), Ok(Call::ShowStat));
    assert_eq!(
        Call::parse(b"disable-server s-5be2a07c"),
        Ok(Call::DisableServer(node()))
    );
    assert_eq!(
        Call::parse(b"enable-server  s-5be2a07c "),
        Ok(Call::EnableServer(node()))
    );
    let bad: [&[u8]; 8] = [
        b"",
        b"  ",
        b"READY",
        b"ready now",
        b"show-stat all",
        b"disable-server",
        b"enable-server a b",
        b"\xff",
    ];
    for line in bad {
        let why = Call::parse(line).expect_err("no such call");
        assert!(word(Err(why)).starts_with("NO "), "{line:?}");
    }
}

#[test]
fn each_request_is_counted_once_at_its_end() {
    let figures = Metrics::new(vec!["look".into(), "pay".into()]);
    let (served, gone, open) = (figures.taken(0), figures.taken(1), figures.taken(1));
    served.finish(RequestOutcome::Served);
    drop(gone);
    figures.attempt();
    figures.servers(3, 1);
    insta::assert_snapshot!(stat(&figures, Vec::new()));
    open.finish(RequestOutcome::Rejected);
    assert!(figures.all().contains(&("requests.pay.refused".into(), 1)));
    assert!(figures.all().contains(&("in_flight".into(), 0)));
}
