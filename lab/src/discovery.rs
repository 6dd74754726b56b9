//! Discovery: the whole list, or a watch on its changes, told late, torn, or down. One address per copy, each with the
//! endpoints of its tier at the addresses of its zone's relays; behind them one [`Desk`] that takes callers in turn.

mod desk;
mod trouble;

pub use desk::Desk;
pub use trouble::{Trouble, Troubles};

use crate::network;
use crate::telling::Tellings;
use http_body_util::channel::Channel;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{JoinSet, yield_now};
use tokio::time::{sleep, timeout};

/// A watch on which nothing changes brings an empty line this often.
const EMPTY_LINE: Duration = Duration::from_secs(2);
/// An answer that falls silent stays up for so long.
const STAYS_SILENT: Duration = Duration::from_secs(60);
/// Slow pieces: so many, and so far apart.
const SLOW_PIECES: usize = 8;
const PIECES_APART: Duration = Duration::from_millis(150);

/// An endpoint as the list has it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its name.
    pub uid: String,
    /// Its zone's name.
    pub zone: String,
    /// The number of the cell that it shares repeat keys with.
    pub cell: usize,
    /// Its tier.
    pub tier: usize,
    /// Where it is reached, by the number of the zone that asks.
    pub addresses: Vec<SocketAddr>,
    /// `up`, `draining` or `removed`.
    pub state: &'static str,
    /// When it started, in milliseconds of Unix time; 0 where that was long ago.
    pub boot_ms: u64,
    /// The version of the list that last changed it.
    pub rev: u64,
}

/// The list, and whether anybody answers for it.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Its version.
    pub rev: u64,
    /// Its entries.
    pub entries: Vec<Entry>,
    /// Nobody answers.
    pub down: bool,
    /// How often it has gone down.
    pub downs: u64,
    /// What is told breaks off in the middle.
    pub torn: bool,
    /// How often all watches that were open then have fallen silent, for good.
    pub silenced: u64,
    /// How often all watches that were open then have been reset.
    pub resets: u64,
    /// This part of the calls meets trouble of its own; 0 for none.
    pub troubled: f64,
    /// Copies, by their numbers, whose calls are all refused, closed or never answered.
    pub crowded: BTreeSet<usize>,
    /// How often that began.
    pub crowds: u64,
    /// New watches are answered from behind, and reset.
    pub behind: bool,
    /// Zones, by their numbers, that are told the list as it stood once, and its version then.
    pub stale: BTreeMap<usize, (u64, Vec<Entry>)>,
}

/// Who asks.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    /// The copy's number.
    pub copy: usize,
    /// The zone that it is in.
    pub zone: usize,
    /// The tier that it sends to.
    pub tier: usize,
}

/// What stands behind all addresses.
#[derive(Clone)]
pub struct Behind {
    /// The list.
    pub table: watch::Receiver<Table>,
    /// Where callers wait for their turn.
    pub desk: Arc<Desk>,
    /// What becomes of single calls.
    pub troubles: Arc<Troubles>,
    /// Who was told what.
    pub tellings: Arc<Tellings>,
}

impl Table {
    /// The list's version and entries as a zone is told them.
    fn seen(&self, zone: usize) -> (u64, &[Entry]) {
        self.stale.get(&zone).map_or((self.rev, &self.entries), |(rev, entries)| (*rev, entries))
    }

    /// The whole list as it was before its last change, but for what that change left out for good.
    fn before(&self, caller: Caller) -> Value {
        let (mut list, _) = self.after(0, caller);
        let last = self.rev;
        list["rev"] = json!(last.saturating_sub(1));
        let changed = |uid: &Value| self.entries.iter().any(|e| e.rev == last && *uid == e.uid.as_str());
        for target in list["targets"].as_array_mut().into_iter().flatten() {
            if changed(&target["uid"]) {
                target["state"] = json!("up");
            }
        }
        list
    }

    /// What becomes of the next call of a copy, where it does not go as it should.
    fn trouble(&self, copy: usize, troubles: &Troubles) -> Option<Trouble> {
        match self {
            Table { down: true, .. } => None,
            _ if self.crowded.contains(&copy) => Some(troubles.in_crowd(copy, self.crowds)),
            Table { behind: true, .. } => Some(troubles.behind(copy)),
            _ if self.troubled > 0.0 => troubles.next(copy, self.troubled),
            _ => None,
        }
    }

    /// What a watch is told from behind: the version that it named and no change, or the whole list as it was before.
    fn nothing_after(&self, rev: u64, caller: Caller) -> Value {
        if rev == 0 { self.before(caller) } else { json!({"rev": rev, "all": false, "targets": []}) }
    }

    /// The entries that changed after a version, as discovery words them to a caller, and how many they are.
    fn after(&self, rev: u64, Caller { zone, tier, .. }: Caller) -> (Value, usize) {
        let (all, (now, entries)) = (rev == 0, self.seen(zone));
        let told = entries.iter().filter(|entry| entry.tier == tier && entry.rev > rev);
        let targets: Vec<Value> = told
            .filter(|entry| !(all && entry.state == "removed"))
            .map(|entry| {
                json!({"uid": entry.uid, "endpoint": entry.addresses[zone].to_string(), "az": entry.zone,
                       "model": "m", "pod_group": entry.cell, "state": entry.state, "capacity_hint": 1.0,
                       "boot_ms": entry.boot_ms})
            })
            .collect();
        let lines = targets.len();
        (json!({"rev": now, "all": all, "targets": targets}), lines)
    }
}

type Body = BoxBody<Bytes, io::Error>;

/// Serves the list to one copy until the world is taken down. Where discovery refuses connections while it is down,
/// nothing listens then, and those that were open are closed.
pub async fn serve(mut listener: TcpListener, caller: Caller, behind: Behind) -> io::Result<()> {
    let address = listener.local_addr()?;
    let mut table = behind.table.clone();
    loop {
        serve_while_up(listener, caller, &behind).await;
        if table.wait_for(|table| !table.down).await.is_err() {
            return Ok(());
        }
        listener = network::listen(address).await?;
    }
}

/// Serves until nothing is to listen.
async fn serve_while_up(listener: TcpListener, caller: Caller, behind: &Behind) {
    let mut table = behind.table.clone();
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
            _ = table.wait_for(|table| table.down), if behind.desk.refuses_connections() => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        let behind = behind.clone();
        connections.spawn(async move {
            let service = service_fn(|request| {
                let behind = behind.clone();
                async move { answer(&request, caller, behind).await }
            });
            // An error here is a caller's leaving, or an answer that breaks off.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn refusal() -> Response<Body> {
    let mut reply = Response::new(Full::default().map_err(io::Error::other).boxed());
    *reply.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    reply
}

/// An answer that begins with this text and then says nothing more for as long as its caller stays.
async fn silent_after(text: String) -> Response<Body> {
    let (mut lines, body) = Channel::<Bytes, io::Error>::new(16);
    if !text.is_empty() {
        let _ = lines.send_data(Bytes::from(text)).await; // fails only where nobody listens
    }
    tokio::spawn(async move {
        sleep(STAYS_SILENT).await;
        drop(lines);
    });
    Response::new(body.boxed())
}

/// An answer that begins with this text and is reset after so long.
async fn reset_after_saying(text: String, after: Duration) -> Response<Body> {
    let (mut lines, body) = Channel::<Bytes, io::Error>::new(16);
    let _ = lines.send_data(Bytes::from(text)).await; // fails only where nobody listens
    tokio::spawn(async move {
        sleep(after).await;
        lines.abort(io::ErrorKind::ConnectionReset.into());
    });
    Response::new(body.boxed())
}

/// An answer, or a connection that is closed without one. A list that is not told whole is not counted as written.
async fn answer(
    request: &Request<Incoming>,
    caller: Caller,
    behind: Behind,
) -> Result<Response<Body>, io::Error> {
    let query = request.uri().query().unwrap_or_default();
    let value = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    let watch = value("watch") == Some("1");
    let after = value("after").and_then(|rev| rev.parse().ok()).filter(|_| watch).unwrap_or(0);
    let (count, trouble) = {
        let now = behind.table.borrow();
        (now.after(after, caller).1, now.trouble(caller.copy, &behind.troubles))
    };
    match trouble {
        Some(Trouble::NeverAnswered) => pending::<()>().await,
        Some(Trouble::Broken) => return Err(io::ErrorKind::ConnectionReset.into()),
        Some(Trouble::Refused) => return Ok(refusal()),
        Some(Trouble::RefusedLate(after)) => {
            sleep(after).await;
            return Ok(refusal());
        }
        _ => {}
    }
    if !behind.desk.call(count).await {
        return Ok(refusal());
    }
    match trouble {
        Some(Trouble::AnswerLost) => pending::<()>().await,
        Some(Trouble::HeadersOnly) => return Ok(silent_after(String::new()).await),
        Some(Trouble::HalfList) => {
            let mut text = behind.desk.lay_out(&behind.table.borrow().after(after, caller).0);
            text.truncate(text.len() / 2);
            return Ok(silent_after(text).await);
        }
        Some(Trouble::OlderList) => {
            let text = behind.desk.lay_out(&behind.table.borrow().before(caller)) + "\n";
            return Ok(silent_after(text).await);
        }
        Some(Trouble::FromBehind(reset_after)) if watch => {
            let text = behind.desk.lay_out(&behind.table.borrow().nothing_after(after, caller)) + "\n";
            behind.tellings.opened(caller.copy);
            return Ok(reset_after_saying(text, reset_after).await);
        }
        _ => {}
    }
    let pause = if trouble == Some(Trouble::SlowPieces) { PIECES_APART } else { Duration::ZERO };
    let (lines, body) = Channel::<Bytes, io::Error>::new(16);
    if watch {
        tokio::spawn(follow(lines, after, caller, behind, pause));
    } else {
        let (list, rev, torn) = {
            let now = behind.table.borrow();
            (behind.desk.lay_out(&now.after(0, caller).0), now.seen(caller.zone).0, now.torn)
        };
        tokio::spawn(async move {
            let how = Pace { pieces: behind.desk.pieces, pause };
            if say(lines, list, how, torn).await.is_some() {
                behind.tellings.written(caller.copy, rev);
            }
        });
    }
    Ok(Response::new(body.boxed()))
}

/// How a text is told: in pieces of so many bytes (0 for whole), with a pause after each.
#[derive(Clone, Copy)]
struct Pace {
    pieces: usize,
    pause: Duration,
}

type Lines = http_body_util::channel::Sender<Bytes, io::Error>;

/// Says a text, or half of it before it breaks off; gives back where more can be said.
async fn say(mut lines: Lines, text: String, pace: Pace, torn: bool) -> Option<Lines> {
    let mut text = Bytes::from(text);
    if torn {
        text.truncate(text.len() / 2);
    }
    let mut pieces = pace.pieces;
    if !pace.pause.is_zero() {
        pieces = text.len().div_ceil(SLOW_PIECES);
    }
    while !text.is_empty() {
        let piece = if pieces == 0 { text.len() } else { pieces.min(text.len()) };
        lines.send_data(text.split_to(piece)).await.ok()?;
        if !pace.pause.is_zero() {
            sleep(pace.pause).await;
        } else if pieces > 0 {
            yield_now().await; // else they would be written as one
        }
    }
    if torn {
        lines.abort(io::ErrorKind::ConnectionReset.into());
        return None;
    }
    Some(lines)
}

async fn follow(mut lines: Lines, mut told: u64, caller: Caller, behind: Behind, pause: Duration) {
    let Behind { mut table, desk, tellings, .. } = behind;
    let mut first = true;
    let (silenced, resets) = (table.borrow().silenced, table.borrow().resets);
    loop {
        let first = std::mem::replace(&mut first, false);
        if table.borrow().resets > resets {
            lines.abort(io::ErrorKind::ConnectionReset.into());
            return;
        }
        if table.borrow().silenced > silenced {
            // Its connection stays up, and nothing more is said on it.
            while table.changed().await.is_ok() {}
            return;
        }
        let line = {
            let now = table.borrow_and_update();
            if now.down {
                return; // its end tells
            }
            // A rev from another life of the list is answered with all of it.
            let rev = now.seen(caller.zone).0;
            let told = if told > rev { 0 } else { told };
            (rev != told || told == 0).then(|| (rev, now.after(told, caller), now.torn))
        };
        let (text, torn) = match line {
            Some((rev, (list, count), torn)) => {
                // The call itself has had its turn.
                if !first && !desk.news(count).await {
                    return;
                }
                told = rev;
                (desk.lay_out(&list) + "\n", torn)
            }
            None => match timeout(EMPTY_LINE, table.changed()).await {
                Ok(Ok(())) => continue,
                Ok(Err(_)) => return,
                Err(_) => ("\n".to_owned(), false),
            },
        };
        let how = Pace { pieces: desk.pieces, pause: if first { pause } else { Duration::ZERO } };
        lines = match say(lines, text, how, torn).await {
            Some(lines) => lines,
            None => return, // the caller has left, or heard half
        };
        if first {
            tellings.opened(caller.copy);
        }
        tellings.written(caller.copy, told);
    }
}
