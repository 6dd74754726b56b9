//! The program as somebody at a shell uses it.

#[path = "support/node.rs"]
mod support;

use std::net::SocketAddr;
use std::process::{Command, Output};
use support::*;

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gullpulley"));
    command.env_clear().args(arguments).output().unwrap()
}

/// The exit code, and all that was said.
fn said(output: &Output) -> (i32, String) {
    let text = [&output.stdout, &output.stderr].map(|text| String::from_utf8_lossy(text).into_owned());
    (output.status.code().unwrap(), text.concat())
}

/// An operator's configuration, as the example has it but for the addresses.
fn toml(clients: SocketAddr, door: SocketAddr, discovery: SocketAddr) -> String {
    let (_, example) = said(&run(&["config", "example"]));
    let example = example.replace("\"127.0.0.1:7070\"", &format!("\"{clients}\""));
    let example = example.replace("# operators = \"127.0.0.1:7071\"", &format!("operators = \"{door}\""));
    example.replace("\"127.0.0.1:8500\"", &format!("\"{discovery}\""))
}

#[test]
fn commands_end_with_the_codes_that_the_help_states() {
    let shared = Shared::new();
    let file = |name: &str, text: &str| {
        let path = shared.0.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    };
    let right = file("right.toml", &said(&run(&["config", "example"])).1);
    let wrong = file("wrong.toml", "nam = 3");
    let nobody = nowhere().to_string();
    for (arguments, code, text) in [
        (&["check", &right][..], 0, "right.toml: right"),
        (&["check", &right, &wrong], 2, "wrong.toml:1: nam: there is no such key; did you mean `name`?"),
        (&["check", "/nonexistent/x.toml"], 2, "/nonexistent/x.toml: No such file"),
        (&["config", "show", &right], 0, "limits.max_attempts = 3"),
        (&["run", "--config", &wrong], 2, "listen.clients: missing"),
        (&["run"], 2, "$ROUTER_CONFIG"),
        (&[], 2, "Exit codes:"),
        (&["--help"], 0, "A first configuration:"),
        (&["--version"], 0, env!("CARGO_PKG_VERSION")),
        (&["statsu"], 2, "status"),
        (&["status"], 2, "--door ADDRESS"),
        (&["status", "--config", &right], 2, "listen.operators: not set, so there is no admin API"),
        (&["status", "--door", &nobody], 3, "refused"),
        (&["suspend", "--door", &nobody, "a b"], 2, "invalid request to the admin API"),
        (&["completions", "bash"], 0, "complete -F"),
    ] {
        let (ended, told) = said(&run(arguments));
        assert_eq!(ended, code, "{arguments:?}: {told}");
        assert!(told.contains(text), "{arguments:?}: {told}");
    }
}

#[test]
fn operators_steer_a_running_sidecar_from_a_shell() {
    let peer = Peer::serving("ok");
    let discovery = Discovery::new(list(3, true, &[target("s-0", peer.address, "up")]));
    let (clients, door) = (nowhere(), nowhere());
    let shared = Shared::new();
    let prefix = format!("export TMPDIR={};", shared.0.display());
    let mut sidecar = Sidecar::start_text(&toml(clients, door, discovery.address), clients, &prefix);
    let door = door.to_string();
    let ask = |arguments: &[&str]| said(&run(&[arguments, &["--door", &door]].concat()));
    wait_for("the list", || ask(&["status"]).1.contains("members                                      1"));
    let (code, figures) = ask(&["status", "--json"]);
    let figures: serde_json::Value = serde_json::from_str(&figures).unwrap();
    assert_eq!((code, &figures["ready"], &figures["members"]), (0, &true.into(), &1.into()));
    assert_eq!(ask(&["suspend", "s-0"]), (0, "suspended\n".to_owned()));
    assert!(ask(&["status"]).1.contains("members_unavailable                          1"));
    assert_eq!(ask(&["resume", "s-0"]), (0, "in use\n".to_owned()));
    // An order that can't be recorded yet is carried out, too.
    let mut files = std::fs::read_dir(&shared.0).unwrap().map(|file| file.unwrap().path());
    let lock = files.find(|path| path.extension().is_some_and(|ending| ending == "lock")).unwrap();
    let held = std::fs::File::open(lock).unwrap();
    held.lock().unwrap();
    assert_eq!(ask(&["suspend", "s-0"]), (0, "this is in force, and still to be recorded\n".to_owned()));
    drop(held);
    let (code, told) = ask(&["suspend", "nobody"]);
    assert!(code == 1 && told.contains("answers 404: no endpoint has this id"), "{told}");
    assert_eq!(ask(&["drain"]), (0, "draining\n".to_owned()));
    assert!(sidecar.ended().success());
}

#[test]
fn a_sighup_changes_what_can_change_and_says_what_cannot() {
    let (old, new) = (Peer::serving("old"), Peer::serving("new"));
    let here = Discovery::new(list(3, true, &[target("s-0", old.address, "up")]));
    let there = Discovery::new(list(4, true, &[target("s-1", new.address, "up")]));
    let (clients, door) = (nowhere(), nowhere());
    let shared = Shared::new();
    let prefix = format!("export TMPDIR={};", shared.0.display());
    let sidecar = Sidecar::start_text(&toml(clients, door, here.address), clients, &prefix);
    let request = "GET /quote/x HTTP/1.1\r\nHost: t\r\nX-Request-ID: %n\r\nX-Timeout: 3000m\r\n\r\n";
    let mut asked = 0;
    let mut served = || {
        asked += 1;
        let mut client = sidecar.client();
        client.send(&request.replace("%n", &format!("r{asked}")));
        client.receive().map(|answer| answer.body)
    };
    wait_for("the first list", || served().is_some_and(|body| body == b"old"));
    sidecar.reconfigure("[listen\n");
    sidecar.signal("-HUP");
    wait_for("the fault", || sidecar.log().contains(":1: unclosed table"));
    let moved = toml(clients, door, there.address).replace("# max_attempts = 3", "max_attempts = 2");
    sidecar.reconfigure(&moved);
    sidecar.signal("-HUP");
    wait_for("the new list", || served().is_some_and(|body| body == b"new"));
    sidecar.says("the configuration stays as it was");
    sidecar.says("limits.max_attempts stays 3; 2 holds from the next start");
}
