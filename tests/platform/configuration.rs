//! Service discovery, configuration changes and shutdown.

use crate::peers::{
    discovery_with_full_list, endpoint_entry, http_reply, next_command, quota_counter,
    read_http_message, request_command, served_reply, settings, silent_discovery, start_http_peer,
    start_limiter, start_peer, start_resp_peer, wait_until, Client, PeerAction, Program,
};
use crate::support::started_limiter;
use std::io::Write;
use std::net::SocketAddr;

#[test]
fn service_discovery_is_followed_over_a_broken_watch() {
    let (old, _) = start_resp_peer(|_, _| served_reply("old"));
    let (new, _) = start_resp_peer(|_, _| served_reply("new"));
    let (request_sender, requests) = std::sync::mpsc::channel();
    let request_sender = std::sync::Mutex::new(request_sender);
    // The first watch is closed at once. The second one sends a list without the old server, in two
    // chunks.
    let discovery = start_peer(move |number, stream| {
        let mut from = std::io::BufReader::new(stream);
        let Ok((request_line, ..)) = read_http_message(&mut from, false) else {
            return;
        };
        _ = request_sender
            .lock()
            .expect("lock poisoned by a panic of another connection")
            .send(request_line);
        if number > 0 {
            let server = endpoint_entry("s-2", new, "in_service");
            let line = serde_json::json!({"generation": 9, "reset": true, "instances": [server]})
                .to_string()
                + "\n";
            let (first_half, second_half) = line.split_at(line.len() / 2);
            let chunks = format!(
                "{:x}\r\n{first_half}\r\n{:x}\r\n{second_half}\r\n",
                first_half.len(),
                second_half.len()
            );
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";
            from.get_mut()
                .write_all((head.to_owned() + &chunks).as_bytes())
                .expect("the limiter closed the watch before the list was written");
            _ = read_http_message(&mut from, false);
        }
    });
    let limiter = start_limiter(&settings(discovery, quota_counter().0, &[("s-1", old)]));
    let mut client = Client::connect_when_ready(&limiter);
    let watch_requests = [
        requests
            .recv()
            .expect("the discovery server got no first watch request"),
        requests
            .recv()
            .expect("the discovery server got no second watch request"),
    ];
    // The old server serves requests until the new list is applied, and none after that.
    let mut answers = Vec::new();
    while answers.last().is_none_or(|answer| answer != "new") {
        client.send_request("look", "id", 1500);
        answers.push(client.read_reply());
    }
    client.send_request("look", "id", 1500);
    assert_eq!(client.read_reply(), "new");
    insta::assert_snapshot!(watch_requests.join("\n"));
}

#[test]
fn shutdown_serves_accepted_requests_and_closes_idle_connections() {
    let (server, seen) = start_resp_peer(|_, words| {
        std::thread::sleep(std::time::Duration::from_millis(700));
        served_reply(&words[2])
    });
    let limiter = started_limiter(&[("s-1", server)]);
    let (mut idle, mut busy) = (
        Client::connect_when_ready(&limiter),
        Client::connect_when_ready(&limiter),
    );
    busy.send_request("look", "id-1", 2000);
    next_command(&seen);
    limiter.stop();
    assert_eq!(
        (busy.read_reply(), busy.read_line(), idle.read_line()),
        ("id-1".into(), String::new(), String::new())
    );
}

#[test]
fn configuration_errors_name_the_key() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut errors = Vec::new();
    for (path, value) in [
        ("/listen", serde_json::json!("nowhere")),
        ("/seed", serde_json::json!("xyz")),
        ("/counter", serde_json::Value::Null),
        ("/known/instances/0/lifecycle", serde_json::json!("asleep")),
        ("/settings/me", serde_json::json!(1)),
        ("/settings/classes", serde_json::json!([])),
        ("/settings/classes/0/semantics", serde_json::json!("maybe")),
        ("/settings/limits/connIdle", serde_json::json!(-1)),
    ] {
        let mut settings = settings(address, address, &[("s-1", address)]);
        *settings.pointer_mut(path).expect(path) = value;
        let error = mossrill::config::platform(&settings.to_string(), |_| None).err();
        errors.push(
            error.map_or(format!("a faulty {path} was accepted"), |error| {
                error.to_string()
            }),
        );
    }
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn reload_moves_discovery_and_counter_and_a_faulty_file_changes_nothing() {
    let (slow, seen) = start_resp_peer(|_, words| {
        std::thread::sleep(std::time::Duration::from_millis(if words[2] == "open" {
            300
        } else {
            0
        }));
        served_reply("old")
    });
    let (new, _) = start_resp_peer(|_, _| served_reply("new"));
    let (counter, totals) = quota_counter();
    let mut settings = settings(silent_discovery(), quota_counter().0, &[("s-1", slow)]);
    settings["settings"]["balancers"] = 2.into();
    let mut program = Program::start("reload", &settings);
    let mut open = Client::connect_when_ready_at(program.client_address);
    open.send(&request_command("look", "open", 1500).replace("spread=1", "spread=2"));
    next_command(&seen);
    // The list of another discovery server is applied even though its generation is lower than that
    // of the known list.
    settings["discovery"] =
        discovery_with_full_list(vec![endpoint_entry("s-2", new, "in_service")])
            .to_string()
            .into();
    settings["counter"] = counter.to_string().into();
    program.reload(&settings.to_string());
    program.wait_for_log("endpoint update, endpoints: 1, full: true");
    let mut client = Client::connect_when_ready_at(program.client_address);
    client.send(&request_command("look", "id", 1500).replace("spread=1", "spread=2"));
    assert_eq!(
        (open.read_reply(), client.read_reply()),
        ("old".into(), "new".into())
    );
    wait_until(
        || {
            totals
                .lock()
                .expect("lock poisoned by a panic of the counter")
                .len()
        },
        |counters| *counters > 0,
    );
    settings["counter"] = "nowhere".into();
    program.reload(&settings.to_string());
    let error = program
        .wait_for_log("configuration rejected")
        .split("error: ")
        .last()
        .map(|text| text.split("key").last().map(str::to_owned));
    client.send_request("look", "id", 1500);
    insta::assert_snapshot!(format!("{:?}\n{}", error.flatten(), client.read_reply()));
}

#[test]
fn limiter_is_ready_with_its_configured_list_before_discovery_or_the_counter_answers() {
    /// What a peer does with a request, given its request line.
    type Script = fn(&str) -> PeerAction;
    let silent: Script = |_| PeerAction::Hang;
    let closing: Script = |_| PeerAction::Close;
    let refusing: Script = |_| http_reply("503 Service Unavailable", "");
    for (discovery, counter) in [(silent, closing), (closing, silent), (refusing, refusing)] {
        let (server, _seen) = start_resp_peer(|_, words| served_reply(&words[2]));
        let discovery = start_http_peer(move |request_line, _, _| discovery(request_line));
        let counter = start_http_peer(move |request_line, _, _| counter(request_line));
        let mut settings = settings(discovery, counter, &[("s-1", server)]);
        settings["control"] = "127.0.0.1:0".into();
        let program = Program::start("configured-list", &settings);
        program.call_until("ready", "YES");
        let send_request = || {
            Client::try_connect_at(program.client_address)?
                .try_request(&request_command("look", "first", 1500))
        };
        wait_until(send_request, |answer| answer.as_deref() == Some("first"));
    }
}
