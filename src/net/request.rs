//! Parses client requests: what the policy needs to know of them, the body, and the headers to forward.

use super::body_limits::MAX_BUFFERED_BODY;
use super::streamed_body::{CLIENT_STALL_TIMEOUT, MIN_BODY_RATE};
use gullpulley::{ClassId, Group, RequestId, Semantics, Settings, TenantId};
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{self, HeaderMap, HeaderName};
use hyper::{Method, StatusCode};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Parses requests by the settings and the names of classes and tenants.
pub struct RequestParser {
    /// The policy's settings.
    pub settings: Settings,
    /// Names of the classes; the first segment of a request's path.
    pub classes: Vec<String>,
    /// Names of the tenants; if there are none, requests are not told apart by tenant.
    pub tenants: Vec<String>,
}

impl RequestParser {
    /// The class that a path names.
    pub fn class(&self, uri: &hyper::Uri) -> Option<usize> {
        let name = uri.path().split('/').nth(1).unwrap_or_default();
        self.classes.iter().position(|class| class == name)
    }

    /// How long a request of this class may go on after its client has left, if it may not run twice: as long as any
    /// client waits, and as long as endpoints remember its key.
    pub fn may_run_for(&self, class: ClassId) -> Option<Duration> {
        let class = &self.settings.classes[class.0];
        match class.semantics {
            Semantics::Safe => None,
            Semantics::Keyed { window, .. } => Some(window.max(class.deadline)),
            Semantics::Unsafe => Some(class.deadline),
        }
    }

    /// Whether a request of this class may be repeated by anyone though it has run.
    pub fn is_safe_to_repeat(&self, class: ClassId) -> bool {
        matches!(
            self.settings.classes[class.0].semantics,
            Semantics::Safe | Semantics::Keyed { group: Group::All, .. }
        )
    }

    /// The request as the policy sees it, and the client's time-out.
    pub fn parse(
        &self,
        method: &Method,
        uri: &hyper::Uri,
        headers: &HeaderMap,
    ) -> Result<(gullpulley::Request, Duration), (StatusCode, &'static str)> {
        let bad = |problem| (StatusCode::BAD_REQUEST, problem);
        let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let class = self.class(uri).ok_or((StatusCode::NOT_FOUND, "unknown class"))?;
        if header("x-request-id").is_none_or(str::is_empty) {
            return Err(bad("X-Request-ID is missing"));
        }
        let has_key = headers.contains_key("idempotency-key");
        let (expected_method, key_expected) = match self.settings.classes[class].semantics {
            Semantics::Safe => (Method::GET, has_key),
            Semantics::Keyed { .. } => (Method::POST, true),
            Semantics::Unsafe => (Method::POST, false),
        };
        if *method != expected_method {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "not the class's method"));
        }
        if has_key != key_expected {
            return Err(bad("Idempotency-Key does not go with the class"));
        }
        let time = header("x-timeout").and_then(parse_timeout).ok_or(bad("X-Timeout is missing or bad"))?;
        // Limits the time-out that a client may state, so that the state kept for requests stays bounded.
        let time = time.min(self.settings.classes[class].deadline);
        let tenant = match header("x-tenant-id") {
            _ if self.tenants.is_empty() => 0,
            Some(name) => {
                self.tenants.iter().position(|tenant| tenant == name).ok_or(bad("unknown tenant"))?
            }
            None => return Err(bad("X-Tenant-Id is missing")),
        };
        let query = uri.query().unwrap_or_default().split('&');
        let user = query.filter_map(|pair| pair.strip_prefix("user=")).next();
        let work_hint =
            header("x-cost").map(|cost| micros(cost, 1.0).ok_or(bad("X-Cost is bad"))).transpose()?;
        let request = gullpulley::Request {
            id: RequestId(0),
            class: ClassId(class),
            tenant: TenantId(tenant),
            time_left: Duration::ZERO,
            work_hint,
            key: user.and_then(|user| u64::from_str_radix(user, 16).ok()),
            streamed_body: false,
            client_retry: header("x-retried") == Some("1"),
            write: header("x-attrs")
                .is_some_and(|attrs| attrs.split(',').any(|attr| attr.trim() == "write=1")),
        };
        Ok((request, time))
    }
}

/// Reads a body into a buffer, up to the limit; returns the unread rest of a longer one as well.
pub async fn buffer_body(
    mut body: Incoming,
    lag_deadline: Instant,
) -> Result<(Bytes, Option<Incoming>), (StatusCode, &'static str)> {
    let stated_length = body.size_hint().lower().min(MAX_BUFFERED_BODY as u64 + 1) as usize;
    let mut buffer = Vec::with_capacity(stated_length);
    while buffer.len() <= MAX_BUFFERED_BODY {
        let rate_deadline = lag_deadline + Duration::from_secs_f64(buffer.len() as f64 / MIN_BODY_RATE);
        // What has come of a body earns no time to say nothing.
        let until = rate_deadline.min(lag_deadline.max(Instant::now() + CLIENT_STALL_TIMEOUT));
        match timeout_at(until, body.frame()).await {
            Ok(Some(Ok(frame))) => buffer.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data)),
            Ok(Some(Err(_))) => return Err((StatusCode::BAD_REQUEST, "body broken")),
            Ok(None) => return Ok((buffer.into(), None)),
            Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "body never came")),
        }
    }
    Ok((buffer.into(), Some(body)))
}

/// Parses a number and its unit: `m` for milliseconds or `u` for microseconds.
fn parse_timeout(text: &str) -> Option<Duration> {
    let time = match text.strip_suffix('m') {
        Some(number) => micros(number, 1000.0),
        None => micros(text.strip_suffix('u')?, 1.0),
    };
    time.filter(|time| !time.is_zero())
}

/// Converts a number of units, each of `unit` microseconds.
fn micros(number: &str, unit: f64) -> Option<Duration> {
    let micros = number.parse::<f64>().ok()? * unit;
    (micros >= 0.0 && micros.is_finite()).then(|| Duration::from_micros(micros as u64))
}

/// Removes hop-by-hop headers and those that are set anew for each attempt.
pub fn drop_hop_headers(headers: &mut HeaderMap) {
    let connection_headers: Vec<HeaderName> = (headers.get_all(header::CONNECTION).iter())
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != "x-request-id" && *name != "idempotency-key")
        .collect();
    for name in connection_headers {
        headers.remove(name);
    }
    for name in [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::HOST,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}
