//! Requests as clients word them: what the module is to know of one, its body, and the headers that go on.

use super::outbound::MAX_BUFFERED_BODY;
use gullpulley::{ClassId, RequestId, Semantics, Settings, TenantId};
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use hyper::header::{self, HeaderMap, HeaderName};
use hyper::{Method, StatusCode};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Bytes a second that a body must keep to besides: half of the slowest that clients send.
const MIN_BODY_RATE: f64 = 32_000.0;

/// What requests may say: the settings, and the names in them.
pub struct RequestParser {
    /// The module's settings.
    pub settings: Settings,
    /// Classes, the first part of a request's path.
    pub classes: Vec<String>,
    /// Tenants; where there are none every request is anybody's.
    pub tenants: Vec<String>,
}

impl RequestParser {
    /// The class that a path names.
    pub fn class(&self, uri: &hyper::Uri) -> Option<usize> {
        let name = uri.path().split('/').nth(1).unwrap_or_default();
        self.classes.iter().position(|class| class == name)
    }

    /// What the module is to know of a request, and the client's time.
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
        // However long a client says that it waits: what is kept for a request must not pile up.
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

/// Reads a body as far as it is held; with the rest of a longer one.
pub async fn buffer_body(
    mut body: Incoming,
    lag_deadline: Instant,
) -> Result<(Bytes, Option<Incoming>), (StatusCode, &'static str)> {
    let mut buffer = Vec::new();
    while buffer.len() <= MAX_BUFFERED_BODY {
        let until = lag_deadline + Duration::from_secs_f64(buffer.len() as f64 / MIN_BODY_RATE);
        match timeout_at(until, body.frame()).await {
            Ok(Some(Ok(frame))) => buffer.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data)),
            Ok(Some(Err(_))) => return Err((StatusCode::BAD_REQUEST, "body broken")),
            Ok(None) => return Ok((buffer.into(), None)),
            Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "body never came")),
        }
    }
    Ok((buffer.into(), Some(body)))
}

/// A number and its unit: `m` for milliseconds or `u` for microseconds.
fn parse_timeout(text: &str) -> Option<Duration> {
    let time = match text.strip_suffix('m') {
        Some(number) => micros(number, 1000.0),
        None => micros(text.strip_suffix('u')?, 1.0),
    };
    time.filter(|time| !time.is_zero())
}

/// A number of units of so many microseconds.
fn micros(number: &str, unit: f64) -> Option<Duration> {
    let micros = number.parse::<f64>().ok()? * unit;
    (micros >= 0.0 && micros.is_finite()).then(|| Duration::from_micros(micros as u64))
}

/// Removes what concerns the client's connection alone, and what is set anew for each attempt.
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
