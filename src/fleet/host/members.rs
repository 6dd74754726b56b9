//! The thread that runs the core: datagrams, commands and the time in; datagrams, the log's lines and the view out.

use super::log::Addresses;
use super::{Command, Stats, publish};
use crate::fleet::members::{Event, Members, Output, Peer, Settings, Standing, Start, View};
use crossbeam_channel::{Receiver, after, never, select_biased};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, UNIX_EPOCH};
use tokio::sync::watch;
use tracing::{error, info, warn};

/// A datagram that the system does not take within this is lost, as any may be.
const SEND_MOST: Duration = Duration::from_millis(20);

/// What the thread works with.
pub(super) struct MembersThread {
    pub(super) datagrams: Receiver<Vec<u8>>,
    pub(super) command_receiver: Receiver<Command>,
    pub(super) stats: Arc<Stats>,
    pub(super) says: watch::Sender<Option<View>>,
    /// Where others are, for the log's thread.
    pub(super) peers: watch::Sender<Addresses>,
}

impl MembersThread {
    /// Works until the process ends, from when the socket is there and the process is to join.
    pub(super) fn work(self, mut settings: Settings, bound: &Receiver<UdpSocket>) {
        let Ok(socket) = bound.recv() else { return };
        match self.command_receiver.recv() {
            Ok(Command::Join(start)) => {
                let at = settings.me.generation;
                settings.me.start = start.map(|(folder, number)| Start { folder, number, at });
            }
            Ok(Command::Leave) | Err(_) => return, // it ends before it was there
        }
        if let Err(e) = socket.set_write_timeout(Some(SEND_MOST)) {
            warn!("fleet: a slow socket may hold up the fleet's thread: {e}");
        }
        let me = settings.me.clone();
        info!(cluster = settings.cluster, address = %me.address, "fleet: {} joins {}", me.name, settings.cluster);
        let clock = self.stats.clone();
        let (mut members, mut out) = (Members::new(settings, clock.elapsed()), Vec::new());
        let mut leaving = false;
        loop {
            let wait = members.due().saturating_sub(clock.elapsed());
            let command_receiver = if leaving { never() } else { self.command_receiver.clone() };
            // What came is heard before a timer that is due may say that it never did.
            select_biased! {
                recv(command_receiver) -> command => match command {
                    Ok(Command::Leave) => {
                        info!("fleet: {} leaves", me.name);
                        members.leave(clock.elapsed(), &mut out);
                        leaving = true;
                    }
                    Ok(Command::Join(_)) => {} // it has joined
                    Err(_) => return, // the process ends
                },
                recv(self.datagrams) -> datagram => {
                    let Ok(datagram) = datagram else { return };
                    members.handle(clock.elapsed(), &datagram, &mut out);
                }
                recv(after(wait)) -> _ => members.tick(clock.elapsed(), &mut out),
            }
            for output in out.drain(..) {
                match output {
                    Output::Send(to, datagram) => self.send(&socket, to, &datagram),
                    Output::Event(statement) => self.say(statement),
                }
            }
            publish(&self.stats, &members.counts());
            self.stats.turn();
        }
    }

    fn send(&self, socket: &UdpSocket, to: SocketAddr, datagram: &[u8]) {
        match socket.send_to(datagram, to) {
            Ok(size) => {
                self.stats.sent[0].fetch_add(1, Relaxed);
                self.stats.sent[1].fetch_add(size as u64, Relaxed);
            }
            Err(_) => drop(self.stats.send_errors.fetch_add(1, Relaxed)),
        }
    }

    fn say(&self, statement: Event) {
        match statement {
            Event::Joined(peer) => {
                self.peers.send_modify(|peers| {
                    Arc::make_mut(peers).insert(peer.name.clone(), peer.address);
                });
                let Peer { name, address, zone, .. } = &peer;
                info!(peer = name, zone, "fleet: {name} ({address}) is here");
            }
            Event::Left(peer) => {
                self.peers.send_modify(|peers| {
                    Arc::make_mut(peers).remove(&peer.name);
                });
                info!(peer = peer.name, "fleet: {} has left", peer.name);
            }
            Event::Lost(Peer { name, address, zone, .. }) => {
                warn!(peer = name, zone, "fleet: {name} ({address}) is lost");
            }
            Event::Returned(peer) => {
                warn!(
                    "fleet: the others took this process for gone; it is back as generation {}",
                    peer.generation
                );
            }
            Event::NewerStartSeen(latest) => {
                let (number, at) = (latest.number, Duration::from_millis(latest.at));
                self.stats.newer_start.store(number, Relaxed);
                let at = humantime::format_rfc3339_seconds(UNIX_EPOCH + at);
                error!(
                    number,
                    "fleet: state.dir is older than what others remember, or a copy: they saw start {number} on it at {at}; \
                     what it says of before can't be trusted"
                );
            }
            Event::View(view) => {
                let before = self.says.borrow().clone();
                tell(before.as_ref(), &view);
                self.says.send_replace(Some(view));
            }
        }
    }
}

/// What of a view is worth a line: how it stands, and names that stand twice.
fn tell(before: Option<&View>, view: &View) {
    for name in view
        .duplicate_names
        .iter()
        .filter(|name| before.is_none_or(|before| !before.duplicate_names.contains(name)))
    {
        error!(
            name,
            "fleet: two processes here are named {name}: both count, and both serve; name one of them anew"
        );
    }
    if before.is_some_and(|before| before.standing == view.standing) {
        return;
    }
    let (living, known, balancers) = (view.living, view.known, view.balancers);
    let away = known - living;
    let names = view.away.join(" ");
    match view.standing {
        Standing::Converged if away == 0 => {
            info!(living, known, balancers, "fleet: converged: all {known} are here")
        }
        Standing::Converged => {
            info!(living, known, balancers, away = names, "fleet: converged: {living} of {known} are here")
        }
        Standing::Converging => {
            info!(living, known, balancers, "fleet: converging: {living} of {known} are here")
        }
        Standing::Split => warn!(
            living,
            known,
            balancers,
            away = names,
            "fleet: split: only {living} of {known} are here; each goes on with its part as if all were"
        ),
    }
}
