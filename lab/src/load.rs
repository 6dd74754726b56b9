//! Clients: each request is sent at the time meant for it, whatever became of those before, and measured from that
//! time.

use crate::copies::Copy;
use crate::experiment::Experiment;
use crate::http::{Answer, COPY, NoAnswer, UNTIL, until_text};
use crate::ledger::Ledger;
use crate::schedule::Planned;
use crate::seeds::{Part, draws};
use http_body_util::Full;
use hyper::StatusCode;
use hyper::body::Bytes;
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// An answer may reach a client so much after its deadline before it counts as never come: the platform allows as much.
pub const ANSWER_SLACK: Duration = Duration::from_millis(50);
/// A client whose try failed waits between this and three times as long before the next.
const RETRY_WAIT: Duration = Duration::from_millis(100);

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// Served within the time wanted.
    Served,
    /// Served, but too late to be worth anything.
    Late,
    /// Refused.
    Refused,
    /// Failed: answered with anything else.
    Failed,
    /// Nobody answered: the copy was down, or ended midway.
    Unanswered,
}

/// What became of a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Record {
    /// Its number.
    pub number: u64,
    /// Its class's number.
    pub class: usize,
    /// The number of its client's zone.
    pub zone: usize,
    /// Its tenant's number; 0 also where there are none.
    pub tenant: usize,
    /// When it was meant to be sent, from the start of the load, in milliseconds.
    pub at_ms: f64,
    /// How much later the lab sent it: its own fault, and nobody else's.
    pub lab_late_ms: f64,
    /// From the time meant to the end, in milliseconds.
    pub took_ms: f64,
    /// How it ended.
    pub end: End,
    /// The endpoint that served it.
    pub endpoint: Option<String>,
    /// The client's tries.
    pub tries: u32,
    /// Tries that a living copy took and did not answer in time.
    pub lost: u32,
}

/// What clients share.
pub struct Clients {
    /// What they send.
    pub experiment: Arc<Experiment>,
    /// To whom.
    pub copies: Vec<Arc<Copy>>,
    /// Whose turn it is.
    pub turn: AtomicUsize,
    /// Where it is noted that a client has gone.
    pub ledger: Arc<Ledger>,
}

/// How one try ended.
enum Try {
    Answered(Answer),
    None,
    Lost,
}

impl Clients {
    /// The copy that the front gives a client of a zone: one of its own, or any where it knows of none there.
    fn fronted(&self, zone: usize) -> Option<Arc<Copy>> {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let takes = |copy: &&Arc<Copy>| copy.tier == 0 && copy.fronted.load(Ordering::SeqCst);
        let up: Vec<_> = self.copies.iter().filter(takes).collect();
        let near: Vec<_> = up.iter().copied().filter(|copy| copy.zone == zone).collect();
        let from = if near.is_empty() { up } else { near };
        (!from.is_empty()).then(|| from[turn % from.len()].clone())
    }

    /// Sends a request that was meant for `due`, and again as clients do; what became of it.
    pub async fn send(self: Arc<Self>, planned: Planned, due: Instant) -> Record {
        let class = &self.experiment.class[planned.class];
        let until = due + class.deadline;
        let mut record = Record {
            number: planned.number,
            class: planned.class,
            zone: planned.zone,
            tenant: planned.tenant,
            at_ms: planned.at.as_secs_f64() * 1e3,
            lab_late_ms: due.elapsed().as_secs_f64() * 1e3,
            took_ms: 0.0,
            end: End::Unanswered,
            endpoint: None,
            tries: 0,
            lost: 0,
        };
        let mut draws = draws(self.experiment.seed, Part::Retry, planned.number);
        loop {
            record.tries += 1;
            let mut wait = RETRY_WAIT.mul_f64(draws.random_range(1.0..3.0));
            match self.attempt(&planned, record.tries, until).await {
                Try::Answered(answer) if answer.status == StatusCode::OK => {
                    let late = due.elapsed() > class.wanted;
                    (record.end, record.endpoint) =
                        (if late { End::Late } else { End::Served }, Some(answer.body));
                }
                Try::Answered(answer) => {
                    let refused = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];
                    record.end = if refused.contains(&answer.status) { End::Refused } else { End::Failed };
                    wait = answer.retry_after.unwrap_or(wait).max(wait);
                }
                Try::None => record.end = End::Unanswered,
                Try::Lost => (record.end, record.lost) = (End::Unanswered, record.lost + 1),
            }
            let served = matches!(record.end, End::Served | End::Late);
            if served || record.tries > self.experiment.load.retries || Instant::now() + wait >= until {
                record.took_ms = due.elapsed().as_secs_f64() * 1e3;
                return record;
            }
            sleep(wait).await;
        }
    }

    /// After how long a client leaves early, if it does.
    fn leaves(&self, planned: &Planned) -> Option<Duration> {
        let mut draws = draws(self.experiment.seed, Part::Leaving, planned.number);
        let leaves = draws.random::<f64>() < self.experiment.load.leaving;
        let deadline = self.experiment.class[planned.class].deadline;
        leaves.then(|| deadline.mul_f64(0.5 * draws.random::<f64>()))
    }

    async fn attempt(&self, planned: &Planned, number: u32, until: Instant) -> Try {
        let Some(copy) = self.fronted(planned.zone) else { return Try::None };
        let class = &self.experiment.class[planned.class];
        let left = until.saturating_duration_since(Instant::now());
        let (id, key) = (format!("q{number}-{}", planned.number), format!("k{}", planned.number));
        let mut request =
            class.request(&id, &key, left).header(COPY, copy.number).header(UNTIL, until_text(until));
        if number > 1 {
            request = request.header("x-retried", "1");
        }
        if let Some(tenant) = self.experiment.tenant.get(planned.tenant) {
            request = request.header("x-tenant-id", &tenant.name);
        }
        let Ok(request) = request.body(Full::new(Bytes::new())) else { return Try::None };
        let (sent, was_well) = (Instant::now(), copy.is_well());
        let leaves = self.leaves(planned).map(|after| sent + after);
        let waits_until = leaves.unwrap_or(until + ANSWER_SLACK);
        let asked = timeout_at(waits_until, copy.pool.ask(request)).await;
        if asked.is_err() {
            self.ledger.client_left(&id);
        }
        match asked {
            Err(_) if leaves.is_some() => Try::None, // it did not wait for what it is owed
            Ok(Ok(answer)) => Try::Answered(answer),
            Ok(Err(NoAnswer::Unreached)) => Try::None,
            // What a copy took and lives to answer, it owes an answer.
            Ok(Err(NoAnswer::Broken)) | Err(_) if was_well && !copy.struck_since(sent) => Try::Lost,
            _ => Try::None,
        }
    }
}
