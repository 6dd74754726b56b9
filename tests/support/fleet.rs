//! A fleet in made time: members on a network that delays, loses, doubles and cuts, each way by itself.
#![allow(dead_code)]

use gullpulley::fleet::members::{Event, MAX_DATAGRAM_BYTES, Members, Output, Peer, Settings, View};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

pub const ROUND_TRIP: Duration = Duration::from_millis(25);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7000))
}

pub fn settings(number: usize, expected: usize, generation: u64, seed: u64) -> Settings {
    let (name, zone) = (format!("copy-{number}"), format!("zone-{}", number % 3));
    Settings {
        cluster: "made".to_owned(),
        me: Peer {
            address: address(number),
            name,
            zone,
            generation,
            claims: 0,
            leaving: false,
            start: None,
        },
        seeds: (0..3).map(address).collect(),
        round_trip: ROUND_TRIP,
        expected,
        seed: seed ^ (number as u64 + 1) << 20 ^ generation,
    }
}

/// One process; none while it is down.
pub struct Place {
    pub members: Option<Members>,
    /// It does nothing until then.
    pub stopped_until: Duration,
    pub view: Option<View>,
    pub said: Vec<(Duration, Event)>,
    pub datagrams: u64,
    pub bytes: u64,
}

/// When a datagram arrives, its order among those that arrive together, where, and what it is.
type Flight = (Duration, u64, usize, Vec<u8>);

pub struct Net {
    pub now: Duration,
    pub places: Vec<Place>,
    pub loss: f64,
    pub doubled: f64,
    /// Whether a datagram passes from one to another.
    pub passes: Box<dyn Fn(usize, usize) -> bool>,
    /// Whether a datagram waits on its way from one to another until [`Net::release`].
    pub stalls: Box<dyn Fn(usize, usize) -> bool>,
    stalled: Vec<(usize, Vec<u8>)>,
    /// Each datagram that was delivered, where they are kept.
    pub kept: Option<Vec<(usize, Vec<u8>)>>,
    pub longest: usize,
    numbers: HashMap<SocketAddr, usize>,
    flying: BinaryHeap<Reverse<Flight>>,
    ticks: BinaryHeap<Reverse<(Duration, usize)>>,
    order: u64,
    draws: Pcg32,
}

impl Net {
    pub fn new(size: usize, seed: u64) -> Self {
        let place = |_| Place {
            members: None,
            stopped_until: Duration::ZERO,
            view: None,
            said: Vec::new(),
            datagrams: 0,
            bytes: 0,
        };
        Net {
            now: Duration::ZERO,
            places: (0..size).map(place).collect(),
            loss: 0.0,
            doubled: 0.0,
            passes: Box::new(|_, _| true),
            stalls: Box::new(|_, _| false),
            stalled: Vec::new(),
            kept: None,
            longest: 0,
            numbers: (0..size).map(|number| (address(number), number)).collect(),
            flying: BinaryHeap::new(),
            ticks: BinaryHeap::new(),
            order: 0,
            draws: Pcg32::seed_from_u64(seed),
        }
    }

    fn uniform(&mut self) -> f64 {
        f64::from(self.draws.next_u32()) / 4_294_967_296.0
    }

    pub fn start(&mut self, number: usize, settings: Settings) {
        let members = Members::new(settings, self.now);
        self.places[number].members = Some(members);
        self.ticks.push(Reverse((self.now, number)));
    }

    pub fn kill(&mut self, number: usize) {
        self.places[number].members = None;
    }

    pub fn leave(&mut self, number: usize) {
        let mut out = Vec::new();
        self.places[number].members.as_mut().unwrap().leave(self.now, &mut out);
        self.carry_out(number, out);
    }

    /// What comes to this one by a way of its own, such as one that kept it since yesterday.
    pub fn deliver(&mut self, number: usize, datagram: &[u8]) {
        let mut out = Vec::new();
        self.places[number].members.as_mut().unwrap().handle(self.now, datagram, &mut out);
        self.carry_out(number, out);
    }

    pub fn run(&mut self, lasts: Duration) {
        let until = self.now + lasts;
        loop {
            let tick = self.ticks.peek().map_or(Duration::MAX, |Reverse((at, _))| *at);
            let flight = self.flying.peek().map_or(Duration::MAX, |Reverse((at, ..))| *at);
            let next = tick.min(flight);
            if next > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next);
            if flight <= tick {
                let Some(Reverse((_, order, to, datagram))) = self.flying.pop() else { return };
                let place = &self.places[to];
                if place.stopped_until > self.now {
                    // What comes for one that is stopped waits in its socket.
                    self.flying.push(Reverse((place.stopped_until, order, to, datagram)));
                } else if place.members.is_some() {
                    if let Some(kept) = &mut self.kept {
                        kept.push((to, datagram.clone()));
                    }
                    self.deliver(to, &datagram);
                }
                continue;
            }
            let Some(Reverse((_, number))) = self.ticks.pop() else { return };
            let place = &mut self.places[number];
            let Some(members) = &mut place.members else { continue };
            let due = members.due().max(place.stopped_until);
            if due > self.now {
                self.ticks.push(Reverse((due, number)));
                continue;
            }
            let mut out = Vec::new();
            members.tick(self.now, &mut out);
            let due = members.due();
            self.ticks.push(Reverse((due.max(self.now + Duration::from_micros(100)), number)));
            self.carry_out(number, out);
        }
    }

    /// Runs until all that run see this; the time that took, none if it never came.
    pub fn until(&mut self, most: Duration, holds: impl Fn(&View) -> bool) -> Option<Duration> {
        let began = self.now;
        while self.now - began <= most {
            if self.running().all(|place| place.view.as_ref().is_some_and(&holds)) {
                return Some(self.now - began);
            }
            self.run(ms(10));
        }
        None
    }

    pub fn running(&self) -> impl Iterator<Item = &Place> {
        self.places.iter().filter(|place| place.members.is_some())
    }

    /// How often those that run have said such a thing since then.
    pub fn said(&self, since: Duration, what: impl Fn(&Event) -> bool) -> usize {
        let said = self.running().flat_map(|place| &place.said);
        said.filter(|(at, statement)| *at >= since && what(statement)).count()
    }

    fn carry_out(&mut self, number: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Event(Event::View(view)) => self.places[number].view = Some(view),
                Output::Event(statement) => self.places[number].said.push((self.now, statement)),
                Output::Send(to, datagram) => {
                    assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
                    self.longest = self.longest.max(datagram.len());
                    self.places[number].datagrams += 1;
                    self.places[number].bytes += datagram.len() as u64;
                    let Some(&to) = self.numbers.get(&to) else { continue };
                    let copies = 1 + usize::from(self.uniform() < self.doubled);
                    for _ in 0..copies {
                        if self.uniform() < self.loss || !(self.passes)(number, to) {
                            continue;
                        }
                        if (self.stalls)(number, to) {
                            self.stalled.push((to, datagram.clone()));
                        } else {
                            self.fly(to, datagram.clone());
                        }
                    }
                }
            }
        }
    }

    fn fly(&mut self, to: usize, datagram: Vec<u8>) {
        let delay = Duration::from_micros(500 + (self.uniform() * 4000.0) as u64);
        self.order += 1;
        self.flying.push(Reverse((self.now + delay, self.order, to, datagram)));
    }

    /// All that waits on its way comes at once, and nothing waits any more.
    pub fn release(&mut self) {
        self.stalls = Box::new(|_, _| false);
        for (to, datagram) in std::mem::take(&mut self.stalled) {
            self.fly(to, datagram);
        }
    }
}
