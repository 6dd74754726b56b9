//! Unit tests of the division of the limits.

use super::*;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const LIMITS: Limits =
    Limits { memory_kib: 32 * 1024, permits_kib: 27 * 1024, sockets: 950, reserved_sockets: 74 };
/// What all processes together may take, in KiB.
const TOGETHER_KIB: usize = 28 * 1024;
const BASE_KIB: usize = 1500;
/// Looks at the others are so many steps apart at most.
const MAX_STALENESS: u32 = 4;

fn between(random: &mut Pcg32, low: usize, high: usize) -> usize {
    low + random.next_u32() as usize % (high - low + 1)
}

/// A process that takes all that it may, and gives back only at times.
struct Process {
    limits: SharedLimits,
    allowance: Allowance,
    published: ProcessRecord,
    permits_kib: usize,
    memory_kib: usize,
    sockets: usize,
    ending: bool,
    next_look: u32,
}

impl Process {
    fn new(rank: u64) -> Self {
        let mut limits = SharedLimits::new(LIMITS, rank);
        limits.set_initial(BASE_KIB);
        let (allowance, published) = limits.whole();
        let published = ProcessRecord { memory_kib: BASE_KIB, ..published };
        Process {
            limits,
            allowance,
            published,
            permits_kib: 0,
            memory_kib: BASE_KIB,
            sockets: 0,
            ending: false,
            next_look: 0,
        }
    }

    fn look(&mut self, others: &[Option<ProcessRecord>]) {
        let Process { permits_kib, memory_kib, sockets, ending, .. } = *self;
        (self.allowance, self.published) = match others.is_empty() {
            true => self.limits.whole(),
            false => self.limits.divide(Usage { memory_kib, permits_kib, sockets, ending }, others),
        };
    }

    fn work(&mut self, random: &mut Pcg32) {
        let allowed = (LIMITS.permits_kib as f64 * self.allowance.memory_share) as usize;
        if !self.ending {
            self.permits_kib = self.permits_kib.max(allowed * between(random, 0, 8) / 8);
            self.sockets = self.sockets.max(self.allowance.sockets * between(random, 0, 8) / 8);
        }
        // What was given a permit takes its memory later, and frees some of it later still.
        let wanted = BASE_KIB + self.permits_kib;
        self.memory_kib = self.memory_kib.max(wanted * between(random, 4, 8) / 8);
        if between(random, 0, 3) == 0 {
            self.permits_kib = self.permits_kib * between(random, 3, 8) / 8;
            self.sockets = self.sockets * between(random, 3, 8) / 8;
        }
        if between(random, 0, 3) == 0 {
            self.memory_kib =
                (BASE_KIB + self.permits_kib).max(self.memory_kib * between(random, 5, 8) / 8);
        }
    }
}

/// Equal halves let the new process take what the old one still held.
#[test]
fn all_processes_together_stay_within_the_limits_however_late_they_look_at_each_other() {
    for seed in 0..200 {
        let random = &mut Pcg32::seed_from_u64(seed);
        let mut processes = vec![Process::new(1)];
        let mut memory_limit = LIMITS.memory_kib;
        for step in 0..400 {
            if step % 100 == 50 {
                processes.push(Process::new(step + 2));
            }
            let newest = processes[processes.len() - 1].limits.rank;
            let all_know = processes.len() > 1
                && processes.iter().all(|process| process.published.known_rank >= newest);
            let count = processes.len();
            for at in 0..count {
                let others: Vec<_> = (0..count).filter(|other| *other != at).collect();
                let records: Vec<_> =
                    others.into_iter().map(|other| Some(processes[other].published)).collect();
                let process = &mut processes[at];
                if process.next_look <= step as u32 {
                    process.next_look = step as u32 + between(random, 1, MAX_STALENESS as usize) as u32;
                    process.look(&records);
                }
                // A process serves once the others reckon with it.
                if process.limits.is_known_to(&records) {
                    process.work(random);
                }
                process.ending = at + 1 < count && step % 100 > 70;
            }
            if !all_know {
                // What the older one takes until it knows of the new one is taken.
                let held = |process: &Process| {
                    let permits_kib = BASE_KIB + process.permits_kib;
                    process.memory_kib.max(permits_kib).max(process.published.memory_kib)
                };
                memory_limit = TOGETHER_KIB.max(processes.iter().map(held).sum());
            }
            let memory: usize = processes.iter().map(|process| process.memory_kib).sum();
            let sockets: usize = processes.iter().map(|process| process.sockets).sum();
            let state = || {
                processes.iter().map(|process| {
                    (process.memory_kib, process.permits_kib, process.published, process.allowance)
                })
            };
            let within = memory <= memory_limit && memory <= LIMITS.memory_kib;
            assert!(within, "{seed}: {memory} at {step}: {:#?}", state().collect::<Vec<_>>());
            let socket_limit = LIMITS.sockets + LIMITS.reserved_sockets / 2;
            assert!(sockets <= socket_limit, "{seed}: {sockets} at {step}");
            if step % 100 == 40 && processes.len() > 1 {
                processes.drain(..processes.len() - 1);
            }
        }
    }
}

#[test]
fn the_newest_process_gets_what_the_others_give_back() {
    let (mut old, mut new) = (Process::new(1), Process::new(2));
    (old.permits_kib, old.memory_kib) = (20 * 1024, 20 * 1024 + BASE_KIB);
    old.sockets = LIMITS.sockets;
    old.look(&[Some(new.published)]);
    new.look(&[Some(old.published)]);
    let at_first = new.allowance.memory_share;
    old.ending = true;
    (old.permits_kib, old.memory_kib) = (5 * 1024, 5 * 1024 + BASE_KIB);
    old.sockets -= 250;
    old.look(&[Some(new.published)]);
    new.look(&[Some(old.published)]);
    // Each process once counted the whole reserve for itself, though only one of them can use it up.
    assert!(new.allowance.sockets > 220, "{:?}", new.allowance);
    assert!(at_first < 0.2 && new.allowance.memory_share > 0.6, "{at_first}, {:?}", new.allowance);
    // A program that publishes nothing keeps to half.
    new.look(&[None]);
    assert!((0.3..0.5).contains(&new.allowance.memory_share), "{:?}", new.allowance);
}
