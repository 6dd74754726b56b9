//! The foca instance with its timers, and the exchange of member pages by which processes with different
//! member lists converge. The clock stops while the process is stalled: a process that was stopped must not
//! suspect all others of being silent.

use super::datagram::{DropReason, FrameCodec, HEADER_LEN, MAX_DATAGRAM_BYTES};
use super::peer::{Peer, Start};
use super::roster::{Change, Roster, View};
use super::start_history::{StartHistory, contradicts};
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

/// Members asked to probe one that does not answer: with three in ten datagrams lost, five reach it twice
/// as often as three do.
const INDIRECT_PROBES: usize = 5;
/// Members that receive each round of gossip, or of announcements to members that are down.
const FANOUT: usize = 3;
/// Round trips within which a suspected member must refute the suspicion. At 300 processes gossip reaches
/// all within some 16 round trips, and the refutation takes as long.
const SUSPICION_ROUND_TRIPS: u32 = 40;
/// Interval between checks for changes in membership.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between announcements to members that are down, which may have come back.
const DOWN_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// A member list is compared with another member's at each check while members join, then ever less often,
/// up to this interval.
const MAX_COMPARE_INTERVAL: Duration = Duration::from_secs(5);
/// Pages of its member list that a process sends between two checks, so that thousands of simultaneous
/// starts don't flood the network.
const MAX_PAGES_PER_CHECK: usize = 16;
/// Interval between announcements to the seeds while no other member, or no majority, is up.
const SEED_INTERVAL: Duration = Duration::from_secs(1);
/// How long members that are down are remembered.
const DOWN_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// A timer that is handled later than this many round trips shows that the process was stalled.
const STALL_ROUND_TRIPS: u32 = 8;

/// Settings of the membership of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The cluster's name; datagrams of other clusters are dropped.
    pub cluster: String,
    /// The identity of this process.
    pub me: Peer,
    /// Addresses of some other members.
    pub seeds: Vec<SocketAddr>,
    /// The longest round trip of a datagram and its answer in normal operation.
    pub round_trip: Duration,
    /// The configured number of processes, including this one.
    pub expected: usize,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// An effect for the caller to carry out.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send this datagram to this address.
    Send(SocketAddr, Vec<u8>),
    /// Report this event.
    Event(Event),
}

/// A change in membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member joined.
    Joined(Peer),
    /// A member announced that it leaves.
    Left(Peer),
    /// A member was declared down after it stopped responding.
    Lost(Peer),
    /// The other members had declared this process down; it has rejoined with a later generation.
    Returned(Peer),
    /// The state folder of this process is older than another member remembers, or a copy: that member saw
    /// this start on it.
    NewerStartSeen(Start),
    /// The view changed to this one.
    View(View),
}

/// Datagrams dropped, by reason, and stalls of this process.
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
    /// Times that timers were late because the process had been stalled.
    pub stalls: u64,
}

type Swim = Foca<Peer, PostcardCodec, Pcg32, NoCustomBroadcast>;

/// The membership of one process. The time is passed in by the caller.
pub struct Members {
    settings: Settings,
    swim: Swim,
    frames: FrameCodec,
    roster: Roster,
    starts: StartHistory,
    /// A later start on this process's folder that another member remembers; reported once.
    newer_start: Option<Start>,
    runtime: AccumulatingRuntime<Peer>,
    timers: BinaryHeap<Reverse<Due>>,
    timers_added: u64,
    /// Total time for which the process was stalled.
    stalled: Duration,
    next_check: Duration,
    next_seed_announce: Duration,
    counts: Counts,
    last_view: Option<View>,
    /// The number of members that foca is configured for.
    configured_size: usize,
    next_compare: Duration,
    compare_interval: Duration,
    /// Pages that may still be sent before the next check.
    page_budget: usize,
    rng: Pcg32,
    /// Datagram contents to be sent.
    outgoing: Vec<(SocketAddr, Vec<u8>)>,
}

/// Kinds of datagram content, in its first byte: a message of foca, a digest of the sender's member list, a
/// page of a member list, and a later start on the receiver's state folder.
const SWIM: u8 = 0;
const DIGEST: u8 = 1;
const PAGE: u8 = 2;
const NEWER_START: u8 = 3;

/// A timer, ordered by due time, then by foca's order of timers, then by the order of addition.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Due(Duration, Timer<Peer>, u64);

impl Members {
    /// The membership of a process that knows no other member yet. Equal settings and inputs give equal
    /// outputs.
    pub fn new(settings: Settings, now: Duration) -> Self {
        let mut rng = Pcg32::seed_from_u64(settings.seed);
        let frames = FrameCodec::new(settings.cluster.clone(), rng.next_u64());
        let configured_size = settings.expected;
        let foca_rng = Pcg32::seed_from_u64(rng.next_u64());
        let swim = Foca::new(
            settings.me.clone(),
            foca_config(settings.round_trip, configured_size),
            foca_rng,
            PostcardCodec,
        );
        Members {
            roster: Roster::new(settings.me.clone(), settings.expected, now),
            starts: StartHistory::default(),
            newer_start: None,
            swim,
            frames,
            runtime: AccumulatingRuntime::new(),
            timers: BinaryHeap::new(),
            timers_added: 0,
            stalled: Duration::ZERO,
            next_check: now,
            next_seed_announce: now,
            counts: Counts::default(),
            last_view: None,
            configured_size,
            next_compare: now,
            compare_interval: CHECK_INTERVAL,
            page_budget: MAX_PAGES_PER_CHECK,
            rng,
            outgoing: Vec::new(),
            settings,
        }
    }

    /// Handles a received datagram.
    pub fn handle(&mut self, now: Duration, datagram: &[u8], out: &mut Vec<Output>) {
        self.detect_stall(now);
        let opened = self.frames.open(now, datagram);
        if let Err(dropped) = opened.and_then(|content| self.receive(now, content, out)) {
            let count = match dropped {
                DropReason::Corrupt => &mut self.counts.corrupt,
                DropReason::Foreign => &mut self.counts.foreign,
                DropReason::Newer => &mut self.counts.newer,
                DropReason::Old => &mut self.counts.old,
                DropReason::Malformed => &mut self.counts.malformed,
            };
            *count += 1;
        }
        self.collect_effects(now, out);
    }

    /// Handles due timers. To be called at [`Members::due`] or later.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.detect_stall(now);
        let timer_now = now.saturating_sub(self.stalled);
        while let Some(Reverse(Due(at, ..))) = self.timers.peek()
            && *at <= timer_now
        {
            let Some(Reverse(Due(_, timer, _))) = self.timers.pop() else { break };
            // Fails only for a timer of a state that has since ended.
            let _ = self.swim.handle_timer(timer, &mut self.runtime);
        }
        if now >= self.next_check {
            self.next_check = now + CHECK_INTERVAL;
            self.check_members(now, out);
        }
        if now >= self.next_seed_announce {
            self.next_seed_announce = now + SEED_INTERVAL;
            self.announce_to_seeds();
        }
        self.collect_effects(now, out);
    }

    /// When [`Members::tick`] is due next.
    pub fn due(&self) -> Duration {
        let timer = self.timers.peek().map_or(Duration::MAX, |Reverse(Due(at, ..))| *at + self.stalled);
        timer.min(self.next_check).min(self.next_seed_announce)
    }

    /// Announces to the other members that this process leaves. It answers until the process ends.
    pub fn leave(&mut self, now: Duration, out: &mut Vec<Output>) {
        let leaving = Peer { leaving: true, ..self.swim.identity().clone() };
        // Fails only if it was announced before.
        let _ = self.swim.change_identity(leaving, &mut self.runtime);
        self.collect_effects(now, out);
    }

    /// The current view.
    pub fn view(&self) -> View {
        self.roster.view()
    }

    /// The counts so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    fn receive(&mut self, now: Duration, content: &[u8], out: &mut Vec<Output>) -> Result<(), DropReason> {
        let (kind, rest) = content.split_first().ok_or(DropReason::Malformed)?;
        match *kind {
            SWIM => {
                // A message that passes the frame's checks and is refused by foca is invalid, or this
                // process's own.
                self.swim.handle_data(rest, &mut self.runtime).map_err(|_| DropReason::Malformed)
            }
            DIGEST => {
                let (sender, digest, start) = decode::<(SocketAddr, u64, Option<Start>)>(rest)?;
                if let Some(latest) = start.and_then(|start| self.starts.record(now, start)) {
                    self.outgoing.push((sender, encode(NEWER_START, &latest)));
                }
                if digest != self.digest() {
                    self.send_pages(sender);
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
                // Not gossiped on: each process compares its own list.
                let applied = self.swim.apply_many(members.into_iter(), false, &mut self.runtime);
                applied.map_err(|_| DropReason::Malformed)
            }
            NEWER_START => {
                let latest = decode::<Start>(rest)?;
                let mine = self.settings.me.start.is_some_and(|start| contradicts(start, latest));
                if mine && self.newer_start.is_none_or(|known| known.number < latest.number) {
                    self.newer_start = Some(latest);
                    out.push(Output::Event(Event::NewerStartSeen(latest)));
                }
                Ok(())
            }
            _ => Err(DropReason::Malformed),
        }
    }

    /// Digest of the members that are up, including this process: equal on processes that know the same
    /// members.
    fn digest(&self) -> u64 {
        let up = self.swim.iter_members().map(Member::id).chain([self.swim.identity()]);
        up.map(|peer| {
            let encoded = postcard::to_stdvec(&(peer.address, peer.generation, peer.leaving));
            u64::from(crc32fast::hash(&encoded.unwrap_or_default())) // serializing to memory does not fail
        })
        .fold(0, u64::wrapping_add)
    }

    /// Sends its member list, up or down, starting at a random member, within the page limit until the next
    /// check.
    fn send_pages(&mut self, to: SocketAddr) {
        let me = Member::alive(self.swim.identity().clone());
        let all: Vec<&Member<Peer>> = self.swim.iter_membership_state().chain([&me]).collect();
        let first = self.rng.next_u32() as usize % all.len();
        let mut page = vec![PAGE];
        for member in all.iter().cycle().skip(first).take(all.len()) {
            let encoded = postcard::to_stdvec(*member).unwrap_or_default(); // as above
            if page.len() + encoded.len() > MAX_DATAGRAM_BYTES - HEADER_LEN {
                if self.page_budget == 0 {
                    return;
                }
                self.page_budget -= 1;
                self.outgoing.push((to, std::mem::replace(&mut page, vec![PAGE])));
            }
            page.extend(encoded);
        }
        self.outgoing.push((to, page));
    }

    /// Sends the digest of the member list to a random member that is up.
    fn send_digest(&mut self) {
        let up: Vec<SocketAddr> = self.swim.iter_members().map(|member| member.id().address).collect();
        let Some(peer) = up.get(self.rng.next_u32() as usize % up.len().max(1)) else { return };
        let digest = encode(DIGEST, &(self.settings.me.address, self.digest(), self.settings.me.start));
        self.outgoing.push((*peer, digest));
    }

    /// Detects a stall of the process by a late timer, and holds back the timers' clock by the delay.
    fn detect_stall(&mut self, now: Duration) {
        let due = self.due();
        let late = now.saturating_sub(due);
        if late > self.settings.round_trip * STALL_ROUND_TRIPS {
            self.counts.stalls += 1;
            self.stalled += late;
            (self.next_check, self.next_seed_announce) =
                (self.next_check.max(now), self.next_seed_announce.max(now));
        }
    }

    fn check_members(&mut self, now: Duration, out: &mut Vec<Output>) {
        let suspects = self.swim.iter_members().filter(|member| is_suspect(member)).count();
        self.page_budget = MAX_PAGES_PER_CHECK;
        for peer in self.swim.iter_members().map(Member::id) {
            // A peer whose claimed start is contradicted is told before it can act on its state.
            if let Some(latest) = peer.start.and_then(|start| self.starts.record(now, start)) {
                self.outgoing.push((peer.address, encode(NEWER_START, &latest)));
            }
        }
        // Of the members that are down only those that had announced leaving: this may be the first news of
        // them.
        let counted = |member: &&Member<Peer>| member.state() != State::Down || member.id().leaving;
        let members = self.swim.iter_membership_state().filter(counted).map(Member::id);
        let changes = self.roster.update(now, members, suspects);
        if changes.iter().any(|change| matches!(change, Change::Joined(_))) {
            (self.next_compare, self.compare_interval) = (now, CHECK_INTERVAL);
        }
        if now >= self.next_compare {
            // Jitter, as processes that started together would otherwise keep comparing at the same time.
            let jitter = 0.5 + f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
            self.next_compare = now + self.compare_interval.mul_f64(jitter);
            self.compare_interval = (self.compare_interval * 2).min(MAX_COMPARE_INTERVAL);
            self.send_digest();
        }
        for change in changes {
            out.push(Output::Event(match change {
                Change::Joined(peer) => Event::Joined(peer),
                Change::Left(peer) => Event::Left(peer),
                Change::Lost(peer) => Event::Lost(peer),
            }));
        }
        let view = self.roster.view();
        if std::mem::replace(&mut self.configured_size, view.known) != view.known {
            // Applies only the settings that foca allows to change.
            let _ = self.swim.set_config(foca_config(self.settings.round_trip, view.known));
        }
        if self.last_view.as_ref() != Some(&view) {
            self.last_view = Some(view.clone());
            out.push(Output::Event(Event::View(view)));
        }
    }

    /// Announces this process to the seeds while it sees no other member or no majority.
    fn announce_to_seeds(&mut self) {
        let view = self.roster.view();
        if self.swim.identity().leaving || view.living * 2 > view.known && view.living > 1 {
            return;
        }
        for seed in self.settings.seeds.iter().filter(|seed| **seed != self.settings.me.address) {
            // Fails only for a packet that exceeds the limit, which the bound on names rules out.
            let _ = self.swim.announce(Peer::at(*seed), &mut self.runtime);
        }
    }

    /// Collects foca's timers, datagrams and notifications.
    fn collect_effects(&mut self, now: Duration, out: &mut Vec<Output>) {
        let timer_now = now.saturating_sub(self.stalled);
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.timers_added += 1;
            self.timers.push(Reverse(Due(timer_now + after, timer, self.timers_added)));
        }
        while let Some((to, content)) = self.runtime.to_send() {
            // A suspected member is told so by each member that sends to it (the buddy system of
            // Lifeguard): gossip about the suspicion is sent a limited number of times, and a process that
            // takes a later generation forgets its pending suspicions.
            let suspect =
                self.swim.iter_members().find(|one| is_suspect(one) && one.id().address == to.address);
            if let Some(encoded) = suspect.and_then(|suspect| postcard::to_stdvec(suspect).ok()) {
                self.outgoing.push((to.address, [&[PAGE], &*encoded].concat()));
            }
            self.outgoing.push((to.address, [&[SWIM], &*content].concat()));
        }
        for (to, content) in self.outgoing.drain(..) {
            out.push(Output::Send(to, self.frames.seal(&content)));
        }
        while let Some(notification) = self.runtime.to_notify() {
            match notification {
                foca::OwnedNotification::Rejoin(peer) => out.push(Output::Event(Event::Returned(peer))),
                // Check the members at once.
                _ => self.next_check = self.next_check.min(now),
            }
        }
    }
}

/// Encodes the content of a datagram of one of our own kinds.
fn encode(kind: u8, value: &impl Serialize) -> Vec<u8> {
    let mut content = vec![kind];
    content.extend(postcard::to_stdvec(value).unwrap_or_default()); // serializing to memory does not fail
    content
}

fn decode<T: DeserializeOwned>(content: &[u8]) -> Result<T, DropReason> {
    postcard::from_bytes(content).map_err(|_| DropReason::Malformed)
}

fn is_suspect(member: &Member<Peer>) -> bool {
    member.state() == State::Suspect
}

fn foca_config(round_trip: Duration, size: usize) -> Config {
    let some = |number: usize| NonZeroUsize::new(number).unwrap_or(NonZeroUsize::MIN);
    let every = |frequency, number| Some(PeriodicParams { frequency, num_members: some(number) });
    // Transmissions per member and update, so that gossip reaches all members almost surely: a multiple of
    // the logarithm.
    let transmissions = (4.0 * (size as f64 + 1.0).log10()).ceil() as u8;
    Config {
        probe_period: round_trip * 4,
        probe_rtt: round_trip,
        num_indirect_probes: some(INDIRECT_PROBES),
        max_transmissions: NonZeroU8::new(transmissions).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: round_trip * SUSPICION_ROUND_TRIPS,
        remove_down_after: Some(DOWN_RETENTION),
        max_packet_size: some(MAX_DATAGRAM_BYTES - HEADER_LEN - 1),
        notify_down_members: true,
        periodic_announce: None, // member lists are compared instead
        periodic_announce_to_down_members: every(DOWN_ANNOUNCE_INTERVAL, FANOUT),
        periodic_gossip: every(round_trip * 4, FANOUT),
    }
}
