//! Limits on the bodies of requests and answers.

use std::time::Duration;

/// Longest body on the wire, in bytes.
pub const MAX_BODY: u64 = 32 << 20;
/// Longest body that is buffered, in bytes; a larger one is streamed.
pub const MAX_BUFFERED_BODY: usize = 64 * 1024;
/// Time limit for a whole body: the largest one at the slowest rate.
pub const MAX_BODY_TIME: Duration = Duration::from_secs(1100);
