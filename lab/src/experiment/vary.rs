//! Deployments and injected faults drawn from a seed, for a soak.

use super::{ClockStep, Experiment, Group, Inject, Repeats, WhileDown, Window};
use crate::seeds::{Part, draws};
use rand::Rng;
use rand::seq::IndexedRandom;
use std::time::Duration;

/// Copies of one zone at most.
const COPIES_MOST: usize = 10;
/// Deadlines lie in this range.
const DEADLINE_MS: std::ops::Range<u64> = 600..3000;
/// Windows in which repeats are known lie in this range.
const WINDOW_MS: std::ops::Range<u64> = 300..3000;
/// Few descriptors, and as many as usual.
const SOCKETS: [i64; 3] = [128, 256, 1024];
/// How far a wall clock is stepped.
const STEPS: [Duration; 4] =
    [Duration::from_secs(3), Duration::from_secs(9), Duration::from_secs(60), Duration::from_secs(3600)];
/// Steps of a process's clock at most, and times in which its disk fails.
const CLOCK_STEPS_MOST: usize = 3;
const DISK_WINDOWS_MOST: usize = 2;
/// The disk fails for no longer than this.
const DISK_FAILS_MS: std::ops::Range<u64> = 300..2500;

impl Experiment {
    /// Draws the deployment anew around what the file says: the load for each copy stays the same.
    pub(super) fn vary(&mut self, seed: u64) {
        let mut draws = draws(seed, Part::Deployment, 0);
        let before: usize = self.zone.iter().map(|zone| zone.copies).sum();
        for zone in &mut self.zone {
            zone.copies = draws.random_range(1..=COPIES_MOST);
        }
        let now: usize = self.zone.iter().map(|zone| zone.copies).sum();
        self.load.rate *= (now as f64 / before.max(1) as f64).min(2.0);
        for class in &mut self.class {
            class.repeats = *[Repeats::Safe, Repeats::Keyed, Repeats::Never]
                .choose(&mut draws)
                .unwrap_or(&class.repeats);
            class.group =
                *[Group::All, Group::Zone, Group::Cell].choose(&mut draws).unwrap_or(&class.group);
            class.deadline = Duration::from_millis(draws.random_range(DEADLINE_MS));
            class.wanted = class.deadline / 2;
            class.window = Duration::from_millis(draws.random_range(WINDOW_MS));
        }
        let discovery = &mut self.discovery;
        discovery.indented = draws.random();
        discovery.pieces = if draws.random() { draws.random_range(5..80) } else { 0 };
        let while_down = [WhileDown::Refused, WhileDown::Waits, WhileDown::RefusesConnections];
        discovery.while_down = *while_down.choose(&mut draws).unwrap_or(&discovery.while_down);
        let mode = if draws.random() { "watch" } else { "ask" };
        self.set_of_copies("discovery", "mode", mode.into());
        let sockets = *SOCKETS.choose(&mut draws).unwrap_or(&SOCKETS[0]);
        self.set_of_copies("process", "sockets", sockets.into());
    }

    fn set_of_copies(&mut self, section: &str, key: &str, value: toml::Value) {
        let section = self.copy.entry(section).or_insert_with(|| toml::Table::new().into());
        if let Some(section) = section.as_table_mut() {
            section.insert(key.to_owned(), value);
        }
    }
}

impl Inject {
    /// What is injected in the schedule of a seed: about half of the kinds of faults, each in a part of its own.
    pub(super) fn drawn(seed: u64, lasts: Duration) -> Self {
        let mut draws = draws(seed, Part::Injected, u64::MAX);
        let mut part = |most: f64| if draws.random() { draws.random_range(0.0..most) } else { 0.0 };
        let mut inject = Inject {
            accept: part(0.2),
            socket: part(0.03),
            connect: part(0.06),
            wait: part(0.1),
            short_read: part(0.2),
            short_write: part(0.2),
            broken: part(0.002),
            hold_up: part(0.001),
            ..Inject::default()
        };
        let at = |draws: &mut rand_pcg::Pcg64| lasts.mul_f64(draws.random_range(0.0..0.9));
        for _ in 0..draws.random_range(0..=CLOCK_STEPS_MOST) {
            let by = *STEPS.choose(&mut draws).unwrap_or(&STEPS[0]);
            let (forward, back) = if draws.random() { (by, Duration::ZERO) } else { (Duration::ZERO, by) };
            inject.clock.push(ClockStep { at: at(&mut draws), forward, back });
        }
        for _ in 0..draws.random_range(0..=DISK_WINDOWS_MOST) {
            let lasts = Duration::from_millis(draws.random_range(DISK_FAILS_MS));
            inject.disk.push(Window { at: at(&mut draws), lasts });
        }
        inject
    }
}
