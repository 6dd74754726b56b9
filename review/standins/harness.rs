//! Parts that all cases share: the sidecar as a process, a discovery service, HTTP/1.1 messages, and the record.
//! Standard library only.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Nothing at the start of a case may take longer than this.
const PATIENCE: Duration = Duration::from_secs(20);

/// How a case ends: the exit code of its script.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

impl Verdict {
    pub fn code(&self) -> i32 {
        match self {
            Verdict::Held => 0,
            Verdict::Broken => 1,
            Verdict::CouldNotRun => 2,
        }
    }
}

/// Whether the case plays its disruption; `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record(Arc::new((Instant::now(), Mutex::new(File::create(path)?)))))
    }

    pub fn say(&self, text: &str) {
        let ms = self.0.0.elapsed().as_secs_f64() * 1000.0;
        let _ = writeln!(self.0.1.lock().unwrap(), "{ms:10.1} ms  {text}");
    }

    /// A line that stands in the record and on standard output.
    pub fn result(&self, text: &str) {
        self.say(text);
        println!("{text}");
    }
}

/// The folder of the project: the one that holds `deploy/balancer.toml`.
pub fn project_root() -> PathBuf {
    let mut folder = std::env::current_exe().unwrap();
    while !folder.join("deploy/balancer.toml").is_file() {
        assert!(folder.pop(), "deploy/balancer.toml is not above this program");
    }
    folder
}

/// The command `run` of the deploy file.
fn run_command(root: &Path) -> String {
    let text = fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let line = text.lines().find(|line| line.starts_with("run ")).expect("the deploy file has `run`");
    line.split('"').nth(1).expect("a command in quotes").to_owned()
}

/// A loopback address that nobody else has: the listener is closed again before the sidecar binds it.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// A running sidecar, killed when dropped.
pub struct Sidecar {
    child: Child,
    pub address: SocketAddr,
    folder: PathBuf,
}

/// An endpoint as discovery lists it.
#[derive(Clone)]
pub struct Listed {
    pub uid: String,
    pub address: SocketAddr,
}

pub fn list(rev: u64, endpoints: &[Listed]) -> String {
    let entry = |e: &Listed| {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"tampere-hervanta","model":"vo-uusi","pod_group":1,"state":"up","capacity_hint":1.0,"boot_ms":0}}"#,
            e.uid, e.address
        )
    };
    let entries: Vec<String> = endpoints.iter().map(entry).collect();
    format!(r#"{{"rev":{rev},"all":true,"targets":[{}]}}"#, entries.join(","))
}

/// What a case sets of its deployment; all else is as in the pages' example.
#[derive(Clone, Copy)]
pub struct Deployment {
    /// Sidecars of this tier; the case runs one of them.
    pub balancers: usize,
    pub memory_mb: usize,
}

/// One sidecar, with the memory that the site's sidecars have.
pub const SMALL: Deployment = Deployment { balancers: 1, memory_mb: 48 };
/// Descriptors of a sidecar.
pub const SOCKETS: usize = 1024;

fn settings(deployment: Deployment) -> String {
    let template = r#"{"areas":["tampere-hervanta"],"kinds":["vo-uusi"],"tiers":["vastaanotto"],"stage":0,
"balancers":BALANCERS,"me":0,"myZone":0,"family":"chain","countedBy":"work","discovery":"subscribe","weightKind":"rough",
"classes":[
{"name":"esikatselu","semantics":"safe","group":"all","repeatWindowMs":5000.0,"objectiveMs":1200.0,"deadlineMs":3000.0,"lateValue":0.0,"streamed":false,"worth":3.0},
{"name":"luonnos","semantics":"keyed","group":"cell","repeatWindowMs":7500.0,"objectiveMs":2000.0,"deadlineMs":5000.0,"lateValue":0.0,"streamed":false,"worth":5.0},
{"name":"lopullinen","semantics":"keyed","group":"zone","repeatWindowMs":10000.0,"objectiveMs":2500.0,"deadlineMs":6000.0,"lateValue":0.0,"streamed":false,"worth":10.0}],
"tenants":[{"name":"pohjoistila","allowancePerS":200.0,"portion":1.0}],"overShareWorth":0.1,
"clients":{"marksRetry":true},"resolutionMs":5.0,"telemetry":{"fields":[],"via":"off"},
"limits":{"cancelling":true,"connectTimeoutMs":250.0,"cpuUsPerRequest":0.0,"cpuUsPerS":8000,"idleCloseMs":60000.0,
"maxAttempts":4,"maxRetryAfterMs":2000.0,"openCap":20000,"peers":false,"probes":true,"retryAfter":true,
"secondCopies":true,"streamsPerConn":1},
"rules":{"askWithinMs":10000.0,"coldShare":0.33,"drainGraceMs":500.0,"fallMs":3000.0,"fallMultiple":4.0,
"graceToAnswerMs":20.0,"warmWithinMs":8600.0}}"#;
    template.replace("BALANCERS", &deployment.balancers.to_string())
}

impl Sidecar {
    /// Starts the program with the command of the deploy file, and waits until it is ready.
    pub fn start(
        deployment: Deployment,
        endpoints: &[Listed],
        discovery: SocketAddr,
        record: &Record,
    ) -> Option<Sidecar> {
        let root = project_root();
        let address = free_address();
        let folder = std::env::temp_dir().join(format!(
            "gullpulley-review-{}-{}",
            std::process::id(),
            address.port()
        ));
        fs::create_dir_all(folder.join("tmp")).ok()?;
        let config = format!(
            r#"{{"name":"n0","listen":"{address}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{SOCKETS}}},"known":{},"settings":{}}}"#,
            deployment.memory_mb,
            list(1, endpoints),
            settings(deployment)
        );
        fs::write(folder.join("config.json"), config).ok()?;
        let log = File::create(folder.join("log")).ok()?;
        let command = run_command(&root);
        record.say(&format!("sidecar starts with `{command}` at {address}"));
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(command)
            .current_dir(&root)
            .env_remove("ROUTER_LISTEN")
            .env_remove("ROUTER_DISCOVERY")
            .env_remove("ROUTER_CONTROL")
            .env("ROUTER_NAME", "n0")
            .env("ROUTER_CONFIG", folder.join("config.json"))
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().ok()?))
            .stderr(Stdio::from(log))
            .spawn()
            .ok()?;
        let mut sidecar = Sidecar { child, address, folder };
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            if let Ok(Some(status)) = sidecar.child.try_wait() {
                record.result(&format!("the sidecar ended before it was ready: {status}"));
                return None;
            }
            if sidecar.ready() {
                record.say("sidecar is ready");
                return Some(sidecar);
            }
            thread::sleep(Duration::from_millis(20));
        }
        record.result("the sidecar was not ready in time");
        None
    }

    fn ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
        let request = "GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n";
        if stream.write_all(request.as_bytes()).is_err() {
            return false;
        }
        Answer::read(&mut BufReader::new(stream)).is_ok_and(|answer| answer.status == 200)
    }

    /// The process's own memory in KiB, without the pages that it shares with files such as its program.
    pub fn own_memory_kib(&self) -> Option<usize> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = text.lines().find(|line| line.starts_with("RssAnon:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// The platform's kill of a sidecar that is over its memory.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
    }

    /// How the process ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Discovery that never changes its list: a watch brings the whole list, then an empty line every 2 s.
pub fn serve_discovery(endpoints: Vec<Listed>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let endpoints = endpoints.clone();
            thread::spawn(move || answer_discovery_call(stream, &endpoints));
        }
    });
    address
}

fn answer_discovery_call(stream: TcpStream, endpoints: &[Listed]) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut writer = stream;
    let head = Head::read(&mut reader).ok()?;
    let line = list(2, endpoints);
    if !head.target().contains("watch=1") {
        let length = line.len();
        return write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{line}").ok();
    }
    write!(writer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
    write!(writer, "{:x}\r\n{line}\n\r\n", line.len() + 1).ok()?;
    loop {
        thread::sleep(Duration::from_secs(2));
        write!(writer, "1\r\n\n\r\n").ok()?;
    }
}

/// The head of a message.
pub struct Head {
    pub first_line: String,
    pub headers: HashMap<String, String>,
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

fn read_line(from: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

impl Head {
    pub fn read(from: &mut impl BufRead) -> io::Result<Head> {
        let first_line = read_line(from)?;
        let mut headers = HashMap::new();
        loop {
            let line = read_line(from)?;
            if line.is_empty() {
                return Ok(Head { first_line, headers });
            }
            let (name, value) = line.split_once(':').ok_or_else(|| broken("header without colon"))?;
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    fn length(&self) -> Option<usize> {
        self.headers.get("content-length").and_then(|length| length.parse().ok())
    }

    fn chunked(&self) -> bool {
        self.header("transfer-encoding").eq_ignore_ascii_case("chunked")
    }

    /// Reads the body and hands on each piece as it comes. An error where it ends before its announced end.
    pub fn read_body(&self, from: &mut impl BufRead, mut piece: impl FnMut(&[u8])) -> io::Result<()> {
        if !self.chunked() {
            return copy_exactly(from, self.length().unwrap_or(0), &mut piece);
        }
        loop {
            let size =
                usize::from_str_radix(read_line(from)?.trim(), 16).map_err(|_| broken("chunk size"))?;
            copy_exactly(from, size, &mut piece)?;
            read_line(from)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
}

fn copy_exactly(from: &mut impl BufRead, mut left: usize, piece: &mut impl FnMut(&[u8])) -> io::Result<()> {
    let mut buffer = [0; 16 * 1024];
    while left > 0 {
        let part = left.min(buffer.len());
        let count = from.read(&mut buffer[..part])?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        piece(&buffer[..count]);
        left -= count;
    }
    Ok(())
}

/// A whole answer.
pub struct Answer {
    pub status: u16,
    pub closes: bool,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn read(from: &mut impl BufRead) -> io::Result<Answer> {
        let head = Head::read(from)?;
        let mut body = Vec::new();
        head.read_body(from, |piece| body.extend_from_slice(piece))?;
        Ok(Answer {
            status: status(&head),
            closes: head.header("connection").eq_ignore_ascii_case("close"),
            body,
        })
    }
}

pub fn status(head: &Head) -> u16 {
    head.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
}
