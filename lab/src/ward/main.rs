//! `gullpulley-lab-ward FOLDER [ORDER...] -- PROGRAM ARGUMENTS...`: runs a program and stands between it and one folder, so that
//! its disk can be cut off, full, failing, slow or lying without privileges. It traces the program's system calls, which
//! costs each some microseconds, and is made for Linux on x86-64 and on arm64.
//!
//! It says `pid N` on its output, and takes orders on its input, a line each: `full on|off` (files can't grow),
//! `failing on|off` (writes and syncs fail), `slow MILLISECONDS` (writes and syncs take so much longer; 0 for none),
//! `lying on|off` (what is synced is not durable, though the call says so), `pause on|off`, and `cut SEED`: the program is killed, and of the folder only what it had made durable is left; the
//! seed decides on what was not. Orders before the dashes hold from the program's first call. It ends as the program ends.
#![forbid(unsafe_code)]

mod calls;
mod folder;
mod registers;
mod tracer;

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args_os().skip(1);
    let folder = arguments.next().map(PathBuf::from);
    let orders: Vec<OsString> = arguments.by_ref().take_while(|argument| argument != "--").collect();
    let program: Vec<OsString> = arguments.collect();
    let (Some(folder), false) = (folder, program.is_empty()) else {
        eprintln!("gullpulley-lab-ward FOLDER [ORDER...] -- PROGRAM ARGUMENTS...");
        return ExitCode::from(2);
    };
    match tracer::run(&folder, &orders, &program) {
        Ok(code) => ExitCode::from(code),
        Err(problem) => {
            eprintln!("gullpulley-lab-ward: {problem}");
            ExitCode::from(2)
        }
    }
}
