//! The stand-ins and checks of the review's cases. `cases NAME RECORD` plays one and exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod harness;
mod late_answer;
mod memory;
mod slow_reader;

use harness::{Record, Verdict, trouble};
use std::path::Path;
use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, name, count] = &arguments[..]
        && name == "endpoints"
    {
        return memory::serve_endpoints(count.parse().expect("a number of endpoints"));
    }
    let [_, name, path] = &arguments[..] else {
        eprintln!("usage: cases NAME RECORD");
        exit(Verdict::CouldNotRun.code());
    };
    let Ok(record) = Record::create(Path::new(path)) else {
        eprintln!("{path} can't be written");
        exit(Verdict::CouldNotRun.code());
    };
    record.say(&format!("case {name}, disruption: {}", trouble()));
    let verdict = match name.as_str() {
        "late-answer" => late_answer::play(&record),
        "memory" => memory::play(&record),
        "slow-reader" => slow_reader::play(&record),
        _ => Verdict::CouldNotRun,
    };
    record.result(match verdict {
        Verdict::Held => "the rule held",
        Verdict::Broken => "THE RULE WAS BROKEN",
        Verdict::CouldNotRun => "the case could not run",
    });
    exit(verdict.code());
}
