//! The C library's own calls, behind those of this library, and the system calls for the log.

use libc::{c_char, c_int, c_void};
use std::ffi::CStr;
use std::sync::atomic::{AtomicPtr, Ordering};

/// A function of the C library, looked up once.
pub struct Real {
    name: &'static CStr,
    found: AtomicPtr<c_void>,
}

impl Real {
    pub const fn new(name: &'static CStr) -> Self {
        Real { name, found: AtomicPtr::new(std::ptr::null_mut()) }
    }

    /// Its address; the process can't go on where there is none.
    pub fn address(&self) -> *mut c_void {
        let known = self.found.load(Ordering::Relaxed);
        if !known.is_null() {
            return known;
        }
        // SAFETY: the name is a C string that lives as long as the program.
        let found = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr()) };
        if found.is_null() {
            std::process::abort();
        }
        self.found.store(found, Ordering::Relaxed);
        found
    }
}

/// Sets `errno` and gives what a failed call returns.
pub fn fail(error: c_int) -> c_int {
    // SAFETY: the C library gives the address of this thread's own errno.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// Opens the log by a system call of its own, so that no injected fault hits it.
pub fn open_log(path: &CStr) -> Option<c_int> {
    let flags = libc::O_WRONLY | libc::O_CREAT | libc::O_APPEND | libc::O_CLOEXEC;
    let path: *const c_char = path.as_ptr();
    // SAFETY: the path is a C string that lives through the call; the others are plain numbers.
    let opened = unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, flags, 0o644) };
    c_int::try_from(opened).ok().filter(|descriptor| *descriptor >= 0)
}

/// Writes a line to the log; what can't be written is lost.
pub fn write_log(descriptor: c_int, line: &str) {
    // SAFETY: the bytes live through the call, and their number is theirs.
    unsafe { libc::syscall(libc::SYS_write, descriptor, line.as_ptr(), line.len()) };
}

/// Whether a descriptor is a regular file; errors and all else are not.
pub fn is_file(descriptor: c_int) -> bool {
    let mut data = std::mem::MaybeUninit::<libc::stat>::zeroed();
    // SAFETY: the structure is large enough, and zero where the call fails.
    let data = unsafe {
        libc::fstat(descriptor, data.as_mut_ptr());
        data.assume_init()
    };
    data.st_mode & libc::S_IFMT == libc::S_IFREG
}

/// Ends a connection both ways, as the system has ended one that it reports as broken.
pub fn end(descriptor: c_int) {
    // SAFETY: plain numbers; on anything but a socket the call fails.
    unsafe { libc::shutdown(descriptor, libc::SHUT_RDWR) };
}
