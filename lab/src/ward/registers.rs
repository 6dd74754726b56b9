//! The registers of a thread that is stopped at the beginning or the end of a system call: all that differs between
//! the processors that the tracer supports.

use nix::errno::Errno;
use nix::libc::user_regs_struct;
use nix::sys::ptrace;
use nix::unistd::Pid;

#[cfg(not(any(target_arch = "x86_64", target_arch = "aarch64")))]
compile_error!("gullpulley-lab-ward traces system calls on x86-64 and on arm64 only");

/// The registers of a stopped thread.
pub struct Registers(user_regs_struct);

impl Registers {
    /// Reads the registers of a stopped thread.
    ///
    /// # Errors
    /// Those of `ptrace`, for example if the thread has just been killed.
    pub fn read(pid: Pid) -> Result<Self, Errno> {
        ptrace::getregs(pid).map(Registers)
    }
}

#[cfg(target_arch = "x86_64")]
mod processor {
    use super::{Errno, Pid, Registers, ptrace};
    use nix::libc;

    /// The numbers of `open` and `creat`.
    pub const SYS_OPEN: Option<i64> = Some(libc::SYS_open);
    pub const SYS_CREAT: Option<i64> = Some(libc::SYS_creat);

    impl Registers {
        /// The number of the system call.
        pub fn call_number(&self) -> i64 {
            self.0.orig_rax as i64
        }

        /// The arguments of the system call.
        pub fn arguments(&self) -> [u64; 6] {
            [self.0.rdi, self.0.rsi, self.0.rdx, self.0.r10, self.0.r8, self.0.r9]
        }

        /// The result, at the end of the system call.
        pub fn result(&self) -> i64 {
            self.0.rax as i64
        }

        /// Makes the system call that is about to begin do nothing.
        ///
        /// # Errors
        /// Those of `ptrace`.
        pub fn suppress_call(&mut self, pid: Pid) -> Result<(), Errno> {
            self.0.orig_rax = u64::MAX; // there is no such call
            ptrace::setregs(pid, self.0)
        }

        /// Replaces the result of the system call that has ended.
        ///
        /// # Errors
        /// Those of `ptrace`.
        pub fn set_result(&mut self, pid: Pid, result: i64) -> Result<(), Errno> {
            self.0.rax = result as u64;
            ptrace::setregs(pid, self.0)
        }
    }
}

#[cfg(target_arch = "aarch64")]
mod processor {
    use super::{Errno, Pid, Registers, ptrace};

    /// The register with the number of the system call.
    const NUMBER: usize = 8;
    /// The register with the first argument, and with the result at the end of the call.
    const RESULT: usize = 0;

    /// Programs call `openat` in place of `open` and `creat`.
    pub const SYS_OPEN: Option<i64> = None;
    pub const SYS_CREAT: Option<i64> = None;

    impl Registers {
        /// The number of the system call.
        pub fn call_number(&self) -> i64 {
            self.0.regs[NUMBER] as i64
        }

        /// The arguments of the system call, at its beginning only.
        pub fn arguments(&self) -> [u64; 6] {
            std::array::from_fn(|index| self.0.regs[index])
        }

        /// The result, at the end of the system call.
        pub fn result(&self) -> i64 {
            self.0.regs[RESULT] as i64
        }

        /// Makes a system call on a descriptor, which is about to begin, do nothing. Its number can't be changed through
        /// the general registers, so it gets a descriptor that is never open.
        ///
        /// # Errors
        /// Those of `ptrace`.
        pub fn suppress_call(&mut self, pid: Pid) -> Result<(), Errno> {
            self.0.regs[RESULT] = u64::MAX;
            ptrace::setregs(pid, self.0)
        }

        /// Replaces the result of the system call that has ended.
        ///
        /// # Errors
        /// Those of `ptrace`.
        pub fn set_result(&mut self, pid: Pid, result: i64) -> Result<(), Errno> {
            self.0.regs[RESULT] = result as u64;
            ptrace::setregs(pid, self.0)
        }
    }
}

pub use processor::{SYS_CREAT, SYS_OPEN};
