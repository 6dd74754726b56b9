//! The log of the built sidecar.

#[path = "support/node.rs"]
mod support;

use serde_json::{Value, json};
use std::process::Stdio;
use support::*;

#[test]
fn json_lines_parse_and_a_requests_id_follows_it() {
    let first = std::sync::atomic::AtomicBool::new(true);
    let peer = Peer::new(move |_| match first.swap(false, std::sync::atomic::Ordering::SeqCst) {
        true => Do::Write(answer("500 Oops", "", "")),
        false => Do::Serve("ok"),
    });
    let mut config = config(&[&peer]);
    config["log"] = json!({"level": "debug", "format": "json"});
    let sidecar = Sidecar::start(&config);
    assert_eq!(sidecar.ask("quote", "r-1").status(), 200);
    assert_eq!(sidecar.ask("nothing", "r-2").status(), 404);
    let lines = || -> Vec<Value> {
        let log = sidecar.log();
        let whole = &log[..log.rfind('\n').map_or(0, |end| end + 1)];
        whole
            .lines()
            .map(|line| serde_json::from_str(line).unwrap_or_else(|e| panic!("{e}: {line}")))
            .collect()
    };
    let about = |id: &str| -> Vec<String> {
        let lines = lines();
        let about = lines.iter().filter(|line| line["request"] == id);
        about.map(|line| line["message"].as_str().unwrap().to_owned()).collect()
    };
    wait_for("its last line", || about("r-2") == ["not taken"]);
    let told = ["taken", "sent", "attempt ended", "sent", "attempt ended", "answered"];
    let mut about = about("r-1");
    about.sort_by_key(|message| *message == "answered"); // which is said before the outcome that it follows from
    assert_eq!(about, told);
    for line in lines() {
        assert!(
            line["level"].is_string() && line["target"].is_string() && line["timestamp"].is_string(),
            "{line}"
        );
    }
}

#[test]
fn who_does_not_read_the_log_or_closes_it_holds_up_no_request() {
    for prefix in ["", "exec 2>&-;", "exec 2>/dev/full;"] {
        let peer = Peer::serving("ok");
        let shared = Shared::new();
        let mut config = config(&[&peer]);
        config["log"] = json!({"level": "trace"});
        let door = nowhere();
        config["control"] = json!(door.to_string());
        let prefix = format!("export TMPDIR={}; {prefix}", shared.0.display());
        // Nobody reads this pipe: it is full after some hundred lines.
        let mut sidecar = Sidecar::start_logging(&config, &prefix, Stdio::piped());
        let mut client = sidecar.client();
        for n in 0..1000 {
            assert_eq!(client.ask("quote", &format!("r{n}")).status(), 200, "{prefix}");
        }
        if prefix.ends_with("; ") {
            let open = String::from_utf8(call(door, "GET", "/v1/metrics?format=openmetrics").body).unwrap();
            let dropped =
                open.lines().find_map(|line| line.strip_prefix("gullpulley_log_lines_dropped_total "));
            assert!(dropped.is_some_and(|lines| lines != "0"), "{open}");
        }
        sidecar.signal("-TERM");
        assert!(sidecar.ended().success(), "{prefix}");
    }
}
