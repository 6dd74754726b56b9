//! What goes wrong, and what must hold.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Something that goes wrong.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// For how long; without it until the end.
    #[serde(default, with = "humantime_serde")]
    pub lasts: Option<Duration>,
    /// What happens.
    pub what: What,
    /// To which: copies and endpoints go by their names (`a-0`, `a/standard-1`), zones by theirs; empty for discovery.
    #[serde(default)]
    pub of: String,
    /// For a way: the other zone or copy; without it all others.
    #[serde(default)]
    pub to: Option<String>,
    /// For `slow`: by how much; for `delay` and `disk-slow`: in milliseconds; for all others that say how much: which part.
    #[serde(default)]
    pub by: f64,
}

/// What can go wrong.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// A copy is killed; started again at the end.
    Kill,
    /// A copy is told to end, and killed as early as the platform may; started again at the end.
    Term,
    /// The same, with signals in series: its discovery moves twice, and it is told to end twice.
    Signals,
    /// The discovery of a copy, or of all of a zone's, moves: a new configuration and SIGHUP.
    Reload,
    /// A copy stands still.
    Pause,
    /// Power is cut under a copy, or under a zone with all that is in it: killed, and of its disk only what was durable
    /// is left.
    PowerCut,
    /// A copy's disk, or those of a zone's copies, takes nothing more.
    DiskFull,
    /// What a copy writes, or makes durable, fails.
    DiskFailing,
    /// What a copy writes, or makes durable, takes longer.
    DiskSlow,
    /// What a copy makes durable is said to be, and is not: a power cut then leaves of it what it will.
    DiskLying,
    /// Some bits of what a copy keeps are flipped at rest, under it if it runs.
    DiskFlipped,
    /// A copy's state folder is kept as it stands; at the end the copy is killed, the folder put back to that, and the
    /// copy started again.
    DiskOlder,
    /// A zone is lost: copies killed, endpoints gone, all started again at the end.
    ZoneLost,
    /// Nothing comes through between a zone, or a copy, and others. A connection's bytes are held back, as
    /// retransmission would; datagrams are lost.
    CutOff,
    /// Nothing comes through between a zone, or a copy, and others, and at the end everything does at once: bytes and
    /// datagrams.
    Stall,
    /// Nothing comes through from a zone or copy; what goes there does.
    CutOffOneWay,
    /// What is sent between a zone and others vanishes, and the connections that it was sent on stay silent.
    BlackHole,
    /// Bytes between a zone, or a copy, and others take longer.
    Delay,
    /// Pieces between a zone, or a copy, and others are lost now and then; a connection's come with the
    /// retransmission.
    Loss,
    /// Datagrams between a zone, or a copy, and others come twice now and then.
    Duplicate,
    /// Datagrams between a zone, or a copy, and others come after later ones now and then.
    Reorder,
    /// Connections between a zone and others are reset, and refused from then on.
    Reset,
    /// Connections between a zone and others are reset now and then, amid whatever they carry.
    Resets,
    /// An endpoint's work takes longer.
    Slow,
    /// An endpoint answers 500 to a part of the requests.
    Failing,
    /// An endpoint takes requests and never answers.
    Silent,
    /// An endpoint's process ends; started again, cold, at the end.
    Gone,
    /// An endpoint is listed as draining.
    Drain,
    /// Discovery answers 503, and its watches end.
    DiscoveryDown,
    /// All watches that are open fall silent, and stay so; those opened from then on do not.
    DiscoverySilent,
    /// Discovery goes on telling a zone the list as it stands now, and the others what becomes of it.
    DiscoveryStale,
    /// Discovery's answers and lines break off in the middle.
    DiscoveryTorn,
    /// So large a part of the calls at discovery meets trouble: never answered, lost, reset, refused early or late,
    /// half answered, told an older list, or told slowly. Discovery counts as reachable all the time.
    DiscoveryTroubled,
    /// Discovery is up, and so crowded that every call of all copies, of a zone's or of one is refused early or late,
    /// closed or never answered. It counts as reachable all the time; watches that are open go on.
    DiscoveryCrowded,
    /// New watches are answered from behind and reset: a replica has just taken over.
    DiscoveryBehind,
    /// All watches that are open are reset; those opened from then on are not.
    DiscoveryReset,
    /// Discovery tells that an endpoint, or all of a zone, is removed, though it lives.
    DiscoveryMissing,
}

impl Fault {
    /// Whether it changes the ways between zones or copies.
    pub fn of_way(&self) -> bool {
        let ways = [
            What::CutOff,
            What::Stall,
            What::CutOffOneWay,
            What::BlackHole,
            What::Delay,
            What::Loss,
            What::Duplicate,
            What::Reorder,
            What::Reset,
            What::Resets,
        ];
        ways.contains(&self.what)
    }

    /// Whether a ward has to stand between the copy and its disk.
    pub fn of_disk(&self) -> bool {
        let orders = [What::PowerCut, What::DiskFull, What::DiskFailing, What::DiskSlow, What::DiskLying];
        orders.contains(&self.what)
    }

    /// Whether it changes the list.
    pub fn of_list(&self) -> bool {
        let changes = [What::PowerCut, What::ZoneLost, What::Gone, What::Drain, What::DiscoveryMissing];
        changes.contains(&self.what)
    }

    /// Whether `by` is a part of all.
    pub fn by_part(&self) -> bool {
        let parts = [
            What::Loss,
            What::Duplicate,
            What::Reorder,
            What::Resets,
            What::Failing,
            What::DiscoveryTroubled,
        ];
        parts.contains(&self.what)
    }
}

/// What must hold.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Check {
    /// What is measured.
    pub that: That,
    /// It must be at least this.
    #[serde(default)]
    pub at_least: Option<f64>,
    /// It must be at most this.
    #[serde(default)]
    pub at_most: Option<f64>,
    /// Only of requests sent from this time on.
    #[serde(default, with = "humantime_serde")]
    pub from: Option<Duration>,
    /// Only of requests sent before this time.
    #[serde(default, with = "humantime_serde")]
    pub until: Option<Duration>,
    /// Only of clients in this zone.
    #[serde(default)]
    pub zone: Option<String>,
    /// For `figure`: the metric at the doors, ...
    #[serde(default)]
    pub metric: Option<String>,
    /// ... those of its samples that have these labels, ...
    #[serde(default)]
    pub labels: BTreeMap<String, String>,
    /// ... and what is made of them.
    #[serde(default)]
    pub over: Over,
}

impl Check {
    /// That something does not happen at all.
    pub fn never(that: That) -> Self {
        let (at_least, at_most, from, until, zone, metric) = (None, Some(0.0), None, None, None, None);
        Check {
            that,
            at_least,
            at_most,
            from,
            until,
            zone,
            metric,
            labels: BTreeMap::new(),
            over: Over::Mean,
        }
    }
}

/// What is made of the samples that copies gave at their doors.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Over {
    /// The mean.
    #[default]
    Mean,
    /// The least.
    Least,
    /// The most.
    Most,
}

/// What a check measures.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum That {
    /// Rule 1: requests taken by a living copy that got no answer in time.
    Lost,
    /// Rule 2: requests with more effects than their class allows.
    RepeatedEffects,
    /// Rule 3: requests sent to an endpoint that drains or is gone, after the grace.
    SentToDraining,
    /// Rule 4: cold endpoints pushed over.
    PushedOver,
    /// Requests whose endpoint was told of more time than their client had left, by more than 0.15 s.
    ToldTooMuchTime,
    /// Attempts that came to an endpoint over 0.1 s after their client had gone.
    SentAfterClientLeft,
    /// Worth served in time, of the worth asked for.
    Served,
    /// Part of the requests refused.
    Refused,
    /// Milliseconds within which 99 in 100 answers came, from the time meant to be sent.
    P99Ms,
    /// Part of the answers from another zone than the client's.
    Crossed,
    /// Copies that ended by themselves.
    Crashes,
    /// Seconds from a fault of the zone until clients elsewhere are served as before it.
    LeftZoneWithin,
    /// Seconds from the end of a fault of the zone until the zone serves nearly its part of before.
    ReturnedWithin,
    /// The most copies that held the same duty at one time, as far as their doors prove it.
    HoldersOfADuty,
    /// Seconds after which the last copy was told of a change that discovery had and could be reached with.
    ToldWithin,
    /// The same for 99 in 100 tellings of a change to a copy.
    ToldWithinP99,
    /// A figure that copies gave at their doors.
    Figure,
}
