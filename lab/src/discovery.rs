//! Discovery: the whole list, or a watch on its changes, told late, or down. One per zone, all with the same list but
//! with the addresses of that zone's relays.

use http_body_util::channel::Channel;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::timeout;

/// A watch on which nothing changes brings an empty line this often.
const EMPTY_LINE: Duration = Duration::from_secs(2);

/// An endpoint as the list has it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its name.
    pub uid: String,
    /// Its zone's name.
    pub zone: String,
    /// The number of the cell that it shares repeat keys with.
    pub cell: usize,
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
    /// Zones, by their numbers, that are told the list as it stood once, and its version then.
    pub stale: BTreeMap<usize, (u64, Vec<Entry>)>,
}

impl Table {
    /// The list's version and entries as a zone is told them.
    fn seen(&self, zone: usize) -> (u64, &[Entry]) {
        self.stale.get(&zone).map_or((self.rev, &self.entries), |(rev, entries)| (*rev, entries))
    }

    /// The entries that changed after a version, as discovery words them to a zone.
    fn after(&self, rev: u64, zone: usize) -> Value {
        let (all, (now, entries)) = (rev == 0, self.seen(zone));
        let told = entries.iter().filter(|entry| entry.rev > rev && !(all && entry.state == "removed"));
        let targets: Vec<Value> = told
            .map(|entry| {
                json!({"uid": entry.uid, "endpoint": entry.addresses[zone].to_string(), "az": entry.zone,
                       "model": "m", "pod_group": entry.cell, "state": entry.state, "capacity_hint": 1.0,
                       "boot_ms": entry.boot_ms})
            })
            .collect();
        json!({"rev": now, "all": all, "targets": targets})
    }
}

type Body = BoxBody<Bytes, Infallible>;

/// Serves the list to one zone until the world is taken down.
pub async fn serve(listener: TcpListener, zone: usize, table: watch::Receiver<Table>) {
    let table = Arc::new(table);
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let table = table.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let table = (*table).clone();
                async move { Ok::<_, Infallible>(answer(&request, zone, table)) }
            });
            // An error here is a caller's leaving.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn answer(request: &Request<Incoming>, zone: usize, table: watch::Receiver<Table>) -> Response<Body> {
    let query = request.uri().query().unwrap_or_default();
    let value = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    if table.borrow().down {
        let mut reply = Response::new(Full::default().boxed());
        *reply.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return reply;
    }
    if value("watch") != Some("1") {
        let list = table.borrow().after(0, zone).to_string();
        return Response::new(Full::new(Bytes::from(list)).boxed());
    }
    let after = value("after").and_then(|rev| rev.parse().ok()).unwrap_or(0);
    let (lines, body) = Channel::<Bytes, Infallible>::new(16);
    tokio::spawn(follow(lines, after, zone, table));
    Response::new(body.boxed())
}

async fn follow(
    mut lines: http_body_util::channel::Sender<Bytes, Infallible>,
    mut told: u64,
    zone: usize,
    mut table: watch::Receiver<Table>,
) {
    loop {
        let line = {
            let now = table.borrow_and_update();
            if now.down {
                return; // its end tells
            }
            // A rev from another life of the list is answered with all of it.
            let rev = now.seen(zone).0;
            let told = if told > rev { 0 } else { told };
            (rev != told || told == 0).then(|| (rev, now.after(told, zone).to_string() + "\n"))
        };
        let text = match line {
            Some((rev, text)) => {
                told = rev;
                text
            }
            None => match timeout(EMPTY_LINE, table.changed()).await {
                Ok(Ok(())) => continue,
                Ok(Err(_)) => return,
                Err(_) => "\n".to_owned(),
            },
        };
        if lines.send_data(Bytes::from(text)).await.is_err() {
            return; // the caller has left
        }
    }
}
