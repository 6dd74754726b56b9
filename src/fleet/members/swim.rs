//! The crate's core with its timers, and the pages by which two that know different ones come together, on a clock that
//! stands while the process does: one that was stopped must not accuse everybody else of the silence.

use super::datagram::{DropReason, Frames, HEAD, MAX_DATAGRAM_BYTES};
use super::peer::{Peer, Start};
use super::roster::{Change, Roster, View};
use super::starts::{Starts, contradicts};
use foca::{
    AccumulatingRuntime, Config, Foca, Member, NoCustomBroadcast, PeriodicParams, PostcardCodec, State,
    Timer,
};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Members that are asked to look for one that does not answer: with three in ten datagrams lost, five find it twice as
/// often as three do.
const INDIRECT: usize = 5;
/// Members told of news at once.
const TOLD: usize = 3;
/// One who is suspected has so many round trips to say that it is there. At 300 processes a rumour reaches all within
/// some 16 of them, and the answer takes as long.
const SUSPECTED: u32 = 40;
/// A look at who is here, and at the seeds while nobody is.
const LOOK: Duration = Duration::from_millis(250);
/// Members that are away are asked whether they are back this often.
const ASK_AWAY: Duration = Duration::from_millis(500);
/// A member is asked whether it knows the same ones: at each look while more turn up, then ever less often, up to this.
const COMPARE: Duration = Duration::from_secs(5);
/// Pages of its members that one tells between two looks: a start of thousands at once must not be a flood.
const PAGES: usize = 16;
/// Seeds are asked this often while nobody is here, or no majority.
const ASK_SEEDS: Duration = Duration::from_secs(1);
/// Gone ones are remembered for so long.
const REMEMBERED: Duration = Duration::from_secs(24 * 3600);
/// A timer that is handled later than this many round trips: the process stood still meanwhile.
const STOOD: u32 = 8;

/// What a process is told of its fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Whose datagrams are heard: the cluster's name.
    pub cluster: String,
    /// Who this is.
    pub me: Peer,
    /// Where some others may be found.
    pub seeds: Vec<SocketAddr>,
    /// The longest that a datagram and its answer take on a good day.
    pub round_trip: Duration,
    /// As many processes as there should be, this one included.
    pub expected: usize,
    /// For random numbers.
    pub seed: u64,
}

/// What is to be done or said.
#[derive(Clone, Debug)]
pub enum Output {
    /// This is to be sent there.
    Send(SocketAddr, Vec<u8>),
    /// This is so.
    Event(Event),
}

/// What has become known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A process is here.
    Joined(Peer),
    /// It has said that it leaves.
    Left(Peer),
    /// It is not heard of any more.
    Lost(Peer),
    /// The others took this process for gone; it has come back under a later generation.
    Returned(Peer),
    /// The state folder of this process is older than what another remembers of it, or a copy: it saw this start there.
    NewerStartSeen(Start),
    /// How things are, where that differs from before.
    View(View),
}

/// Datagrams dropped, by reason, and how often this process stood still.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// See [`DropReason::Corrupt`].
    pub corrupt: u64,
    /// See [`DropReason::Foreign`].
    pub foreign: u64,
    /// See [`DropReason::Newer`].
    pub newer: u64,
    /// See [`DropReason::Old`].
    pub old: u64,
    /// See [`DropReason::Malformed`].
    pub malformed: u64,
    /// Times that timers came late, as the process had stood still.
    pub stalls: u64,
}

type Swim = Foca<Peer, PostcardCodec, Pcg32, NoCustomBroadcast>;

/// The membership of one process, in made time.
pub struct Members {
    settings: Settings,
    swim: Swim,
    frames: Frames,
    roster: Roster,
    starts: Starts,
    /// Another remembers a later start on this process's folder; said once.
    older: Option<Start>,
    runtime: AccumulatingRuntime<Peer>,
    timers: BinaryHeap<Reverse<Due>>,
    numbered: u64,
    /// For so long in all the process stood still.
    stood: Duration,
    look_at: Duration,
    seeds_at: Duration,
    counts: Counts,
    said: Option<View>,
    /// For how many members the crate's settings were made.
    fitted: usize,
    compare_at: Duration,
    compare_in: Duration,
    /// Pages that may yet be told until the next look.
    pages: usize,
    draws: Pcg32,
    /// What goes out besides what the crate says.
    own: Vec<(SocketAddr, Vec<u8>)>,
}

/// What a datagram holds, by its first byte.
const SWIM: u8 = 0;
const ASK: u8 = 1;
const PAGE: u8 = 2;
const OLDER: u8 = 3;

/// A timer, by when it is due, then by the crate's order, then by age.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Due(Duration, Timer<Peer>, u64);

impl Members {
    /// A process that has heard of nobody yet. Equal settings and inputs give equal outputs.
    pub fn new(settings: Settings, now: Duration) -> Self {
        let mut draws = Pcg32::seed_from_u64(settings.seed);
        let frames = Frames::new(settings.cluster.clone(), draws.next_u64());
        let fitted = settings.expected;
        let own = Pcg32::seed_from_u64(draws.next_u64());
        let swim = Foca::new(settings.me.clone(), config(settings.round_trip, fitted), own, PostcardCodec);
        Members {
            roster: Roster::new(settings.me.clone(), settings.expected, now),
            starts: Starts::default(),
            older: None,
            swim,
            frames,
            runtime: AccumulatingRuntime::new(),
            timers: BinaryHeap::new(),
            numbered: 0,
            stood: Duration::ZERO,
            look_at: now,
            seeds_at: now,
            counts: Counts::default(),
            said: None,
            fitted,
            compare_at: now,
            compare_in: LOOK,
            pages: PAGES,
            draws,
            own: Vec::new(),
            settings,
        }
    }

    /// Takes a datagram as it came.
    pub fn handle(&mut self, now: Duration, datagram: &[u8], out: &mut Vec<Output>) {
        self.catch_up(now);
        let heard = self.frames.open(now, datagram);
        if let Err(dropped) = heard.and_then(|content| self.hear(now, content, out)) {
            let count = match dropped {
                DropReason::Corrupt => &mut self.counts.corrupt,
                DropReason::Foreign => &mut self.counts.foreign,
                DropReason::Newer => &mut self.counts.newer,
                DropReason::Old => &mut self.counts.old,
                DropReason::Malformed => &mut self.counts.malformed,
            };
            *count += 1;
        }
        self.carry_out(now, out);
    }

    /// Does what is due. To be called at [`Members::due`] or later.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.catch_up(now);
        let here = now.saturating_sub(self.stood);
        while let Some(Reverse(Due(at, ..))) = self.timers.peek()
            && *at <= here
        {
            let Some(Reverse(Due(_, timer, _))) = self.timers.pop() else { break };
            // An error here: a timer of a state that has passed meanwhile.
            let _ = self.swim.handle_timer(timer, &mut self.runtime);
        }
        if now >= self.look_at {
            self.look_at = now + LOOK;
            self.look(now, out);
        }
        if now >= self.seeds_at {
            self.seeds_at = now + ASK_SEEDS;
            self.ask_seeds();
        }
        self.carry_out(now, out);
    }

    /// When it wants to be ticked next.
    pub fn due(&self) -> Duration {
        let timer = self.timers.peek().map_or(Duration::MAX, |Reverse(Due(at, ..))| *at + self.stood);
        timer.min(self.look_at).min(self.seeds_at)
    }

    /// Says to the others that this process leaves. It goes on answering until it ends.
    pub fn leave(&mut self, now: Duration, out: &mut Vec<Output>) {
        let leaving = Peer { leaving: true, ..self.swim.identity().clone() };
        // An error here: it has said so before.
        let _ = self.swim.change_identity(leaving, &mut self.runtime);
        self.carry_out(now, out);
    }

    /// How things are.
    pub fn view(&self) -> View {
        self.roster.view()
    }

    /// What was counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    fn hear(&mut self, now: Duration, content: &[u8], out: &mut Vec<Output>) -> Result<(), DropReason> {
        let (kind, rest) = content.split_first().ok_or(DropReason::Malformed)?;
        match *kind {
            SWIM => {
                // What the frame let through and the crate refuses says nothing, or is our own.
                self.swim.handle_data(rest, &mut self.runtime).map_err(|_| DropReason::Malformed)
            }
            ASK => {
                let (asker, sum, start) = read::<(SocketAddr, u64, Option<Start>)>(rest)?;
                if let Some(latest) = start.and_then(|start| self.starts.take(now, start)) {
                    self.own.push((asker, said(OLDER, &latest)));
                }
                if sum != self.sum() {
                    self.tell_pages(asker);
                }
                Ok(())
            }
            PAGE => {
                let (mut members, mut rest) = (Vec::new(), rest);
                while !rest.is_empty() {
                    let (member, more) = postcard::take_from_bytes::<Member<Peer>>(rest)
                        .map_err(|_| DropReason::Malformed)?;
                    members.push(member);
                    rest = more;
                }
                // Nobody else need hear of it from here: each asks for itself.
                let told = self.swim.apply_many(members.into_iter(), false, &mut self.runtime);
                told.map_err(|_| DropReason::Malformed)
            }
            OLDER => {
                let latest = read::<Start>(rest)?;
                let mine = self.settings.me.start.is_some_and(|start| contradicts(start, latest));
                if mine && self.older.is_none_or(|older| older.number < latest.number) {
                    self.older = Some(latest);
                    out.push(Output::Event(Event::NewerStartSeen(latest)));
                }
                Ok(())
            }
            _ => Err(DropReason::Malformed),
        }
    }

    /// Of who is here, this process included: equal where two know the same ones.
    fn sum(&self) -> u64 {
        let here = self.swim.iter_members().map(Member::id).chain([self.swim.identity()]);
        here.map(|peer| {
            let told = postcard::to_stdvec(&(peer.address, peer.generation, peer.leaving));
            u64::from(crc32fast::hash(&told.unwrap_or_default())) // writing to memory does not fail
        })
        .fold(0, u64::wrapping_add)
    }

    /// Tells whom it knows, here or gone, from a place at random on: as far as it may until the next look.
    fn tell_pages(&mut self, asker: SocketAddr) {
        let me = Member::alive(self.swim.identity().clone());
        let all: Vec<&Member<Peer>> = self.swim.iter_membership_state().chain([&me]).collect();
        let first = self.draws.next_u32() as usize % all.len();
        let mut page = vec![PAGE];
        for member in all.iter().cycle().skip(first).take(all.len()) {
            let told = postcard::to_stdvec(*member).unwrap_or_default(); // as above
            if page.len() + told.len() > MAX_DATAGRAM_BYTES - HEAD {
                if self.pages == 0 {
                    return;
                }
                self.pages -= 1;
                self.own.push((asker, std::mem::replace(&mut page, vec![PAGE])));
            }
            page.extend(told);
        }
        self.own.push((asker, page));
    }

    /// Asks one of those here, at random, whether it knows the same ones.
    fn compare(&mut self) {
        let here: Vec<SocketAddr> = self.swim.iter_members().map(|member| member.id().address).collect();
        let Some(one) = here.get(self.draws.next_u32() as usize % here.len().max(1)) else { return };
        let ask = said(ASK, &(self.settings.me.address, self.sum(), self.settings.me.start));
        self.own.push((*one, ask));
    }

    /// Where a timer comes late, the process stood still: to the timers that time did not pass.
    fn catch_up(&mut self, now: Duration) {
        let due = self.due();
        let late = now.saturating_sub(due);
        if late > self.settings.round_trip * STOOD {
            self.counts.stalls += 1;
            self.stood += late;
            (self.look_at, self.seeds_at) = (self.look_at.max(now), self.seeds_at.max(now));
        }
    }

    fn look(&mut self, now: Duration, out: &mut Vec<Output>) {
        let suspects = self.swim.iter_members().filter(|member| is_suspect(member)).count();
        self.pages = PAGES;
        for peer in self.swim.iter_members().map(Member::id) {
            // Whoever claims what can't be is told, before it may act on it.
            if let Some(latest) = peer.start.and_then(|start| self.starts.take(now, start)) {
                self.own.push((peer.address, said(OLDER, &latest)));
            }
        }
        // Of those that have gone only who had said so: it may be heard of no sooner.
        let told = |member: &&Member<Peer>| member.state() != State::Down || member.id().leaving;
        let here = self.swim.iter_membership_state().filter(told).map(Member::id);
        let changes = self.roster.take(now, here, suspects);
        if changes.iter().any(|change| matches!(change, Change::Joined(_))) {
            (self.compare_at, self.compare_in) = (now, LOOK);
        }
        if now >= self.compare_at {
            // Spread, or all that started together would go on asking together.
            let part = 0.5 + f64::from(self.draws.next_u32()) / f64::from(u32::MAX);
            self.compare_at = now + self.compare_in.mul_f64(part);
            self.compare_in = (self.compare_in * 2).min(COMPARE);
            self.compare();
        }
        for change in changes {
            out.push(Output::Event(match change {
                Change::Joined(peer) => Event::Joined(peer),
                Change::Left(peer) => Event::Left(peer),
                Change::Lost(peer) => Event::Lost(peer),
            }));
        }
        let view = self.roster.view();
        if std::mem::replace(&mut self.fitted, view.known) != view.known {
            // Only what the crate lets change does.
            let _ = self.swim.set_config(config(self.settings.round_trip, view.known));
        }
        if self.said.as_ref() != Some(&view) {
            self.said = Some(view.clone());
            out.push(Output::Event(Event::View(view)));
        }
    }

    /// While too few are here: where others may be found, if not through those that are.
    fn ask_seeds(&mut self) {
        let view = self.roster.view();
        if self.swim.identity().leaving || view.living * 2 > view.known && view.living > 1 {
            return;
        }
        for seed in self.settings.seeds.iter().filter(|seed| **seed != self.settings.me.address) {
            // An error here: a packet that does not fit; the settings bound names.
            let _ = self.swim.announce(Peer::at(*seed), &mut self.runtime);
        }
    }

    /// Passes on what the crate wants done.
    fn carry_out(&mut self, now: Duration, out: &mut Vec<Output>) {
        let here = now.saturating_sub(self.stood);
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.numbered += 1;
            self.timers.push(Reverse(Due(here + after, timer, self.numbered)));
        }
        while let Some((to, content)) = self.runtime.to_send() {
            // Whoever is suspected is told so by each that speaks to it (Lifeguard's buddy system): the rumour itself is
            // passed on so often and no more, and who claims a later generation forgets whom it was to call lost.
            let suspect =
                self.swim.iter_members().find(|one| is_suspect(one) && one.id().address == to.address);
            if let Some(told) = suspect.and_then(|suspect| postcard::to_stdvec(suspect).ok()) {
                self.own.push((to.address, [&[PAGE], &*told].concat()));
            }
            self.own.push((to.address, [&[SWIM], &*content].concat()));
        }
        for (to, content) in self.own.drain(..) {
            out.push(Output::Send(to, self.frames.seal(&content)));
        }
        while let Some(notification) = self.runtime.to_notify() {
            match notification {
                foca::OwnedNotification::Rejoin(peer) => out.push(Output::Event(Event::Returned(peer))),
                // Who is here is looked at again at once.
                _ => self.look_at = self.look_at.min(now),
            }
        }
    }
}

/// What a datagram of one's own kind says.
fn said(kind: u8, what: &impl Serialize) -> Vec<u8> {
    let mut content = vec![kind];
    content.extend(postcard::to_stdvec(what).unwrap_or_default()); // writing to memory does not fail
    content
}

fn read<T: DeserializeOwned>(content: &[u8]) -> Result<T, DropReason> {
    postcard::from_bytes(content).map_err(|_| DropReason::Malformed)
}

fn is_suspect(member: &Member<Peer>) -> bool {
    member.state() == State::Suspect
}

fn config(round_trip: Duration, size: usize) -> Config {
    let some = |number: usize| NonZeroUsize::new(number).unwrap_or(NonZeroUsize::MIN);
    let every = |frequency, number| Some(PeriodicParams { frequency, num_members: some(number) });
    // So often each member passes a rumour on that it reaches all but surely: some multiple of the logarithm.
    let often = (4.0 * (size as f64 + 1.0).log10()).ceil() as u8;
    Config {
        probe_period: round_trip * 4,
        probe_rtt: round_trip,
        num_indirect_probes: some(INDIRECT),
        max_transmissions: NonZeroU8::new(often).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: round_trip * SUSPECTED,
        remove_down_after: Some(REMEMBERED),
        max_packet_size: some(MAX_DATAGRAM_BYTES - HEAD - 1),
        notify_down_members: true,
        periodic_announce: None, // pages are compared instead
        periodic_announce_to_down_members: every(ASK_AWAY, TOLD),
        periodic_gossip: every(round_trip * 4, TOLD),
    }
}
