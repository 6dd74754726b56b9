//! The system calls that change a folder, told apart by their numbers on x86-64.

use nix::libc::{self, user_regs_struct};

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
pub fn entered(regs: &user_regs_struct) -> Option<Call> {
    let fd = regs.rdi as i32;
    match regs.orig_rax as i64 {
        libc::SYS_pwrite64 | libc::SYS_pwritev => Some(Call::WriteAt(fd, regs.r10)),
        libc::SYS_write | libc::SYS_writev => Some(Call::Write(fd)),
        libc::SYS_ftruncate => Some(Call::Truncate(fd, regs.rsi)),
        libc::SYS_fallocate if regs.rsi == 0 => Some(Call::Allocate(fd, regs.rdx.saturating_add(regs.r10))),
        libc::SYS_fsync | libc::SYS_fdatasync => Some(Call::Sync(fd)),
        libc::SYS_openat => Some(Call::Open(regs.rdx as i32 & libc::O_TRUNC != 0)),
        libc::SYS_open => Some(Call::Open(regs.rsi as i32 & libc::O_TRUNC != 0)),
        libc::SYS_creat => Some(Call::Open(true)),
        libc::SYS_mmap if maps_for_writing(regs) => Some(Call::Unseen(regs.r8 as i32)),
        libc::SYS_pwritev2 | libc::SYS_fallocate => Some(Call::Unseen(fd)),
        libc::SYS_copy_file_range => Some(Call::Unseen(regs.rdx as i32)),
        libc::SYS_sendfile => Some(Call::Unseen(fd)),
        _ => None,
    }
}

fn maps_for_writing(regs: &user_regs_struct) -> bool {
    regs.rdx as i32 & libc::PROT_WRITE != 0 && regs.r10 as i32 & libc::MAP_SHARED != 0
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
