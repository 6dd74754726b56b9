//! Configurations: what is read, and what is said of what can't be.

use gullpulley::config::{Config, Vars, differences, keys};
use gullpulley::{Discovery, Group, Semantics};
use proptest::prelude::*;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const PLATFORM: &str = include_str!("../src/config/example.json");
static FILES: AtomicUsize = AtomicUsize::new(0);

/// A file with this text; removed when dropped.
struct File(PathBuf);

impl File {
    fn new(ending: &str, text: impl AsRef<[u8]>) -> File {
        let number = FILES.fetch_add(1, Ordering::SeqCst);
        let name = format!("gullpulley-config-{}-{number}.{ending}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).unwrap();
        File(path)
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn vars(list: &[(&str, &str)]) -> Vars {
    Vars(list.iter().map(|(name, value)| (name.to_string(), value.to_string())).collect())
}

fn load(ending: &str, text: &str, list: &[(&str, &str)]) -> Result<Config, Vec<String>> {
    let file = File::new(ending, text);
    let shown = file.0.display().to_string();
    Config::load(&file.0, &vars(list))
        .map_err(|e| e.0.iter().map(|f| f.to_string().replace(&shown, "F")).collect())
}

/// The example with one line put in place of another.
fn with(old: &str, new: &str) -> String {
    let example = keys::example();
    assert!(example.contains(old), "{old}");
    example.replacen(old, new, 1)
}

#[test]
fn every_fault_is_told_with_its_line_its_key_and_what_would_be_right() {
    let line_of =
        |needle: &str| 1 + keys::example().lines().position(|line| line.starts_with(needle)).unwrap();
    let (name, zone, class) = (line_of("name"), line_of("zone ="), line_of("wanted"));
    for (text, told) in [
        (with("name = \"front\"", "nmae = \"front\""), vec![
            "F: name: missing; write some text in quotes".to_owned(),
            format!("F:{name}: nmae: there is no such key; did you mean `name`?"),
        ]),
        (with("name = \"front\"", "name = \"  \""), vec![format!("F:{name}: name: `  ` is not right here; write some text")]),
        (with("name = \"front\"", "name = 5"), vec![format!("F:{name}: name: `5` is not right here")]),
        (with("clients = \"127.0.0.1:7070\"", "clients = \"somewhere\""), vec![
            "F:9: listen.clients: `somewhere` is not right here; write an address and port, such as \"127.0.0.1:7070\"".to_owned(),
        ]),
        (with("[listen]", "[lisden]"), vec![
            "F: listen.clients: missing".to_owned(),
            "F:9: lisden: there is no such key; did you mean `listen`?".to_owned(),
        ]),
        (with("# mode = \"watch\"", "mode = \"wach\""), vec!["F:14: discovery.mode: `wach` is not right here; write one of \"watch\", \"ask\"".to_owned()]),
        (with("# sockets = 1024", "sockets = 40"), vec!["F:18: process.sockets: 40 are too few to serve with; at least 64 are needed".to_owned()]),
        (with("# sockets = 1024", "sockets = -4"), vec!["F:18: process.sockets: `-4` is not right here; write a whole number from 1".to_owned()]),
        (with("# level = \"info\"", "level = \"loud=very\""), vec!["F:21: log.level: `loud=very` is not right here; write error, warn".to_owned()]),
        (with("zone = \"a\"", "zone = \"b\""), vec![format!("F:{zone}: place.zone: `b` is none of place.zones")]),
        (with("zones = [\"a\"]", "zones = [\"a\", \"a\"]"), vec![format!("F:{}: place.zones: `a` stands twice", zone + 1)]),
        (with("# number = 0", "number = 3"), vec!["place.number: 3 is none of 1; count from 0".to_owned()]),
        (with("# connect_timeout = \"250ms\"", "connect_timeout = 250"), vec!["limits.connect_timeout: `250` is not right here; write a time above zero with its unit".to_owned()]),
        (with("wanted = \"1s\"", "wanted = \"4s\""), vec![format!("F:{}: class[0].deadline: it is shorter than `wanted`", class + 1)]),
        (with("repeats = \"safe\"", "repeats = \"keyed\""), vec!["class[0].window: keyed requests with no window are never repeated".to_owned()]),
        (with("deadline = ", "deadlin = "), vec!["class[0].deadline: missing".to_owned(), "class[0].deadlin: there is no such key; did you mean `deadline`?".to_owned()]),
        (with("\n[[class]]", "\n[class]"), vec!["class: this is a list; write [[class]] above each one's keys".to_owned()]),
        (with("\n[[class]]", "\n[duties]\nx = 1\n[[class]]"), vec!["duties: this build has no such part yet; leave the section out".to_owned()]),
        (with("[fleet]", "[fleet]\nseed = []"), vec!["fleet.seed: there is no such key; did you mean `seeds`?".to_owned()]),
        (with("# cluster = ", "cluster = "), vec!["fleet.cluster: fleet.listen is missing; a process in a fleet needs fleet.listen too; or leave the section out".to_owned()]),
        (with("# listen = \"127.0.0.1:7072\"", "listen = \"0.0.0.0:7072\""), vec!["fleet.listen: fleet.cluster is missing".to_owned(), "fleet.listen: nobody can reach this address; say in fleet.address where".to_owned()]),
        (with("# cluster = \"render\"", "cluster = \"render\"\nlisten = \"127.0.0.1:7072\"\nvoters = [\"b\", \"c\"]"), vec!["fleet.voters: 2 voters: a majority of them is no safer than of one less, or too slow; name 3, 5 or 7".to_owned()]),
        (with("# cluster = \"render\"", "cluster = \"render\"\nlisten = \"127.0.0.1:7072\"\nvoters = [\"front\", \"b\", \"c\"]"), vec!["fleet.voters: this process votes, and has no state.dir to remember it by; say state.dir, or name other voters".to_owned()]),
        (with("# seeds = []", "seeds = [\"a:1\"]"), vec!["fleet.seeds: `a:1` is no address and port; write a list of addresses and ports".to_owned()]),
        (with("# cluster = \"render\"", "cluster = \"render\"\nlisten = \"127.0.0.1:7072\"").replace("name = \"front\"", &format!("name = {:?}", "n".repeat(121))), vec!["name: 121 bytes are too many for a fleet; it takes 120; give it a shorter one".to_owned()]),
        (with("[listen]", "[listen"), vec!["F:8: unclosed table".to_owned()]),
        (format!("{}\n[[class]]\nname = \"quote\"\nrepeats = \"never\"\nwanted = \"1s\"\ndeadline = \"2s\"\n", keys::example()), vec!["class[1].name: `quote` stands twice".to_owned()]),
        ("x".to_owned(), vec!["F:1: ".to_owned()]),
        (String::new(), vec!["name: missing".to_owned(), "listen.clients: missing".to_owned(), "discovery.address: missing".to_owned(), "place.zone: missing".to_owned(), "place.zones: missing".to_owned(), "class: there is none; write a [[class]]".to_owned()]),
    ] {
        let faults = load("toml", &text, &[]).expect_err(&text);
        assert_eq!(faults.len(), told.len(), "{faults:#?}");
        for told in told {
            assert!(faults.iter().any(|fault| fault.contains(&told)), "{told} is not among {faults:#?}");
        }
    }
}

#[test]
fn every_fault_of_the_platforms_file_is_told_and_what_it_adds_is_passed_over() {
    let mut json: serde_json::Value = serde_json::from_str(PLATFORM).unwrap();
    json["brandNew"] = serde_json::json!({"x": [1]});
    assert!(load("json", &json.to_string(), &[]).is_ok());
    json["listen"] = "somewhere".into();
    json["limits"]["sockets"] = "many".into();
    json["known"]["targets"][0]["endpoint"] = 5.into();
    json["settings"]["classes"][0]["semantics"] = "odd".into();
    json["settings"]["overShareWorth"] = 7.into();
    json["settings"]["rules"].as_object_mut().unwrap().remove("fallMs");
    json.as_object_mut().unwrap().remove("seed");
    let text = serde_json::to_string_pretty(&json).unwrap();
    let line = |needle: &str| 1 + text.lines().position(|line| line.contains(needle)).unwrap();
    let faults = load("json", &text, &[("ROUTER_DISCOVERY", "nowhere")]).unwrap_err();
    let told = [
        format!(
            "F:{}: limits.sockets: invalid type: string \"many\", expected usize; such as 1024",
            line("many")
        ),
        format!("F:{}: listen: `somewhere` is not an address and port", line("somewhere")),
        format!("F:{}: known.targets[0].endpoint: ", line("\"endpoint\"")),
        format!("F:{}: settings.classes[0].semantics: unknown variant `odd`", line("odd")),
        format!("F:{}: settings.overShareWorth: 7 is out of range; such as 0.1", line("overShareWorth")),
        format!("F:{}: settings.rules.fallMs: missing", line("\"rules\"")),
        "seed: missing field `seed`; such as \"8c1f30d27a5be964\"".to_owned(),
        "$ROUTER_DISCOVERY: discovery: `nowhere` is not an address and port".to_owned(),
    ];
    assert_eq!(faults.len(), told.len(), "{faults:#?}");
    for told in told {
        assert!(faults.iter().any(|fault| fault.contains(&told)), "{told} is not among {faults:#?}");
    }
    let broken = load("json", "{\"seed\": ", &[]).unwrap_err();
    assert!(broken.len() == 1 && broken[0].contains("EOF"), "{broken:?}");
}

#[test]
fn the_example_is_right_also_with_all_that_it_holds_back() {
    let example = keys::example();
    load("toml", &example, &[]).unwrap();
    let written = |line: &str| {
        line.strip_prefix("# ")
            .filter(|rest| rest.contains(" = ") || *rest == "[[tenant]]")
            .map(str::to_owned)
    };
    let all: Vec<String> = example.lines().map(|line| written(line).unwrap_or(line.to_owned())).collect();
    let config = load("toml", &all.join("\n"), &[]).unwrap();
    // Nothing that can be written is left out of what is shown, but the key group of a class that has no keys.
    let entries = config.entries();
    for key in keys::KEYS {
        assert!(entries.iter().any(|(shown, _)| shown == key.path), "{} is not shown", key.path);
    }
    let once = load("toml", &example, &[]).unwrap();
    let changed: Vec<String> = differences(&once.entries(), &entries).into_iter().map(|d| d.key).collect();
    let wanted = [
        "fleet.address",
        "fleet.cluster",
        "fleet.listen",
        "fleet.round_trip",
        "fleet.seeds",
        "fleet.voters",
        "listen.operators",
        "state.dir",
        "tenant[0].allowance_per_s",
        "tenant[0].name",
        "tenant[0].portion",
    ];
    assert_eq!(changed, wanted, "what is held back is what holds without it");
}

#[test]
fn what_is_written_arrives_and_variables_win() {
    let text = with("# mode = \"watch\"", "mode = \"ask\"")
        .replace("repeats = \"safe\"", "repeats = \"keyed\"\ngroup = \"cell\"\nwindow = \"7s 500ms\"")
        .replace("zones = [\"a\"]", "zones = [\"b\", \"a\"]")
        .replace("# second_copies = false", "second_copies = true");
    let list = [
        ("GULLPULLEY_LOG__LEVEL", "warn,net=debug"),
        ("GULLPULLEY_PROCESS__SOCKETS", "777"),
        ("ROUTER_LISTEN", "127.0.0.1:9"),
    ];
    let config = load("toml", &text, &list).unwrap();
    assert_eq!(config.settings.discovery, Discovery::Ask);
    let window = Duration::from_millis(7500);
    assert_eq!(config.settings.classes[0].semantics, Semantics::Keyed { group: Group::Cell, window });
    assert_eq!((config.settings.zone.0, config.settings.zones), (1, 2));
    assert!(config.settings.limits.second_copies);
    assert_eq!(
        (config.log.level.as_str(), config.sockets, config.listen.port()),
        ("warn,net=debug", 777, 9)
    );
    let origins = config.origins(Path::new("f"), &vars(&list));
    assert_eq!(origins["log.level"], "$GULLPULLEY_LOG__LEVEL");
    assert_eq!(origins["listen.clients"], "$ROUTER_LISTEN");
    assert!(origins["discovery.mode"].ends_with(":14") && origins["rules.cold_share"] == "default");
    for (name, value, told) in [
        (
            "GULLPULLEY_LOG__LEVL",
            "warn",
            "$GULLPULLEY_LOG__LEVL: log.levl: there is no such key; did you mean `level`?",
        ),
        (
            "GULLPULLEY_PROCESS__SOCKETS",
            "many",
            "$GULLPULLEY_PROCESS__SOCKETS: process.sockets: `many` is not right here",
        ),
        ("ROUTER_CONTROL", "x", "$ROUTER_CONTROL: listen.operators: `x` is not right here"),
    ] {
        let faults = load("toml", &text, &[(name, value)]).unwrap_err();
        assert!(faults.len() == 1 && faults[0].starts_with(told), "{faults:?}");
    }
}

#[test]
fn where_a_value_of_the_platforms_file_comes_from_is_told() {
    let file = File::new("json", PLATFORM);
    let list = vars(&[("ROUTER_LISTEN", "127.0.0.1:9")]);
    let config = Config::load(&file.0, &list).unwrap();
    let origins = config.origins(&file.0, &list);
    assert_eq!(origins["listen.clients"], "$ROUTER_LISTEN");
    assert!(origins["limits.max_attempts"].ends_with(" settings.limits.maxAttempts"), "{origins:?}");
    assert!(origins["class[0].wanted"].ends_with(" settings.classes[0].objectiveMs"), "{origins:?}");
}

proptest! {
    /// Whatever a file holds: a configuration, or faults of one line each.
    #[test]
    fn no_file_brings_the_reader_down(at in 0usize..4000, gone in 0usize..40, put in "[\\[\\]{}=\",.#a-z0-9\\n]{0,6}", platform: bool) {
        let whole = if platform { PLATFORM.to_owned() } else { keys::example().replace("# ", "") };
        let start = at.min(whole.len());
        let end = (start + gone).min(whole.len());
        let text = format!("{}{put}{}", &whole[..start], &whole[end..]);
        if let Err(faults) = load(if platform { "json" } else { "toml" }, &text, &[]) {
            prop_assert!(!faults.is_empty());
            prop_assert!(faults.iter().all(|fault| !fault.contains('\n') && fault.starts_with("F")), "{:?}", faults);
        }
    }
}
