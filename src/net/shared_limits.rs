//! Divides the limits of a sidecar among its processes while a successor takes over, by what each of them really holds:
//! the newest may take what the others have given back. No I/O: the caller measures, and publishes the records.
//!
//! Each process publishes the most that it takes, its claim. Once it knows of a newer process its claim only falls, to what it
//! holds and, while it still serves, half of what was unused as it learned of the newer one. The newest has what
//! these claims leave. So the sum stays within the limits, however late either learns of the other's state.

use super::budget::Allowance;
use super::hot_restart::ProcessRecord;

/// The part of the memory limit that all processes together may take, as 1/`PARTS`.
const OVERLAP_PARTS: usize = 28;
/// What the memory of a process that ends may still grow by, as 1/`PARTS` of the limit.
const ENDING_PARTS: usize = 1;
const PARTS: usize = 32;
/// The part of the reserve of sockets that each of several processes counts, as 1/`RESERVE_PARTS`: enough for what is always
/// open and for clients that are accepted only to be refused.
const RESERVE_PARTS: usize = 2;

/// The limits of the whole sidecar.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Memory, in KiB.
    pub memory_kib: usize,
    /// The part of it that is counted by permits, in KiB.
    pub permits_kib: usize,
    /// Sockets for clients and endpoints of a process that is alone.
    pub sockets: usize,
    /// Sockets that a process that is alone has in reserve for all else.
    pub reserved_sockets: usize,
}

/// What this process holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Memory, in KiB.
    pub memory_kib: usize,
    /// The most that the permits in use may take of it, in KiB.
    pub permits_kib: usize,
    /// Sockets of clients and endpoints.
    pub sockets: usize,
    /// It is shutting down: it takes no new clients.
    pub ending: bool,
}

/// An amount of memory and sockets.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Amount {
    memory_kib: usize,
    sockets: usize,
}

impl Amount {
    fn min(self, other: Amount) -> Amount {
        Amount {
            memory_kib: self.memory_kib.min(other.memory_kib),
            sockets: self.sockets.min(other.sockets),
        }
    }

    fn plus(self, other: Amount) -> Amount {
        Amount { memory_kib: self.memory_kib + other.memory_kib, sockets: self.sockets + other.sockets }
    }

    fn less(self, other: Amount) -> Amount {
        Amount {
            memory_kib: self.memory_kib.saturating_sub(other.memory_kib),
            sockets: self.sockets.saturating_sub(other.sockets),
        }
    }

    fn max(self, other: Amount) -> Amount {
        Amount {
            memory_kib: self.memory_kib.max(other.memory_kib),
            sockets: self.sockets.max(other.sockets),
        }
    }

    fn half(self) -> Amount {
        Amount { memory_kib: self.memory_kib / 2, sockets: self.sockets / 2 }
    }
}

/// What a process claims once it knows of a newer one.
#[derive(Clone, Copy, Debug)]
struct Claim {
    amount: Amount,
    /// What it may take beyond what it holds.
    headroom: Amount,
}

/// One process's view of how the limits are divided.
pub struct SharedLimits {
    limits: Limits,
    rank: u64,
    /// Memory of the process when it last held no permits, in KiB.
    initial_kib: usize,
    /// None while there is no newer process.
    claim: Option<Claim>,
}

impl SharedLimits {
    /// The view of a process of this rank that has not served yet.
    pub fn new(limits: Limits, rank: u64) -> Self {
        SharedLimits { limits, rank, initial_kib: 0, claim: None }
    }

    /// Records the memory of this process before it serves, in KiB.
    pub fn set_initial(&mut self, initial_kib: usize) {
        self.initial_kib = initial_kib;
    }

    /// Whether all other processes reckon with this one.
    pub fn is_known_to(&self, others: &[Option<ProcessRecord>]) -> bool {
        others.iter().flatten().all(|record| self.is_known_to_process(record))
    }

    fn is_known_to_process(&self, record: &ProcessRecord) -> bool {
        record.known_rank >= self.rank || record.rank > self.rank
    }

    /// What this process may use beside the others, and what it publishes. A process without a record is of a program that
    /// divides the limits equally.
    pub fn divide(&mut self, usage: Usage, others: &[Option<ProcessRecord>]) -> (Allowance, ProcessRecord) {
        if usage.permits_kib == 0 {
            self.initial_kib = usage.memory_kib;
        }
        let held = self.held(usage);
        let newest_rank = others.iter().flatten().map(|record| record.rank).max().unwrap_or(0);
        let left = self.together().less(self.claims_of(others));
        let amount = if newest_rank > self.rank {
            self.lower_claim(held, left, usage.ending)
        } else {
            self.claim = None;
            left
        };
        let record = self.record(amount.max(held), newest_rank);
        (self.allowance(amount, usage), record)
    }

    /// What this process has, and publishes, while it is alone.
    pub fn whole(&mut self) -> (Allowance, ProcessRecord) {
        self.claim = None;
        let allowance = Allowance { memory_share: 1.0, sockets: self.limits.sockets };
        (allowance, self.record(Amount { memory_kib: 0, sockets: 0 }, self.rank))
    }

    /// What all processes together may take.
    fn together(&self) -> Amount {
        Amount {
            memory_kib: self.limits.memory_kib * OVERLAP_PARTS / PARTS,
            sockets: self.limits.sockets + self.limits.reserved_sockets,
        }
    }

    /// Sockets that this process has in reserve beside others.
    fn reserve(&self) -> usize {
        self.limits.reserved_sockets / RESERVE_PARTS
    }

    /// Memory of the process without its permits.
    fn base_kib(&self, usage: Usage) -> usize {
        self.initial_kib.max(usage.memory_kib.saturating_sub(usage.permits_kib))
    }

    /// The most that the process takes if it takes nothing new.
    fn held(&self, usage: Usage) -> Amount {
        Amount {
            memory_kib: usage.memory_kib.max(self.base_kib(usage) + usage.permits_kib),
            sockets: usage.sockets + self.reserve(),
        }
    }

    fn lower_claim(&mut self, held: Amount, left: Amount, ending: bool) -> Amount {
        let mut claim = self.claim.unwrap_or_else(|| {
            let headroom = left.less(held).half();
            Claim { amount: held.plus(headroom), headroom }
        });
        if ending {
            // Requests that it has taken and not sent yet have their memory, and need sockets.
            let memory_kib = self.limits.memory_kib * ENDING_PARTS / PARTS;
            claim.headroom.memory_kib = claim.headroom.memory_kib.min(memory_kib);
        }
        claim.amount = claim.amount.min(held.plus(claim.headroom));
        self.claim = Some(claim);
        claim.amount
    }

    /// What other processes take at most, as far as it is known.
    fn claims_of(&self, others: &[Option<ProcessRecord>]) -> Amount {
        let everything = self.together();
        let claim_of = |record: &Option<ProcessRecord>| match record {
            Some(record) if self.is_known_to_process(record) => {
                Amount { memory_kib: record.memory_kib, sockets: record.sockets }
            }
            Some(_) => everything, // it has not lowered its claim yet
            None => everything.half(),
        };
        others.iter().map(claim_of).fold(Amount { memory_kib: 0, sockets: 0 }, Amount::plus)
    }

    fn allowance(&self, amount: Amount, usage: Usage) -> Allowance {
        let for_permits = amount.memory_kib.saturating_sub(self.base_kib(usage));
        let all_sockets = self.limits.sockets;
        let sockets = amount.sockets.saturating_sub(self.reserve());
        // The reserves of several processes are never used up together.
        let min_sockets = self.reserve().min(all_sockets / 2);
        Allowance {
            memory_share: (for_permits as f64 / self.limits.permits_kib as f64).min(1.0),
            sockets: sockets.clamp(min_sockets, all_sockets),
        }
    }

    fn record(&self, amount: Amount, newest_rank: u64) -> ProcessRecord {
        let Amount { memory_kib, sockets } = amount;
        ProcessRecord { rank: self.rank, known_rank: newest_rank.max(self.rank), memory_kib, sockets }
    }
}

#[cfg(test)]
mod tests;
