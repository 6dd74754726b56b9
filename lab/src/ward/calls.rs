//! The system calls that change a folder, told apart by their numbers.

use crate::registers::{Registers, SYS_CREAT, SYS_OPEN};
use nix::libc;

/// A call that matters, and the descriptor that it is about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Call {
    /// Bytes at a stated place.
    WriteAt(i32, u64),
    /// Bytes where the descriptor stands, or at the file's end.
    Write(i32),
    /// Another length.
    Truncate(i32, u64),
    /// Room for so many bytes from the start.
    Allocate(i32, u64),
    /// What was written is to be durable.
    Sync(i32),
    /// A file is opened; whether it is cut to nothing thereby.
    Open(bool),
    /// Changes that can't be followed: a file mapped for writing, or copied within the system.
    Unseen(i32),
}

/// The call that a thread is entering; none that does not matter.
pub fn entered(registers: &Registers) -> Option<Call> {
    let arguments = registers.arguments();
    let [first, second, third, fourth, fifth, _] = arguments;
    let fd = first as i32;
    match registers.call_number() {
        libc::SYS_pwrite64 | libc::SYS_pwritev => Some(Call::WriteAt(fd, fourth)),
        libc::SYS_write | libc::SYS_writev => Some(Call::Write(fd)),
        libc::SYS_ftruncate => Some(Call::Truncate(fd, second)),
        libc::SYS_fallocate if second == 0 => Some(Call::Allocate(fd, third.saturating_add(fourth))),
        libc::SYS_fsync | libc::SYS_fdatasync => Some(Call::Sync(fd)),
        libc::SYS_openat => Some(Call::Open(third as i32 & libc::O_TRUNC != 0)),
        libc::SYS_mmap if maps_for_writing(arguments) => Some(Call::Unseen(fifth as i32)),
        libc::SYS_pwritev2 | libc::SYS_fallocate => Some(Call::Unseen(fd)),
        libc::SYS_copy_file_range => Some(Call::Unseen(third as i32)),
        libc::SYS_sendfile => Some(Call::Unseen(fd)),
        number if SYS_OPEN == Some(number) => Some(Call::Open(second as i32 & libc::O_TRUNC != 0)),
        number if SYS_CREAT == Some(number) => Some(Call::Open(true)),
        _ => None,
    }
}

fn maps_for_writing([_, _, protection, flags, ..]: [u64; 6]) -> bool {
    protection as i32 & libc::PROT_WRITE != 0 && flags as i32 & libc::MAP_SHARED != 0
}

impl Call {
    /// The descriptor that it is about, once it is there.
    pub fn fd(self) -> Option<i32> {
        match self {
            Call::WriteAt(fd, _)
            | Call::Write(fd)
            | Call::Truncate(fd, _)
            | Call::Allocate(fd, _)
            | Call::Sync(fd)
            | Call::Unseen(fd) => Some(fd),
            Call::Open(_) => None,
        }
    }
}
