//! The thread that runs membership: its input is datagrams, commands and the time, its output datagrams,
//! log lines and the view.

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

/// A datagram that the socket does not accept within this time is dropped, as any may be lost in transit.
const SEND_TIMEOUT: Duration = Duration::from_millis(20);

/// Inputs and outputs of the thread.
pub(super) struct MembersThread {
    pub(super) datagrams: Receiver<Vec<u8>>,
    pub(super) command_receiver: Receiver<Command>,
    pub(super) stats: Arc<Stats>,
    pub(super) view: watch::Sender<Option<View>>,
    /// Addresses of the members, for the log thread.
    pub(super) peers: watch::Sender<Addresses>,
}

impl MembersThread {
    /// Runs until the process ends, once the socket is bound and the process is to join.
    pub(super) fn run(self, mut settings: Settings, bound: &Receiver<UdpSocket>) {
        let Ok(socket) = bound.recv() else { return };
        match self.command_receiver.recv() {
            Ok(Command::Join(start)) => {
                let at = settings.me.generation;
                settings.me.start = start.map(|(folder, number)| Start { folder, number, at });
            }
            Ok(Command::Leave) | Err(_) => return, // the process ends before it joined
        }
        if let Err(e) = socket.set_write_timeout(Some(SEND_TIMEOUT)) {
            warn!(
                "fleet: could not set the send timeout, so a slow socket may block the membership thread: {e}"
            );
        }
        let me = settings.me.clone();
        info!(cluster = settings.cluster, address = %me.address, "fleet: {} joins {}", me.name, settings.cluster);
        let clock = self.stats.clone();
        let (mut members, mut out) = (Members::new(settings, clock.elapsed()), Vec::new());
        let mut leaving = false;
        loop {
            let wait = members.due().saturating_sub(clock.elapsed());
            let command_receiver = if leaving { never() } else { self.command_receiver.clone() };
            // Received datagrams are handled before due timers, which could otherwise report them missing.
            select_biased! {
                recv(command_receiver) -> command => match command {
                    Ok(Command::Leave) => {
                        info!("fleet: {} leaves", me.name);
                        members.leave(clock.elapsed(), &mut out);
                        leaving = true;
                    }
                    Ok(Command::Join(_)) => {} // it has joined already
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
                    Output::Event(event) => self.report(event),
                }
            }
            publish(&self.stats, &members.counts());
            self.stats.record_iteration();
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

    fn report(&self, event: Event) {
        match event {
            Event::Joined(peer) => {
                self.peers.send_modify(|peers| {
                    Arc::make_mut(peers).insert(peer.name.clone(), peer.address);
                });
                let Peer { name, address, zone, .. } = &peer;
                info!(peer = name, zone, "fleet: {name} ({address}) joined");
            }
            Event::Left(peer) => {
                self.peers.send_modify(|peers| {
                    Arc::make_mut(peers).remove(&peer.name);
                });
                info!(peer = peer.name, "fleet: {} has left", peer.name);
            }
            Event::Lost(Peer { name, address, zone, .. }) => {
                warn!(
                    peer = name,
                    zone, "fleet: {name} ({address}) does not respond and is considered down"
                );
            }
            Event::Returned(peer) => {
                warn!(
                    "fleet: other members had declared this process down; it rejoined as generation {}",
                    peer.generation
                );
            }
            Event::NewerStartSeen(latest) => {
                let (number, at) = (latest.number, Duration::from_millis(latest.at));
                self.stats.newer_start.store(number, Relaxed);
                let at = humantime::format_rfc3339_seconds(UNIX_EPOCH + at);
                error!(
                    number,
                    "fleet: state.dir is older than other members remember, or a copy: they saw start {number} on it at {at}; \
                     its content is not trusted"
                );
            }
            Event::View(view) => {
                let before = self.view.borrow().clone();
                log_changes(before.as_ref(), &view);
                self.view.send_replace(Some(view));
            }
        }
    }
}

/// Logs changes of the view's state, and new duplicate names.
fn log_changes(before: Option<&View>, view: &View) {
    for name in view
        .duplicate_names
        .iter()
        .filter(|name| before.is_none_or(|before| !before.duplicate_names.contains(name)))
    {
        error!(
            name,
            "fleet: two members have the name {name}: both count and both serve; rename one of them"
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
            info!(living, known, balancers, "fleet: converged: all {known} members are up")
        }
        Standing::Converged => {
            info!(
                living,
                known,
                balancers,
                away = names,
                "fleet: converged: {living} of {known} members are up"
            )
        }
        Standing::Converging => {
            info!(living, known, balancers, "fleet: converging: {living} of {known} members are up")
        }
        Standing::Split => warn!(
            living,
            known,
            balancers,
            away = names,
            "fleet: split: only {living} of {known} members are up; each keeps its share as if all were"
        ),
    }
}
