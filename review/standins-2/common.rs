//! Stand-ins of the second review: discovery, endpoints, clients and the start of a sidecar, all on loopback and with the
//! standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// Time since the start of the case.
pub fn at() -> Duration {
    START.get_or_init(Instant::now).elapsed()
}

/// Opens the record of the case.
pub fn open_record(path: &str) {
    at();
    let file = File::create(path).unwrap_or_else(|e| fail(&format!("record: {e}")));
    let _ = RECORD.set(Mutex::new(file));
}

/// Writes a line to the record.
pub fn record(text: &str) {
    if let Some(file) = RECORD.get() {
        let _ = writeln!(file.lock().unwrap(), "{:9.3} {text}", at().as_secs_f64());
    }
}

unsafe extern "C" {
    fn prctl(option: i32, signal: u64) -> i32;
}
/// Asks the system to kill a process when the one that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// Ends a case that could not run. The sidecars that it started are killed as it ends.
pub fn fail(why: &str) -> ! {
    record(&format!("could not run: {why}"));
    eprintln!("could not run: {why}");
    std::process::exit(COULD_NOT_RUN);
}

/// Whether the disruption takes place.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A small generator of random numbers.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// From the clock, so that plays differ.
    pub fn from_clock() -> Random {
        Random::new(SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn uniform(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn below(&mut self, n: usize) -> usize {
        (self.next() % n.max(1) as u64) as usize
    }

    /// The wait until the next arrival at this rate.
    pub fn arrival(&mut self, per_second: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.uniform()).ln() / per_second)
    }
}

/// A fresh X-Request-ID.
pub fn fresh_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    format!("{:08x}{:08x}", std::process::id(), number)
}

/// A message of HTTP/1.1.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    /// Reads a message whose body has a length or comes in chunks; `None` at the end of the connection before the first
    /// byte.
    pub fn read(from: &mut impl BufRead) -> io::Result<Option<Message>> {
        let mut message = Message::default();
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        message.first_line = line.trim_end().to_owned();
        loop {
            let text = read_line(from)?;
            if text.is_empty() {
                break;
            }
            if let Some((name, value)) = text.split_once(':') {
                message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
        }
        if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let size = read_line(from)?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
                let size = size.map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "chunk size"))?;
                let start = message.body.len();
                message.body.resize(start + size, 0);
                from.read_exact(&mut message.body[start..])?;
                read_line(from)?;
                if size == 0 {
                    break;
                }
            }
        } else {
            let length = message.header("content-length").parse().unwrap_or(0);
            message.body = vec![0; length];
            from.read_exact(&mut message.body)?;
        }
        Ok(Some(message))
    }
}

fn read_line(from: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

/// An answer of 200 with a length.
pub fn served(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Starts an endpoint; `serve` gets each whole request and the connection to answer on, and returns whether the connection
/// is kept.
pub fn endpoint<F>(serve: F) -> SocketAddr
where
    F: Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    endpoint_at("127.0.0.1:0", serve)
}

pub fn endpoint_at<F>(address: &str, serve: F) -> SocketAddr
where
    F: Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address).unwrap_or_else(|e| fail(&format!("endpoint: {e}")));
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = Message::read(&mut reader) {
                    // A request that is no probe has to bear an id.
                    if request.path().starts_with("/-/") {
                        let _ = writer.write_all(served("").as_bytes());
                        continue;
                    }
                    if !serve(&request, &mut writer) {
                        break;
                    }
                }
                let _ = writer.shutdown(std::net::Shutdown::Both);
            });
        }
    });
    address
}

/// An entry of the endpoint list.
#[derive(Clone)]
pub struct Target {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub zone: String,
    pub cell: u32,
    pub state: &'static str,
}

impl Target {
    fn json(&self) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"{}","model":"vo-vakio","pod_group":{},"state":"{}","capacity_hint":1.0,"boot_ms":0}}"#,
            self.uid, self.endpoint, self.zone, self.cell, self.state
        )
    }
}

/// What discovery knows.
pub struct Listing {
    pub rev: u64,
    pub targets: Vec<Target>,
    /// Each change with its version.
    pub changes: Vec<(u64, Target)>,
    /// Open watches.
    pub watches: Vec<TcpStream>,
}

/// How discovery treats a call.
pub enum Call {
    Answer,
    /// After this time.
    AnswerAfter(Duration),
    /// 503.
    Unavailable,
    /// The connection is reset or closed without an answer.
    Drop,
}

/// Discovery: whole lists, and watches with an empty line every 2 s.
pub struct Discovery {
    pub address: SocketAddr,
    pub listing: Arc<Mutex<Listing>>,
    pub calls: Arc<Mutex<Box<dyn FnMut(usize) -> Call + Send>>>,
}

pub fn list_json(rev: u64, all: bool, targets: &[Target]) -> String {
    let entries: Vec<String> = targets.iter().map(Target::json).collect();
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, entries.join(","))
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

impl Discovery {
    pub fn start(rev: u64, targets: Vec<Target>) -> Discovery {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| fail(&format!("discovery: {e}")));
        let address = listener.local_addr().unwrap();
        let (changes, watches) = Default::default();
        let listing = Arc::new(Mutex::new(Listing { rev, targets, changes, watches }));
        let calls: Arc<Mutex<Box<dyn FnMut(usize) -> Call + Send>>> =
            Arc::new(Mutex::new(Box::new(|_| Call::Answer)));
        let (shared, decide) = (listing.clone(), calls.clone());
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let (shared, decide) = (shared.clone(), decide.clone());
                thread::spawn(move || {
                    let _ = serve_discovery(stream, number, &shared, &decide);
                });
            }
        });
        Discovery { address, listing, calls }
    }

    /// Changes the state of an endpoint; written to all open watches at once. Returns when it was written.
    pub fn change(&self, uid: &str, state: &'static str) -> Duration {
        let mut listing = self.listing.lock().unwrap();
        listing.rev += 1;
        let rev = listing.rev;
        let Some(target) = listing.targets.iter_mut().find(|target| target.uid == uid) else { return at() };
        target.state = state;
        let changed = target.clone();
        if state == "removed" {
            listing.targets.retain(|target| target.uid != uid);
        }
        listing.changes.push((rev, changed.clone()));
        let text = chunk(&(list_json(rev, false, &[changed]) + "\n"));
        listing.watches.retain_mut(|watch| watch.write_all(text.as_bytes()).is_ok());
        record(&format!("discovery: {uid} is {state}, rev {rev}, {} watches", listing.watches.len()));
        at()
    }

    /// Ends all open watches.
    pub fn end_watches(&self) {
        let watches = std::mem::take(&mut self.listing.lock().unwrap().watches);
        record(&format!("discovery: ends {} watches", watches.len()));
        for watch in watches {
            let _ = watch.shutdown(std::net::Shutdown::Both);
        }
    }

    pub fn on_call(&self, decide: impl FnMut(usize) -> Call + Send + 'static) {
        *self.calls.lock().unwrap() = Box::new(decide);
    }

    pub fn watch_count(&self) -> usize {
        self.listing.lock().unwrap().watches.len()
    }
}

fn serve_discovery(
    stream: TcpStream,
    number: usize,
    listing: &Arc<Mutex<Listing>>,
    decide: &Arc<Mutex<Box<dyn FnMut(usize) -> Call + Send>>>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let Some(request) = Message::read(&mut reader)? else { return Ok(()) };
    let path = request.path().to_owned();
    let call = (decide.lock().unwrap())(number);
    let decided = match &call {
        Call::Answer => "answered".to_owned(),
        Call::AnswerAfter(wait) => format!("answered after {} ms", wait.as_millis()),
        Call::Unavailable => "503".to_owned(),
        Call::Drop => "dropped".to_owned(),
    };
    record(&format!("discovery: call {number} {path}: {decided}"));
    match call {
        Call::Answer => {}
        Call::AnswerAfter(wait) => thread::sleep(wait),
        Call::Unavailable => {
            let text = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            return writer.write_all(text.as_bytes());
        }
        Call::Drop => return Ok(()),
    }
    if !path.contains("watch=1") {
        let listing = listing.lock().unwrap();
        return writer.write_all(served(&list_json(listing.rev, true, &listing.targets)).as_bytes());
    }
    let after = path.split("after=").nth(1).and_then(|text| text.parse().ok()).unwrap_or(0u64);
    writer.write_all(
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
    )?;
    {
        let mut listing = listing.lock().unwrap();
        let rev = listing.rev;
        let oldest = listing.changes.first().map_or(rev + 1, |change| change.0);
        let text = if after + 1 >= oldest && after <= rev {
            let mut changed: Vec<Target> = Vec::new();
            for (_, target) in listing.changes.iter().filter(|change| change.0 > after) {
                changed.retain(|earlier| earlier.uid != target.uid);
                changed.push(target.clone());
            }
            list_json(rev, false, &changed)
        } else {
            list_json(rev, true, &listing.targets)
        };
        writer.write_all(chunk(&(text + "\n")).as_bytes())?;
        record(&format!("discovery: call {number} told up to rev {rev}"));
        listing.watches.push(writer.try_clone()?);
    }
    loop {
        thread::sleep(Duration::from_secs(2));
        // Under the lock, so that lines don't mix.
        let _lock = listing.lock().unwrap();
        writer.write_all(chunk("\n").as_bytes())?;
    }
}

/// A class of requests as the settings have it.
pub struct Class {
    pub name: &'static str,
    pub semantics: &'static str,
    pub group: &'static str,
    pub window_ms: u64,
    pub objective_ms: u64,
    pub deadline_ms: u64,
}

/// The classes of kuusela-render.
pub fn classes() -> Vec<Class> {
    let class = |name, semantics, group, window_ms, objective_ms, deadline_ms| Class {
        name,
        semantics,
        group,
        window_ms,
        objective_ms,
        deadline_ms,
    };
    vec![
        class("esikatselu", "safe", "all", 5000, 1200, 3000),
        class("luonnos", "keyed", "cell", 7500, 2000, 5000),
        class("lopullinen", "keyed", "zone", 10000, 2500, 6000),
    ]
}

/// How a sidecar is configured.
pub struct Setup {
    pub name: String,
    pub discovery_mode: &'static str,
    pub areas: Vec<&'static str>,
    pub classes: Vec<Class>,
    pub second_copies: bool,
    pub probes: bool,
    pub balancers: u32,
    pub ask_within_ms: u64,
    pub memory_mb: u32,
    pub sockets: u32,
    pub known_rev: u64,
    pub known: Vec<Target>,
    pub control: Option<SocketAddr>,
    pub max_attempts: u32,
}

impl Setup {
    /// Settings like those of a small deployment of kuusela-render.
    pub fn small(known_rev: u64, known: &[Target]) -> Setup {
        Setup {
            name: "n1".to_owned(),
            discovery_mode: "subscribe",
            areas: vec!["tampere-hervanta", "oulu-linnanmaa", "kuopio-savilahti", "vaasa-palosaari"],
            classes: classes(),
            second_copies: true,
            probes: true,
            balancers: 4,
            ask_within_ms: 10000,
            memory_mb: 192,
            sockets: 1024,
            known_rev,
            known: known.to_vec(),
            control: None,
            max_attempts: 4,
        }
    }

    fn json(&self, listen: SocketAddr, discovery: SocketAddr) -> String {
        let mut classes = String::new();
        for class in &self.classes {
            let _ = write!(
                classes,
                r#"{}{{"name":"{}","semantics":"{}","group":"{}","repeatWindowMs":{}.0,"objectiveMs":{}.0,"deadlineMs":{}.0,"worth":3.0,"lateValue":0.0,"streamed":false}}"#,
                if classes.is_empty() { "" } else { "," },
                class.name,
                class.semantics,
                class.group,
                class.window_ms,
                class.objective_ms,
                class.deadline_ms
            );
        }
        let areas: Vec<String> = self.areas.iter().map(|area| format!("\"{area}\"")).collect();
        let control = self.control.map_or(String::new(), |control| format!(r#""control":"{control}","#));
        format!(
            r#"{{"name":"{name}","listen":"{listen}",{control}"discovery":"{discovery}","seed":"{seed:016x}",
"limits":{{"cores":1.0,"memory_mb":{memory},"sockets":{sockets}}},
"known":{known},
"settings":{{"areas":[{areas}],"balancers":{balancers},"classes":[{classes}],"clients":{{"marksRetry":true}},
"blend":{{"whole":0.45,"worstClass":0.3,"worstTenant":0.1,"worstWindow":0.15}},
"costs":{{"connection":0.0,"crossZone":0.007,"discovery":0.0,"handshake":0.08,"lateFail":0.03,"probe":0.01,"waste":0.2}},
"countedBy":"work","discovery":"{mode}","family":"chain","familyInfo":{{"passesDeadline":true}},
"kinds":["vo-uusi","vo-vakio","vo-vanha"],
"limits":{{"cancelling":true,"connectTimeoutMs":250.0,"cpuUsPerRequest":0.0,"cpuUsPerS":8000,"idleCloseMs":60000.0,"maxAttempts":{attempts},"maxRetryAfterMs":2000.0,"openCap":20000,"peers":false,"probes":{probes},"retryAfter":true,"secondCopies":{copies},"streamsPerConn":1}},
"me":0,"myZone":0,"overShareWorth":0.1,"resolutionMs":5.0,
"rules":{{"askWithinMs":{ask}.0,"coldShare":0.33,"drainGraceMs":500.0,"fallMs":3000.0,"fallMultiple":4.0,"graceToAnswerMs":20.0,"warmWithinMs":8600.0}},
"stage":0,"telemetry":{{"fields":[],"via":"off"}},
"tenants":[{{"allowancePerS":200.0,"name":"pohjoistila","portion":1.0}}],
"tiers":["vastaanotto","kohtaus","laskenta"],"weightKind":"rough"}}}}"#,
            name = self.name,
            seed = Random::from_clock().next(),
            memory = self.memory_mb,
            sockets = self.sockets,
            known = list_json(self.known_rev, true, &self.known),
            areas = areas.join(","),
            balancers = self.balancers,
            mode = self.discovery_mode,
            attempts = self.max_attempts,
            probes = self.probes,
            copies = self.second_copies,
            ask = self.ask_within_ms,
        )
    }
}

/// A folder for temporary files, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("review-2-{}-{number}", std::process::id()));
        fs::create_dir_all(&path).unwrap_or_else(|e| fail(&format!("temporary folder: {e}")));
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A loopback address that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).unwrap_or_else(|e| fail(&e.to_string()))
}

/// A sidecar, started as the deploy file says.
pub struct Sidecar {
    pub listen: SocketAddr,
    child: Child,
    log: PathBuf,
}

impl Sidecar {
    /// Starts it, and waits until it is ready.
    pub fn start(setup: &Setup, discovery: SocketAddr, folder: &Folder) -> Sidecar {
        let listen = free_address();
        let sidecar = Sidecar::spawn(setup, listen, discovery, folder);
        sidecar.wait_until_ready();
        sidecar
    }

    pub fn spawn(setup: &Setup, listen: SocketAddr, discovery: SocketAddr, folder: &Folder) -> Sidecar {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let config = folder.0.join(format!("config-{number}.json"));
        fs::write(&config, setup.json(listen, discovery)).unwrap_or_else(|e| fail(&format!("config: {e}")));
        let tmp = folder.0.join(format!("tmp-{}", setup.name));
        let _ = fs::create_dir_all(&tmp);
        let log = folder.0.join(format!("log-{number}"));
        let log_file = File::create(&log).unwrap_or_else(|e| fail(&format!("log: {e}")));
        let mut command = Command::new("/bin/sh");
        command.args(["-c", "exec target/release/gullpulley"]);
        command.env("ROUTER_NAME", &setup.name).env("ROUTER_LISTEN", listen.to_string());
        command.env("ROUTER_DISCOVERY", discovery.to_string()).env("ROUTER_CONFIG", &config);
        command.env("TMPDIR", &tmp).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log_file);
        if let Some(control) = setup.control {
            command.env("ROUTER_CONTROL", control.to_string());
        }
        // However this process ends, the sidecar ends with it.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn().unwrap_or_else(|e| fail(&format!("sidecar: {e}")));
        record(&format!("sidecar {} started, process {}, at {listen}", setup.name, child.id()));
        Sidecar { listen, child, log }
    }

    pub fn wait_until_ready(&self) {
        let deadline = Instant::now() + Duration::from_secs(15);
        loop {
            let ready = Client::connect(self.listen).ok().and_then(|mut client| {
                client.stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
                client.stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n").ok()?;
                Message::read(&mut client.reader).ok()?
            });
            if ready.is_some_and(|answer| answer.status() == 200) {
                return record("sidecar is ready");
            }
            if Instant::now() > deadline {
                fail(&format!("the sidecar was not ready: {}", self.log_text()));
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        record(&format!("sidecar gets SIG{name}"));
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.child.id())]).status();
    }

    /// Its exit code, if it has ended.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok()?.map(|status| status.to_string())
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        if let Ok(Some(status)) = self.child.try_wait() {
            record(&format!("sidecar had ended: {status}"));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        for line in self.log_text().lines() {
            record(&format!("log: {line}"));
        }
    }
}

/// What a client got.
#[derive(Clone, Debug, PartialEq)]
pub enum Got {
    /// A whole answer.
    Answer(u16, Vec<u8>),
    /// The connection broke or ended after the first byte of the answer.
    Partial,
    /// It ended without a byte.
    Closed,
    /// Nothing, or no end, for as long as the client waited.
    Nothing,
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    /// Sends a request whole.
    pub fn send(&mut self, class: &Class, id: &str, patience: Duration, body: &[u8]) -> io::Result<()> {
        let head = request_head(class, id, patience, body.len());
        self.stream.write_all(&[head.as_bytes(), body].concat())
    }

    /// Reads the answer for at most this long.
    pub fn receive(&mut self, wait: Duration) -> Got {
        let _ = self.stream.set_read_timeout(Some(wait.max(Duration::from_millis(1))));
        match self.reader.fill_buf() {
            Ok([]) => return Got::Closed,
            Ok(_) => {}
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                return Got::Nothing;
            }
            Err(_) => return Got::Closed,
        }
        match Message::read(&mut self.reader) {
            Ok(Some(answer)) => Got::Answer(answer.status(), answer.body),
            Ok(None) => Got::Closed,
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                Got::Nothing
            }
            Err(_) => Got::Partial,
        }
    }
}

/// The head of a request as the protocol page has it.
pub fn request_head(class: &Class, id: &str, patience: Duration, length: usize) -> String {
    let (method, key) = match class.semantics {
        "safe" => ("GET", String::new()),
        "keyed" => ("POST", format!("Idempotency-Key: key-{id}\r\n")),
        _ => ("POST", String::new()),
    };
    let length = if method == "GET" { String::new() } else { format!("Content-Length: {length}\r\n") };
    format!(
        "{method} /{}/job HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\nX-Tenant-Id: pohjoistila\r\nX-Timeout: {}m\r\n{key}{length}\r\n",
        class.name,
        patience.as_millis()
    )
}

/// Connections that clients keep; further ones are opened when all are busy.
#[derive(Clone)]
pub struct Clients {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<Client>>>,
}

impl Clients {
    pub fn new(address: SocketAddr) -> Clients {
        Clients { address, idle: Arc::default() }
    }

    /// Sends one request and waits for its answer, for `patience` and the half second of grace beyond it.
    pub fn call(&self, class: &Class, id: &str, patience: Duration, body: &[u8]) -> Got {
        let kept = self.idle.lock().unwrap().pop();
        let reused = kept.is_some();
        let got = self.exchange(kept, class, id, patience, body);
        // A closing that crossed the request: it is sent once more on a new connection.
        if reused && got == Got::Closed { self.exchange(None, class, id, patience, body) } else { got }
    }

    fn exchange(
        &self,
        kept: Option<Client>,
        class: &Class,
        id: &str,
        patience: Duration,
        body: &[u8],
    ) -> Got {
        let Some(mut client) = kept.or_else(|| Client::connect(self.address).ok()) else {
            return Got::Closed;
        };
        if client.send(class, id, patience, body).is_err() {
            return Got::Closed;
        }
        let got = client.receive(patience + Duration::from_millis(550));
        if matches!(got, Got::Answer(..)) {
            self.idle.lock().unwrap().push(client);
        }
        got
    }
}

/// Runs something at this rate, each in a thread of its own, until the time is over; returns when all have ended.
pub fn arrivals(per_second: f64, time: Duration, each: impl Fn(usize) + Send + Sync + 'static) {
    let (end, each, mut random) = (Instant::now() + time, Arc::new(each), Random::from_clock());
    let (mut threads, mut number, mut next) = (Vec::new(), 0, Instant::now());
    while next < end {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        let each = each.clone();
        threads.push(thread::spawn(move || each(number)));
        number += 1;
        next += random.arrival(per_second);
    }
    for thread in threads {
        let _ = thread.join();
    }
}

/// A flag shared between threads.
pub fn flag() -> Arc<AtomicBool> {
    Arc::new(AtomicBool::new(false))
}

/// Reads as much as there is, to use the import in all cases.
pub fn read_some(stream: &mut TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    stream.read(buffer)
}
