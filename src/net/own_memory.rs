//! The memory of this process, as the system tells it.

use std::fs;

/// The memory that this process has to itself, in KiB; none if the system does not tell.
pub fn own_memory_kib() -> Option<usize> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    line.trim().strip_suffix(" kB")?.parse().ok()
}
