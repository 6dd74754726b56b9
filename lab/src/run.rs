//! One run of an experiment: the load goes out at its times, faults strike and are lifted at theirs, and what became
//! of every request is recorded.

use crate::deployment::{Deployment, DeploymentError};
use crate::doors::{self, Sample};
use crate::experiment::{Experiment, Fault, spelled};
use crate::ledger::Breach;
use crate::load::{Clients, End, Record};
use crate::schedule::schedule;
use crate::telling::Telling;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

/// Requests begin so long after the deployment stands.
const HEAD_START: Duration = Duration::from_millis(200);
/// Where the lab itself was later than this with one request in a hundred, the run says nothing of the program.
const LATE_MOST_MS: f64 = 20.0;

/// A fault as it was carried out.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Struck {
    /// What happened, and to which.
    pub what: String,
    /// When it began, in seconds from the start of the load.
    pub from: f64,
    /// When it ended; none where it lasted.
    pub to: Option<f64>,
}

/// What a second of load came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    /// Its number, from 0.
    pub second: u64,
    /// Requests meant for it that have ended.
    pub ended: u64,
    /// Of them those served in time.
    pub served: u64,
    /// Of them those refused.
    pub refused: u64,
    /// Of them all others that brought nothing.
    pub failed: u64,
    /// Copies that the front sends to.
    pub fronted: usize,
    /// Faults in force.
    pub faults: Vec<String>,
}

/// A finished run.
#[derive(Clone, Debug)]
pub struct Run {
    /// What was run.
    pub experiment: Arc<Experiment>,
    /// All requests, by their numbers.
    pub records: Vec<Record>,
    /// Breaches that the endpoints saw.
    pub breaches: Vec<Breach>,
    /// Requests that reached endpoints.
    pub attempts: u64,
    /// Copies that ended by themselves.
    pub crashes: u64,
    /// What went wrong, as it was carried out.
    pub faults: Vec<Struck>,
    /// What copies said at their doors.
    pub samples: Vec<Sample>,
    /// When copies were told of changes of the list.
    pub tellings: Vec<Telling>,
    /// What a relay adds to a round trip at the median.
    pub relay_adds: Duration,
}

impl Run {
    /// The lateness of the lab itself that one request in a hundred exceeded, in milliseconds.
    pub fn lab_late_ms(&self) -> f64 {
        let mut late: Vec<f64> = self.records.iter().map(|record| record.lab_late_ms).collect();
        late.sort_by(f64::total_cmp);
        late.get(late.len() * 99 / 100).copied().unwrap_or(0.0)
    }

    /// Why the run says nothing of the program, if so.
    pub fn void(&self) -> Option<String> {
        let late = self.lab_late_ms();
        (late > LATE_MOST_MS).then(|| {
            format!("the lab was {late:.0} ms late with one request in a hundred; {LATE_MOST_MS} at most: give it more cores or less load")
        })
    }
}

/// Runs an experiment with this program; files go to this folder. `progress` is told of each second.
pub async fn run(
    experiment: Arc<Experiment>,
    program: &Path,
    folder: &Path,
    mut progress: impl FnMut(&Second),
) -> Result<Run, DeploymentError> {
    let planned = schedule(&experiment)?;
    let deployment = Arc::new(Deployment::stand(&experiment, program, folder).await?);
    let _fronts = deployment.fronts();
    let start = Instant::now() + HEAD_START;
    let clients = Arc::new(Clients {
        experiment: experiment.clone(),
        copies: deployment.copies.clone(),
        turn: AtomicUsize::new(0),
        ledger: deployment.ledger.clone(),
    });
    let (told, mut ended) = mpsc::unbounded_channel();
    let count = planned.len();
    let sending = tokio::spawn(async move {
        for planned in planned {
            let due = start + planned.at;
            sleep_until(due).await;
            let (clients, told) = (clients.clone(), told.clone());
            tokio::spawn(async move {
                let _ = told.send(clients.send(planned, due).await); // fails only while the run is given up
            });
        }
    });
    let (saying, mut said) = mpsc::unbounded_channel();
    let _doors = doors::follow(&deployment.copies, &experiment, start, &saying);
    let mut samples = Vec::new();
    let mut faults = faults(&deployment, &experiment, start);
    let (mut records, mut struck, mut seconds): (Vec<Record>, Vec<Struck>, u64) = Default::default();
    while records.len() < count {
        tokio::select! {
            record = ended.recv() => match record {
                Some(record) => records.push(record),
                None => break,
            },
            Some(sample) = said.recv() => samples.push(sample),
            Some(done) = faults.join_next() => struck.extend(done.ok().transpose()?),
            () = sleep_until(start + Duration::from_secs(seconds + 1)) => {
                progress(&second(&experiment, &deployment, &records, seconds));
                seconds += 1;
            }
        }
    }
    sending.abort();
    while let Some(done) = faults.join_next().await {
        struck.extend(done.ok().transpose()?);
    }
    records.sort_by_key(|record| record.number);
    struck.sort_by(|a, b| a.from.total_cmp(&b.from));
    let (attempts, breaches) = deployment.ledger.so_far();
    let crashes = deployment.copies.iter().map(|copy| copy.crashes.load(Ordering::SeqCst)).sum();
    let relay_adds = deployment.relay_adds;
    let lived = |copy: usize, since| deployment.copies[copy].well_since(since);
    let tellings = deployment.tellings.so_far(start, lived);
    Ok(Run {
        experiment,
        records,
        breaches,
        attempts,
        crashes,
        faults: struck,
        samples,
        tellings,
        relay_adds,
    })
}

/// Each fault strikes and is lifted by itself, at its own times.
fn faults(
    deployment: &Arc<Deployment>,
    experiment: &Arc<Experiment>,
    start: Instant,
) -> JoinSet<Result<Struck, DeploymentError>> {
    let mut faults = JoinSet::new();
    let end = start + experiment.lasts;
    for number in 0..experiment.fault.len() {
        let (deployment, experiment) = (deployment.clone(), experiment.clone());
        faults.spawn(async move {
            let fault = &experiment.fault[number];
            let what = named(fault);
            sleep_until(start + fault.at).await;
            deployment.strike(fault).await?;
            let to = fault.lasts.map(|lasts| start + fault.at + lasts);
            if let Some(to) = to {
                sleep_until(to).await;
                deployment.lift(fault).await?;
            }
            sleep_until(start.max(end.min(to.unwrap_or(start)))).await;
            let since = |at: Instant| at.saturating_duration_since(start).as_secs_f64();
            Ok(Struck { what, from: fault.at.as_secs_f64(), to: to.map(since) })
        });
    }
    faults
}

/// What a fault does, and to which.
fn named(fault: &Fault) -> String {
    format!("{} {}", spelled(&fault.what), fault.of).trim_end().to_owned()
}

fn second(experiment: &Experiment, deployment: &Deployment, records: &[Record], number: u64) -> Second {
    let within = |at_ms: f64| at_ms >= number as f64 * 1e3 && at_ms < (number + 1) as f64 * 1e3;
    let of: Vec<&Record> = records.iter().filter(|record| within(record.at_ms)).collect();
    let ends = |ends: &[End]| of.iter().filter(|record| ends.contains(&record.end)).count() as u64;
    let now = Duration::from_secs(number);
    let in_force = experiment.fault.iter().filter(|fault| {
        fault.at < now + Duration::from_secs(1) && fault.lasts.is_none_or(|lasts| fault.at + lasts > now)
    });
    Second {
        second: number,
        ended: of.len() as u64,
        served: ends(&[End::Served]),
        refused: ends(&[End::Refused]),
        failed: ends(&[End::Late, End::Failed, End::Unanswered]),
        fronted: deployment
            .copies
            .iter()
            .filter(|c| c.tier == 0 && c.fronted.load(Ordering::SeqCst))
            .count(),
        faults: in_force.map(named).collect(),
    }
}
