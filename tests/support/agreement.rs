//! A fleet's log in made time: processes with disks of their own on a network that delays, loses and cuts, each way by
//! itself. Each step is checked: whoever is at one index has the same state, and what a disk holds is no contradiction.

#![allow(dead_code)] // each test uses a part

use gullpulley::fleet::log::{Log, Outcome, Output, ProposeError, Put, Role, Settings, Status};
use gullpulley::state::persisted::{Change, Identity, PersistedState};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

pub const ROUND_TRIP: Duration = Duration::from_millis(25);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn name(number: usize) -> String {
    format!("copy-{number}")
}

/// One process and its disk, which outlives it.
pub struct Place {
    pub log: Option<Log>,
    id: u64,
    disk: PersistedState,
    /// What is being written, and when it will be durable.
    writing: VecDeque<(Duration, u64, Vec<Change>)>,
    pub disk_stalled_until: Duration,
    lives: u64,
}

/// An order, from when it was given until its outcome was told.
#[derive(Clone, Debug)]
pub struct Given {
    pub at: Duration,
    pub by: usize,
    life: u64,
    number: u64,
    pub ended: Option<(Duration, Outcome)>,
}

type Flight = (Duration, u64, usize, Vec<u8>);

pub struct Net {
    pub now: Duration,
    pub places: Vec<Place>,
    pub voters: usize,
    pub loss: f64,
    pub passes: Box<dyn Fn(usize, usize) -> bool>,
    pub given: Vec<Given>,
    flying: BinaryHeap<Reverse<Flight>>,
    order: u64,
    ids: u64,
    states: HashMap<u64, u32>,
    pub draws: Pcg32,
    seed: u64,
    /// Of all that was sent: equal in equal plays.
    pub digest: u32,
    /// What happened, a line each.
    pub lines: Vec<String>,
    told: BTreeMap<usize, String>,
}

impl Net {
    /// So many voters and others that follow; none runs yet.
    pub fn new(voters: usize, others: usize, seed: u64) -> Self {
        let mut net = Net {
            now: Duration::ZERO,
            places: Vec::new(),
            voters,
            loss: 0.0,
            passes: Box::new(|_, _| true),
            given: Vec::new(),
            flying: BinaryHeap::new(),
            order: 0,
            ids: 0,
            states: HashMap::new(),
            draws: Pcg32::seed_from_u64(seed),
            seed,
            digest: 0,
            lines: Vec::new(),
            told: BTreeMap::new(),
        };
        for _ in 0..voters + others {
            net.places.push(Place {
                log: None,
                id: 0,
                disk: PersistedState::default(),
                writing: VecDeque::new(),
                disk_stalled_until: Duration::ZERO,
                lives: 0,
            });
        }
        (0..voters + others).for_each(|number| net.wipe(number));
        net
    }

    /// All run, and have a log.
    pub fn founded(voters: usize, others: usize, seed: u64) -> Self {
        let mut net = Net::new(voters, others, seed);
        (0..voters + others).for_each(|number| net.start(number));
        let agreed =
            net.until(ms(5000), |net| net.leader().is_some() && net.running().all(|(_, v)| v.log_id > 0));
        assert!(agreed.is_some(), "no log 5 s after the start: {:?}", net.views());
        net
    }

    pub fn uniform(&mut self) -> f64 {
        f64::from(self.draws.next_u32()) / 4_294_967_296.0
    }

    pub fn below(&mut self, bound: usize) -> usize {
        (self.uniform() * bound as f64) as usize
    }

    /// Its folder is empty, as a new one is.
    pub fn wipe(&mut self, number: usize) {
        assert!(self.places[number].log.is_none());
        self.ids += 1;
        let place = &mut self.places[number];
        place.id = 1000 * self.ids + number as u64 + 1;
        let identity = Identity { folder: u128::from(place.id), name: name(number), incarnation: 1 };
        place.disk = PersistedState { identity: Some(identity), ..PersistedState::default() };
    }

    pub fn start(&mut self, number: usize) {
        let voters = (0..self.voters).map(name).collect();
        let place = &mut self.places[number];
        place.lives += 1;
        let settings = Settings {
            cluster: "made".to_owned(),
            name: name(number),
            id: place.id,
            client: u128::from(place.lives) << 32 | number as u128,
            voters,
            round_trip: ROUND_TRIP,
            seed: self.seed ^ place.lives << 32,
        };
        place.log = Some(Log::new(settings, &place.disk, self.now).unwrap());
    }

    /// Its power is cut: what was not durable is gone.
    pub fn kill(&mut self, number: usize) {
        let place = &mut self.places[number];
        place.log = None;
        place.writing.clear();
    }

    /// Gives an order at a process; which it is.
    pub fn order(&mut self, number: usize, put: Put) -> Result<usize, ProposeError> {
        let mut out = Vec::new();
        let log = self.places[number].log.as_mut().unwrap();
        let numbered = log.propose(self.now, put, &mut out)?;
        let life = self.places[number].lives;
        self.given.push(Given { at: self.now, by: number, life, number: numbered, ended: None });
        self.carry_out(number, out);
        Ok(self.given.len() - 1)
    }

    /// Sets a cell to its order's number, whatever it holds.
    pub fn set(&mut self, number: usize, cell: &str) -> usize {
        let bytes = Some(self.given.len().to_le_bytes().to_vec());
        self.order(number, Put { key: cell.to_owned(), bytes, expected: None }).unwrap()
    }

    pub fn run(&mut self, lasts: Duration) {
        let until = self.now + lasts;
        loop {
            let flight = self.flying.peek().map_or(Duration::MAX, |Reverse((at, ..))| *at);
            let first = |found: &Place| found.writing.front().map_or(Duration::MAX, |(at, ..)| *at);
            let written = self.places.iter().map(first).min().unwrap();
            let tick = self.places.iter().filter_map(|place| Some(place.log.as_ref()?.due())).min();
            let next = flight.min(written).min(tick.unwrap_or(Duration::MAX));
            if next > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next);
            let (mut out, now) = (Vec::new(), self.now);
            let number = if written <= next {
                let number = self.places.iter().position(|place| first(place) <= next).unwrap();
                let place = &mut self.places[number];
                let Some((_, batch, changes)) = place.writing.pop_front() else { return };
                changes.into_iter().for_each(|change| place.disk.apply(change));
                assert_eq!(place.disk.check(), Ok(()), "{number} at {now:?}");
                if let Some(log) = &mut place.log {
                    log.durable(now, batch, &mut out);
                }
                number
            } else if flight <= next {
                let Some(Reverse((_, _, to, frame))) = self.flying.pop() else { return };
                if let Some(log) = &mut self.places[to].log {
                    log.receive(now, &frame, &mut out);
                }
                to
            } else {
                let due = |place: &Place| place.log.as_ref().is_some_and(|log| log.due() <= next);
                let number = self.places.iter().position(due).unwrap();
                self.places[number].log.as_mut().unwrap().tick(now, &mut out);
                number
            };
            self.carry_out(number, out);
        }
    }

    /// Runs until this holds; the time that took, none if it never came.
    pub fn until(&mut self, most: Duration, holds: impl Fn(&Net) -> bool) -> Option<Duration> {
        let began = self.now;
        while self.now - began <= most {
            if holds(self) {
                return Some(self.now - began);
            }
            self.run(ms(10));
        }
        None
    }

    pub fn running(&self) -> impl Iterator<Item = (usize, Status)> {
        let logs = self.places.iter().enumerate();
        logs.filter_map(|(number, place)| Some((number, place.log.as_ref()?.status())))
    }

    pub fn views(&self) -> BTreeMap<usize, Status> {
        self.running().collect()
    }

    pub fn view(&self, number: usize) -> Status {
        self.places[number].log.as_ref().unwrap().status()
    }

    /// Who leads, and is known to more than half of the voters to do so.
    pub fn leader(&self) -> Option<usize> {
        let views = self.views();
        let leads = |(number, view): (&usize, &Status)| (view.role == Role::Leader).then_some(*number);
        views.iter().filter_map(leads).find(|leader| {
            let followed = views.values().filter(|view| view.leader.as_deref() == Some(&name(*leader)));
            followed.count() * 2 > self.voters
        })
    }

    /// All orders have come to an end.
    pub fn all_ended(&self) -> bool {
        self.given.iter().all(|given| given.ended.is_some())
    }

    /// What a cell holds at each that runs.
    pub fn cells(&self, cell: &str) -> Vec<Option<Vec<u8>>> {
        let logs = self.places.iter().filter_map(|place| place.log.as_ref());
        logs.map(|log| log.state().and_then(|agreed| agreed.get(cell)).map(|value| value.bytes.clone()))
            .collect()
    }

    /// The orders that ended came one after another: whatever was confirmed before another was given stands before it.
    /// With one state at each index that is all that linearizable means here.
    pub fn check_order(&self) {
        let mut done: Vec<(u64, Duration, Duration)> = Vec::new();
        for given in &self.given {
            if let Some((ended, Outcome::Done(index))) = given.ended {
                done.push((index, given.at, ended));
            }
        }
        done.sort_unstable();
        assert!(done.windows(2).all(|pair| pair[0].0 < pair[1].0), "two orders at one index");
        let mut latest = Duration::ZERO;
        for (index, given, ended) in done {
            // Nothing at a lower index may have been given after this one had ended.
            assert!(
                latest <= ended,
                "index {index}: one before it was given only at {latest:?}, after {ended:?}"
            );
            latest = latest.max(given);
        }
    }

    fn carry_out(&mut self, number: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send(to, frame) => {
                    self.digest = crc32fast::hash(&[&self.digest.to_le_bytes()[..], &frame].concat());
                    let to = to.trim_start_matches("copy-").parse::<usize>().unwrap();
                    if self.uniform() < self.loss || !(self.passes)(number, to) {
                        continue;
                    }
                    let delay = Duration::from_micros(500 + (self.uniform() * 4000.0) as u64);
                    self.order += 1;
                    self.flying.push(Reverse((self.now + delay, self.order, to, frame)));
                }
                Output::Write(batch, changes) => {
                    let takes = Duration::from_micros(500 + (self.uniform() * 3000.0) as u64);
                    let place = &mut self.places[number];
                    let after = place.writing.back().map_or(self.now, |(at, ..)| *at);
                    let at = after.max(self.now + takes).max(place.disk_stalled_until);
                    place.writing.push_back((at, batch, changes));
                }
                Output::Completed(ended, outcome) => {
                    let life = self.places[number].lives;
                    let of =
                        |given: &&mut Given| (given.by, given.life, given.number) == (number, life, ended);
                    let given = self.given.iter_mut().find(of).unwrap();
                    assert!(given.ended.replace((self.now, outcome)).is_none(), "ended twice");
                    self.note(&format!("{}: its order {ended} has ended: {outcome:?}", name(number)));
                }
            }
        }
        self.tell_view(number);
        // Whoever is at one index has one state.
        let Some(log) = &self.places[number].log else { return };
        let (index, Some(agreed)) = (log.status().applied, log.state()) else { return };
        if index > 0 {
            let state = crc32fast::hash(&postcard::to_stdvec(agreed).unwrap());
            let known = *self.states.entry(index).or_insert(state);
            assert_eq!(known, state, "{number} has another state at index {index}");
        }
    }

    /// Adds a line to what happened.
    pub fn note(&mut self, what: &str) {
        self.lines.push(format!("{:9.3} s  {what}", self.now.as_secs_f64()));
    }

    /// How a process sees the log, where that has changed in more than how far it is.
    fn tell_view(&mut self, number: usize) {
        let Some(log) = &self.places[number].log else { return };
        let view = log.status();
        let mut says = format!("{:?}", view.role);
        match &view.leader {
            Some(leader) if view.role == Role::Leader => {
                says += &format!(" ({leader}) in term {}", view.term)
            }
            Some(leader) => says += &format!(", {leader} leads in term {}", view.term),
            None if matches!(view.role, Role::Voter | Role::Learner) => says += ", nobody leads",
            None => {}
        }
        if view.reconfiguring {
            says += "; voters are being changed";
        }
        if !view.lost_state.is_empty() {
            says += &format!("; without their memory: {}", view.lost_state.join(" "));
        }
        if let Some(disturbed) = &view.founding_conflict {
            says += &format!("; {disturbed}");
        }
        if view.stopped {
            says += "; mute";
        }
        if self.told.insert(number, says.clone()).as_ref() != Some(&says) {
            self.note(&format!("{}: {says}", name(number)));
        }
    }
}
