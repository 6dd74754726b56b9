//! The calls that stand in front of the C library's. Each fails by the plan, or goes on to the C library with all that
//! it was given, cut short where that is the fault.

use crate::process::{Process, process};
use crate::real::{self, Real, fail};
use libc::{c_char, c_int, c_uint, c_void, iovec, mode_t, off64_t, size_t, sockaddr, socklen_t, ssize_t};
use std::thread;
use std::time::Duration;

/// Errors that Linux documents.
const ACCEPT_ERRORS: [c_int; 4] = [libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::EINTR];
const SOCKET_ERRORS: [c_int; 2] = [libc::ENFILE, libc::ENOBUFS];
const CONNECT_ERRORS: [c_int; 3] = [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS];
const BROKEN_ERRORS: [c_int; 3] = [libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET];
const DISK_ERRORS: [c_int; 2] = [libc::ENOSPC, libc::EIO];
/// A short read brings no more than this.
const SHORT_READ_MOST: u64 = 40;
/// A write is held up for no longer than this.
const HOLD_UP_MOST_MS: u64 = 150;

/// Declares a call in front of the C library's of the same name: the injected fault is the result, if there is one.
macro_rules! in_front_of {
    ($real:literal, $name:ident($($argument:ident: $kind:ty),*) -> $result:ty, $fault:expr) => {
        /// Stands in front of the C library's call of this name.
        ///
        /// # Safety
        /// As for that call.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name($($argument: $kind),*) -> $result {
            static REAL: Real = Real::new($real);
            let fault: fn(&Process, $($kind),*) -> Option<$result> = $fault;
            if let Some(result) = process().and_then(|process| fault(process, $($argument),*)) {
                return result;
            }
            // SAFETY: the address is that of the C library's call of this name, whose type this is; what it is given
            // is what the caller gave.
            unsafe {
                let real: unsafe extern "C" fn($($kind),*) -> $result = std::mem::transmute(REAL.address());
                real($($argument),*)
            }
        }
    };
}

/// A call that fails with one of these errors, in so large a part.
fn failing(process: &Process, call: &str, part: f64, errors: &[c_int]) -> Option<c_int> {
    process.strikes(part).then(|| {
        let error = process.draws.one_of(errors);
        process.note(call, &std::io::Error::from_raw_os_error(error).to_string());
        fail(error)
    })
}

fn disk_failing(process: &Process, call: &str) -> Option<c_int> {
    process.disk_fails().then(|| {
        let error = process.draws.one_of(&DISK_ERRORS);
        process.note(call, &std::io::Error::from_raw_os_error(error).to_string());
        fail(error)
    })
}

/// A connection that this process made breaks.
fn breaking(process: &Process, call: &str, descriptor: c_int) -> Option<ssize_t> {
    if !process.has_made(descriptor) {
        return None;
    }
    let broken = failing(process, call, process.plan.broken, &BROKEN_ERRORS)?;
    let error = std::io::Error::last_os_error().raw_os_error().unwrap_or(libc::ECONNRESET);
    real::end(descriptor);
    fail(error);
    Some(broken as ssize_t)
}

/// How much a read of so many bytes asks for.
fn read_length(process: &Process, length: size_t) -> size_t {
    if length > 1 && process.strikes(process.plan.short_read) {
        let short = 1 + process.draws.below(SHORT_READ_MOST) as size_t;
        process.note("read", "short");
        return short.min(length);
    }
    length
}

/// How much a write of so many bytes hands over.
fn write_length(process: &Process, length: size_t) -> size_t {
    if length > 1 && process.strikes(process.plan.short_write) {
        process.note("write", "short");
        return length / 2;
    }
    length
}

fn hold_up(process: &Process, call: &str) {
    if process.strikes(process.plan.hold_up) {
        let ms = 1 + process.draws.below(HOLD_UP_MOST_MS);
        process.note(call, &format!("held up for {ms} ms"));
        thread::sleep(Duration::from_millis(ms));
    }
}

/// Calls `recv` or `send` of the C library with another length.
macro_rules! cut {
    ($real:literal, $descriptor:expr, $bytes:expr, $length:expr, $flags:expr, $pointer:ty) => {{
        static REAL: Real = Real::new($real);
        // SAFETY: the address is that of the C library's call of this name; the length is at most the caller's.
        unsafe {
            let real: unsafe extern "C" fn(c_int, $pointer, size_t, c_int) -> ssize_t =
                std::mem::transmute(REAL.address());
            real($descriptor, $bytes, $length, $flags)
        }
    }};
}

in_front_of!(c"accept4", accept4(listener: c_int, from: *mut sockaddr, size: *mut socklen_t, flags: c_int) -> c_int,
    |process, _, _, _, _| failing(process, "accept4", process.plan.accept, &ACCEPT_ERRORS));

in_front_of!(c"socket", socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int,
    |process, _, _, _| failing(process, "socket", process.plan.socket, &SOCKET_ERRORS));

in_front_of!(c"connect", connect(descriptor: c_int, to: *const sockaddr, size: socklen_t) -> c_int,
|process, descriptor, _, _| {
    let failed = failing(process, "connect", process.plan.connect, &CONNECT_ERRORS);
    process.set_made(descriptor, failed.is_none());
    failed
});

in_front_of!(c"close", close(descriptor: c_int) -> c_int, |process, descriptor| {
    process.set_made(descriptor, false);
    None
});

in_front_of!(c"epoll_wait", epoll_wait(
    epoll: c_int, events: *mut libc::epoll_event, most: c_int, timeout: c_int) -> c_int,
    |process, _, _, _, _| failing(process, "epoll_wait", process.plan.wait, &[libc::EINTR]));

in_front_of!(c"recv", recv(descriptor: c_int, bytes: *mut c_void, length: size_t, flags: c_int) -> ssize_t,
|process, descriptor, bytes, length, flags| {
    if let Some(broken) = breaking(process, "recv", descriptor) {
        return Some(broken);
    }
    let asked = read_length(process, length);
    (asked < length).then(|| cut!(c"recv", descriptor, bytes, asked, flags, *mut c_void))
});

in_front_of!(c"send", send(descriptor: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t,
|process, descriptor, bytes, length, flags| {
    hold_up(process, "send");
    if let Some(broken) = breaking(process, "send", descriptor) {
        return Some(broken);
    }
    let given = write_length(process, length);
    (given < length).then(|| cut!(c"send", descriptor, bytes, given, flags, *const c_void))
});

in_front_of!(c"writev", writev(descriptor: c_int, pieces: *const iovec, count: c_int) -> ssize_t,
|process, descriptor, pieces, count| {
    if real::is_file(descriptor) {
        return disk_failing(process, "writev").map(|failed| failed as ssize_t);
    }
    hold_up(process, "writev");
    if let Some(broken) = breaking(process, "writev", descriptor) {
        return Some(broken);
    }
    // SAFETY: the caller gives so many pieces, of which the first is read where there is one.
    let first = (count > 0).then(|| unsafe { *pieces })?;
    let given = write_length(process, first.iov_len);
    (given < first.iov_len)
        .then(|| cut!(c"send", descriptor, first.iov_base, given, libc::MSG_NOSIGNAL, *const c_void))
});

in_front_of!(c"write", write(descriptor: c_int, bytes: *const c_void, length: size_t) -> ssize_t,
|process, descriptor, _, _| {
    let of_disk = descriptor > libc::STDERR_FILENO && process.disk_fails() && real::is_file(descriptor);
    of_disk.then(|| disk_failing(process, "write")).flatten().map(|failed| failed as ssize_t)
});

in_front_of!(c"pwrite64", pwrite64(
    descriptor: c_int, bytes: *const c_void, length: size_t, at: off64_t) -> ssize_t,
    |process, _, _, _, _| disk_failing(process, "pwrite64").map(|failed| failed as ssize_t));

in_front_of!(c"fsync", fsync(descriptor: c_int) -> c_int, |process, _| disk_failing(process, "fsync"));

in_front_of!(c"fdatasync", fdatasync(descriptor: c_int) -> c_int,
    |process, _| disk_failing(process, "fdatasync"));

in_front_of!(c"rename", rename(from: *const c_char, to: *const c_char) -> c_int,
    |process, _, _| disk_failing(process, "rename"));

in_front_of!(c"open64", open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int,
    |process, _, flags, _| (flags & libc::O_CREAT != 0).then(|| disk_failing(process, "open64")).flatten());

in_front_of!(c"clock_gettime", clock_gettime(clock: c_uint, time: *mut libc::timespec) -> c_int,
|process, clock, time| {
    let off_ms = match clock as c_int {
        libc::CLOCK_REALTIME if !process.plan.clock.is_empty() => process.plan.clock_off_ms(process.age()),
        _ => return None,
    };
    // SAFETY: the system call fills the caller's structure, which is then the caller's still.
    unsafe {
        let result = libc::syscall(libc::SYS_clock_gettime, clock, time) as c_int;
        if result == 0 {
            (*time).tv_sec += off_ms.div_euclid(1000);
            (*time).tv_nsec += off_ms.rem_euclid(1000) * 1_000_000;
            if (*time).tv_nsec >= 1_000_000_000 {
                (*time).tv_sec += 1;
                (*time).tv_nsec -= 1_000_000_000;
            }
        }
        Some(result)
    }
});
