//! The fleet that this process is a member of, as seen by the serving thread, which the fleet's threads
//! notify and which never blocks on them.

use crossbeam_channel::Receiver;
use gullpulley::fleet::host::{Config, DiskEvent, Fleet, LogJoin, Stats};
use gullpulley::fleet::log;
use gullpulley::fleet::members::{Standing, View};
use prometheus_client::metrics::counter::{ConstCounter, Counter};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;
use std::fmt::Write;
use std::io;
use std::rc::Rc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tracing::error;

/// All convergence states of a view, with their names in metrics.
const CONVERGENCE_STATES: [(Standing, &str); 3] =
    [(Standing::Converged, "converged"), (Standing::Converging, "converging"), (Standing::Split, "split")];

/// All roles in the log, with their names in metrics.
const ROLES: [(log::Role, &str); 5] = [
    (log::Role::Founding, "founding"),
    (log::Role::Voter, "voter"),
    (log::Role::Leader, "leader"),
    (log::Role::Learner, "learner"),
    (log::Role::Follower, "follower"),
];

type Labels = Vec<(&'static str, &'static str)>;

/// This process's membership in its fleet.
pub struct Peers {
    fleet: Fleet,
    /// The number of balancers in the configuration.
    configured: u32,
    /// Whether this process is a configured voter.
    is_voter: bool,
}

impl Peers {
    /// Starts the fleet's threads and returns at once.
    pub fn start(
        config: Config,
        name: &str,
        zone: &str,
        balancers: u32,
        disk: Receiver<DiskEvent>,
    ) -> io::Result<Rc<Self>> {
        let is_voter = config.voters.iter().any(|voter| voter == name);
        let fleet = Fleet::start(config, name, zone, balancers, disk)?;
        Ok(Rc::new(Peers { fleet, configured: balancers, is_voter }))
    }

    /// Reports the number of balancers that share the load, whenever it changes.
    pub async fn report_balancers(self: Rc<Self>, report: impl Fn(u32)) {
        let (mut view, mut reported) = (self.fleet.view(), self.configured);
        while view.changed().await.is_ok() {
            let balancers =
                view.borrow_and_update().as_ref().map_or(reported, |view| view.balancers as u32);
            if std::mem::replace(&mut reported, balancers) != balancers {
                report(balancers);
            }
        }
    }

    /// Joins the fleet: `start` is the state folder's id and the incarnation, if there is a state folder,
    /// and `persisted` the persisted state for the log.
    pub fn join(&self, start: Option<(u128, u64)>, persisted: Option<LogJoin>) {
        if persisted.is_none() && self.is_voter {
            error!(
                "fleet log: this process is a voter, but its state is not persisted: it takes no part until it restarts"
            );
            return self.fleet.join(start, None);
        }
        self.fleet.join(start, Some(persisted.unwrap_or_else(LogJoin::without_state)));
    }

    /// Announces to the other members that this process leaves.
    pub fn leave(&self) {
        self.fleet.leave();
    }

    /// The status of the fleet, one value per line.
    pub fn report(&self) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: &dyn std::fmt::Display| {
            let _ = writeln!(text, "fleet.{name}={value}"); // writing to a string does not fail
        };
        let figures = self.fleet.stats();
        match &*self.fleet.view().borrow() {
            None => line("standing", &"waiting for its address"),
            Some(view) => {
                line("standing", &state_name(view.standing));
                line("for_s", &self.state_age(view).as_secs());
                line("living", &view.living);
                line("suspects", &view.suspects);
                line("known", &view.known);
                line("balancers", &view.balancers);
                line("away", &view.away.join(" "));
                line("names_twice", &view.duplicate_names.join(" "));
            }
        }
        if let Some(view) = &*self.fleet.log().borrow() {
            line("log.part", &role_name(view.role));
            line("log.history", &format_args!("{:016x}", view.log_id));
            line("log.leader", &view.leader.as_deref().unwrap_or_default());
            line("log.term", &view.term);
            line("log.applied", &view.applied);
            line("log.voters", &view.voters.join(" "));
            line("log.learners", &view.learners.join(" "));
            line("log.changing", &u8::from(view.reconfiguring));
            line("log.lost", &view.lost_state.join(" "));
            line(
                "log.disturbed",
                &view.founding_conflict.as_ref().map_or(String::new(), ToString::to_string),
            );
            line("log.mute", &u8::from(view.stopped));
        }
        line("folder_older", &figures.newer_start.load(Relaxed));
        line("stuck_s", &figures.stuck_for().as_secs_f64());
        text
    }

    fn state_age(&self, view: &View) -> Duration {
        self.fleet.stats().elapsed().saturating_sub(view.since)
    }

    /// Adds these metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        let fleet = registry.sub_registry_with_prefix("fleet");
        let mut gauge = |name: &str, help: &str, value: f64| {
            fleet.register(name, help, ConstGauge::new(value));
        };
        let figures = self.fleet.stats();
        if let Some(view) = &*self.fleet.view().borrow() {
            gauge("living", "Processes that are here, this one included", view.living as f64);
            gauge("suspects", "Those of them that somebody suspects to be gone", view.suspects as f64);
            gauge("known", "Processes that count as the fleet, here or away", view.known as f64);
            gauge(
                "balancers",
                "Processes that share the work, as decisions are told",
                view.balancers as f64,
            );
            gauge("names_twice", "Names that two processes here have", view.duplicate_names.len() as f64);
            gauge(
                "standing_seconds",
                "For how long the view has stood as it does",
                self.state_age(view).as_secs_f64(),
            );
            for (standing, name) in CONVERGENCE_STATES {
                let help = "1 while the view stands so";
                gauge(name, help, f64::from(u8::from(view.standing == standing)));
            }
        }
        if let Some(view) = &*self.fleet.log().borrow() {
            for (this, name) in ROLES {
                let help = "1 while this process has that part in the log";
                gauge(&format!("log_{name}"), help, f64::from(u8::from(view.role == this)));
            }
            for (name, help, value) in [
                ("led", "1 while a leader is known", u64::from(view.leader.is_some())),
                ("term", "The term; 0 for one that follows", view.term),
                ("applied", "All up to this index is agreed and carried out here", view.applied),
                ("voters", "Those that vote", view.voters.len() as u64),
                ("changing", "1 while that is being changed", u64::from(view.reconfiguring)),
                (
                    "lost",
                    "Voters that have lost their memory and wait to be let in",
                    view.lost_state.len() as u64,
                ),
                ("mute", "1 where nothing is kept any more", u64::from(view.stopped)),
                (
                    "unheard",
                    "Frames that were dropped as torn, foreign or later",
                    view.dropped_frames.iter().sum(),
                ),
            ] {
                gauge(&format!("log_{name}"), help, value as f64);
            }
        }
        let help = "The later start that others remember of this state folder; 0 where none does";
        gauge("folder_older", help, figures.newer_start.load(Relaxed) as f64);
        gauge(
            "stuck_seconds",
            "Since the fleet's thread last had a turn",
            figures.stuck_for().as_secs_f64(),
        );
        gauge("waiting", "Datagrams that wait for the fleet's thread", self.fleet.waiting() as f64);
        let (datagrams, bytes) = <(Family<Labels, Counter>, Family<Labels, Counter>)>::default();
        for (way, [count, size]) in [("in", &figures.received), ("out", &figures.sent)] {
            datagrams.get_or_create(&vec![("way", way)]).inc_by(count.load(Relaxed));
            bytes.get_or_create(&vec![("way", way)]).inc_by(size.load(Relaxed));
        }
        fleet.register("datagrams", "Datagrams", datagrams);
        fleet.register("datagram_bytes", "Their bytes", bytes);
        let dropped = Family::<Labels, Counter>::default();
        for (reason, count) in Stats::REASONS.iter().zip(&figures.dropped) {
            dropped.get_or_create(&vec![("reason", *reason)]).inc_by(count.load(Relaxed));
        }
        fleet.register("dropped", "Datagrams that came and were not heard", dropped);
        for (name, help, count) in [
            ("unsent", "Datagrams that the system did not take", &figures.send_errors),
            ("stood", "Times that this process had stood still", &figures.stalls),
            ("log_frames_in", "Frames of the log that came", &figures.frames[0]),
            ("log_frames_out", "Frames of the log that went", &figures.frames[1]),
            (
                "log_frames_lost",
                "Frames not delivered, or not heard as too many waited",
                &figures.frames_lost,
            ),
            ("orders_refused", "Orders that the fleet's thread did not take", &figures.commands_refused),
        ] {
            fleet.register(name, help, ConstCounter::new(count.load(Relaxed)));
        }
    }
}

fn state_name(standing: Standing) -> &'static str {
    CONVERGENCE_STATES[standing as usize].1
}

fn role_name(role: log::Role) -> &'static str {
    ROLES[role as usize].1
}
