//! A small deployment on loopback for the cases of this review: the project's own program as
//! control hosts and entry hosts, and stand-ins for replicas, operators and consumers that speak
//! the users' protocol. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// The program of the deploy file.
const PROGRAM: &str = "target/release/berylbay-platform";

/// How long a case may run. Then it ends, with all that it started.
const TIME_LIMIT: Duration = Duration::from_secs(112);

/// The ids of the processes that run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// The exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Whether the disruption is to happen.
pub fn is_troubled() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// What was sent, answered and run, in the order in which it was seen.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Begins the record at the path in `RECORD`.
    pub fn begin() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = File::create(&path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let text = format!("{at:8.3} {}\n", text.as_ref());
        let _ = self.file.lock().unwrap().write_all(text.as_bytes());
    }
}

/// Ends the case if it could not be set up.
pub fn give_up(record: &Record, why: &str) -> ! {
    record.line(format!("COULD NOT RUN: {why}"));
    eprintln!("could not run: {why}");
    for pid in STARTED.lock().unwrap().drain(..) {
        let _ = Command::new("kill")
            .arg("-KILL")
            .arg(pid.to_string())
            .status();
    }
    std::process::exit(COULD_NOT_RUN)
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// The processes of the deployment.
pub struct Lab {
    pub record: Record,
    folder: PathBuf,
    port: u16,
    net: u8,
    entries: u8,
    bounds: String,
    children: Mutex<BTreeMap<String, Child>>,
}

impl Lab {
    /// Starts three control hosts and some entry hosts. `bounds` are lines for `[Bounds]`.
    pub fn start(record: &Record, entries: u8, bounds: &str) -> Self {
        let watched = record.clone();
        thread::spawn(move || {
            thread::sleep(TIME_LIMIT);
            give_up(&watched, "it took too long");
        });
        let port = free_ports();
        let folder =
            std::env::temp_dir().join(format!("berylbay-review-{}-{port}", std::process::id()));
        let lab = Self {
            record: record.clone(),
            folder,
            port,
            net: (std::process::id() % 200) as u8 + 20,
            entries,
            bounds: bounds.to_owned(),
            children: Mutex::default(),
        };
        for index in 1..=3 {
            lab.start_process(&control_name(index), true);
        }
        for index in 0..entries {
            lab.start_process(&entry_name(index), true);
        }
        lab
    }

    fn ip(&self, name: &str) -> Ipv4Addr {
        let number: u8 = name.rsplit('-').next().unwrap().parse().unwrap();
        let last = match name.starts_with("control") {
            true => number,
            false => 10 + number,
        };
        Ipv4Addr::new(127, 9, self.net, last)
    }

    fn addr(&self, name: &str, offset: u16) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip(name), self.port + offset))
    }

    /// The addresses at which operators and replicas call.
    pub fn control_addrs(&self) -> Vec<SocketAddr> {
        (1..=3).map(|i| self.addr(&control_name(i), 1)).collect()
    }

    /// The address at which consumers call.
    pub fn front(&self, entry: u8) -> SocketAddr {
        self.addr(&entry_name(entry), 2)
    }

    pub fn readiness(&self, entry: u8) -> SocketAddr {
        self.addr(&entry_name(entry), 3)
    }

    /// Starts a process. `bootstrap` is true only when the whole system starts for the first time.
    pub fn start_process(&self, name: &str, bootstrap: bool) {
        let folder = self.folder.join(name);
        fs::create_dir_all(&folder).expect("a temporary folder");
        let seeds: Vec<String> = self
            .control_addrs()
            .iter()
            .map(|a| format!("\"{a}\""))
            .collect();
        let (ip, port) = (self.ip(name), self.port);
        let is_control = name.starts_with("control");
        let (class, serves) = match is_control {
            true => ("core", "control"),
            false => ("edge", "edge"),
        };
        let listen = match is_control {
            true => format!("ControlPlane = \"{}\"", self.addr(name, 1)),
            false => format!(
                "Front = \"{}\"\nReadiness = \"{}\"",
                self.addr(name, 2),
                self.addr(name, 3)
            ),
        };
        let data = match is_control {
            true => format!("DataDir = {:?}\n", folder.join("data")),
            false => String::new(),
        };
        let settings = format!(
            "NodeName = \"{name}\"\nRole = \"{serves}\"\nMachineClass = \"{class}\"\n\
             Serves = [\"{serves}\"]\nIp = \"{ip}\"\nZone = \"z-a\"\nRegion = \"z\"\n\
             InternalPortRange = [{port}, {port}]\nSeeds = [{}]\nBootstrap = {bootstrap}\n{data}\
             FaultCounted = {is_control}\nHeartbeatMs = 1200\nConfigMode = \"highest\"\n\
             [Listen]\n{listen}\n[FaultTolerance]\nMachines = 1\nZones = 1\nRegions = 0\n\
             [Bounds]\n{}\n",
            seeds.join(", "),
            self.bounds
        );
        let file = folder.join("boot.toml");
        fs::write(&file, settings).expect("a settings file");
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join("log"));
        let log = log.expect("a log file");
        let child = Command::new(PROGRAM)
            .env("BERYLBAY_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                self.record.line(format!("start {name} at {ip}"));
                STARTED.lock().unwrap().push(child.id());
                self.children.lock().unwrap().insert(name.to_owned(), child);
            }
            Err(e) => give_up(&self.record, &format!("{PROGRAM}: {e}")),
        }
    }

    /// Sends a signal to a process by its id.
    pub fn signal(&self, name: &str, signal: &str) {
        let pid = self.children.lock().unwrap()[name].id();
        self.record.line(format!("signal {signal} to {name}"));
        let _ = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(pid.to_string())
            .status();
    }

    /// Kills a process and waits for its end.
    pub fn kill(&self, name: &str) {
        self.record.line(format!("kill {name}"));
        if let Some(mut child) = self.children.lock().unwrap().remove(name) {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|pid| *pid != child.id());
        }
    }

    /// Empties the data folder of a process that doesn't run.
    pub fn wipe(&self, name: &str) {
        self.record.line(format!("the disk of {name} is lost"));
        let _ = fs::remove_dir_all(self.folder.join(name).join("data"));
    }

    /// The names of processes that have ended by themselves.
    pub fn ended(&self) -> Vec<String> {
        let mut children = self.children.lock().unwrap();
        let ended = children.iter_mut().filter_map(|(name, child)| {
            let status = child.try_wait().ok()??;
            Some(format!("{name} ({status})"))
        });
        ended.collect()
    }

    /// The processor time that a process has used, in clock ticks.
    pub fn cpu_ticks(&self, name: &str) -> u64 {
        let pid = self.children.lock().unwrap()[name].id();
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
        let fields: Vec<&str> = fields.split_whitespace().collect();
        [11, 12]
            .iter()
            .filter_map(|at| fields.get(*at)?.parse::<u64>().ok())
            .sum()
    }

    /// The memory that a process uses now, in MB.
    pub fn memory_mb(&self, name: &str) -> u64 {
        let children = self.children.lock().unwrap();
        let Some(pid) = children.get(name).map(Child::id) else {
            return 0;
        };
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) / 1_024
    }

    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.folder.join(name).join("log")).unwrap_or_default()
    }

    /// The log lines of a process that contain one of the texts.
    pub fn log_lines(&self, name: &str, texts: &[&str]) -> Vec<String> {
        let log = self.log(name);
        let lines = log
            .lines()
            .filter(|line| texts.iter().any(|text| line.contains(text)));
        lines.map(str::to_owned).collect()
    }

    /// Sends a manifest to one control host after the other until one acknowledges it.
    pub fn configure(&self, manifest: &str) {
        let end = Instant::now() + Duration::from_secs(25);
        let mut turn = 0;
        while Instant::now() < end {
            let controls = self.control_addrs();
            let addr = controls[turn % controls.len()];
            turn += 1;
            let answer = call(
                addr,
                "PUT",
                "/berylbay/config",
                &[],
                manifest,
                Duration::from_secs(1),
            );
            if answer.status == 200 {
                self.record.line(format!("manifest acknowledged by {addr}"));
                return;
            }
            thread::sleep(Duration::from_millis(150));
        }
        give_up(&self.record, "no manifest was acknowledged");
    }

    /// Waits until an entry host says that it is ready.
    pub fn wait_until_ready(&self, entry: u8) {
        let addr = self.readiness(entry);
        wait_until(
            &self.record,
            "an entry host is ready",
            Duration::from_secs(20),
            || is_ready(addr),
        );
    }
}

impl Drop for Lab {
    fn drop(&mut self) {
        for child in self.children.lock().unwrap().values_mut() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|pid| *pid != child.id());
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

pub fn control_name(index: u8) -> String {
    format!("control-{index}")
}

pub fn entry_name(index: u8) -> String {
    format!("entry-{index}")
}

pub fn is_ready(addr: SocketAddr) -> bool {
    call(
        addr,
        "GET",
        "/berylbay/readyz",
        &[],
        "",
        Duration::from_secs(1),
    )
    .status
        == 200
}

fn free_ports() -> u16 {
    let mut port = 20_000 + (std::process::id() % 2_000) as u16 * 6;
    loop {
        let is_free = |port: u16| TcpListener::bind(("127.0.0.1", port)).is_ok();
        if (port..port + 5).all(is_free) {
            return port;
        }
        port += 6;
    }
}

pub fn wait_until(record: &Record, what: &str, span: Duration, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + span;
    while Instant::now() < end {
        if holds() {
            return;
        }
        thread::sleep(Duration::from_millis(50));
    }
    give_up(record, &format!("not in time: {what}"));
}

/// An answer that was read whole; status 0 if there was none.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the answer came to its own end.
    pub is_complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<String> {
        header(&self.head, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

pub fn header(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    let found = lines.find(|(key, _)| key.trim().eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.trim().to_owned())
}

/// Sends a request on a new connection and reads the whole answer within `patience`.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    patience: Duration,
) -> Answer {
    let end = Instant::now() + patience;
    let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1).min(patience)) else {
        return Answer::default();
    };
    let text = request_text(method, path, headers, body);
    if (&stream).write_all(text.as_bytes()).is_err() {
        return Answer::default();
    }
    let mut reader = AnswerReader::new(stream);
    reader.read_until(end);
    reader.answer()
}

pub fn request_text(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: shop.example\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text + &format!("Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Reads one answer bit by bit.
pub struct AnswerReader {
    stream: TcpStream,
    bytes: Vec<u8>,
    head_len: Option<usize>,
    has_ended: bool,
    broke: bool,
}

impl AnswerReader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            bytes: Vec::new(),
            head_len: None,
            has_ended: false,
            broke: false,
        }
    }

    /// Reads until the answer is complete, its connection ends, or `end`. Returns whether the
    /// answer or its connection has ended.
    pub fn read_until(&mut self, end: Instant) -> bool {
        let mut buf = [0; 65_536];
        loop {
            if self.is_over() {
                return true;
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            let step = left.min(Duration::from_millis(50));
            let _ = self.stream.set_read_timeout(Some(step));
            match self.stream.read(&mut buf) {
                Ok(0) => self.has_ended = true,
                Ok(len) => {
                    self.bytes.extend_from_slice(&buf[..len]);
                    self.find_head();
                }
                Err(e)
                    if matches!(
                        e.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => {
                    self.has_ended = true;
                    self.broke = true;
                }
            }
        }
    }

    fn find_head(&mut self) {
        if self.head_len.is_none() {
            let at = self.bytes.windows(4).position(|w| w == b"\r\n\r\n");
            self.head_len = at.map(|at| at + 4);
        }
    }

    /// Whether a head has come.
    pub fn has_head(&self) -> bool {
        self.head_len.is_some()
    }

    pub fn received(&self) -> usize {
        self.bytes.len()
    }

    fn is_over(&self) -> bool {
        self.has_ended || self.is_complete()
    }

    fn is_complete(&self) -> bool {
        let Some(head_len) = self.head_len else {
            return false;
        };
        let head = String::from_utf8_lossy(&self.bytes[..head_len]);
        let body = &self.bytes[head_len..];
        if let Some(len) = header(&head, "Content-Length") {
            return len.parse::<usize>().is_ok_and(|len| len <= body.len());
        }
        if header(&head, "Transfer-Encoding").is_some() {
            return body.ends_with(b"0\r\n\r\n") && decode_chunks(body).1;
        }
        self.has_ended && !self.broke
    }

    pub fn answer(&self) -> Answer {
        let Some(head_len) = self.head_len else {
            return Answer::default();
        };
        let head = String::from_utf8_lossy(&self.bytes[..head_len]).into_owned();
        let status = head
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0);
        let raw = &self.bytes[head_len..];
        let body = match header(&head, "Transfer-Encoding") {
            Some(_) => decode_chunks(raw).0,
            None => raw.to_vec(),
        };
        Answer {
            status,
            is_complete: self.is_complete(),
            head,
            body,
        }
    }
}

/// The bytes of chunks, and whether the last one has come.
fn decode_chunks(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut whole = Vec::new();
    loop {
        let Some(at) = bytes.windows(2).position(|w| w == b"\r\n") else {
            return (whole, false);
        };
        let size = std::str::from_utf8(&bytes[..at]).ok();
        let Some(size) = size.and_then(|s| usize::from_str_radix(s.trim(), 16).ok()) else {
            return (whole, false);
        };
        if size == 0 {
            return (whole, true);
        }
        let Some(chunk) = bytes.get(at + 2..at + 2 + size) else {
            whole.extend_from_slice(&bytes[at + 2..]);
            return (whole, false);
        };
        whole.extend_from_slice(chunk);
        let Some(rest) = bytes.get(at + 4 + size..) else {
            return (whole, false);
        };
        bytes = rest;
    }
}

/// A request that a replica has read.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub head: String,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<String> {
        header(&self.head, name)
    }

    pub fn id(&self) -> String {
        self.header("Attempt-Id").unwrap_or_default()
    }
}

/// Reads one request of a connection. None if the connection has ended.
pub fn read_request(stream: &mut TcpStream, buffered: &mut Vec<u8>) -> Option<Request> {
    loop {
        if let Some(at) = buffered.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffered[..at + 2]).into_owned();
            let len = header(&head, "Content-Length")
                .and_then(|l| l.parse().ok())
                .unwrap_or(0usize);
            if at + 4 + len <= buffered.len() {
                let body = String::from_utf8_lossy(&buffered[at + 4..at + 4 + len]).into_owned();
                buffered.drain(..at + 4 + len);
                let mut words = head.split(' ');
                let method = words.next().unwrap_or("").to_owned();
                let path = words.next().unwrap_or("").to_owned();
                return Some(Request {
                    method,
                    path,
                    head,
                    body,
                });
            }
        }
        let mut buf = [0; 16_384];
        match stream.read(&mut buf) {
            Ok(0) | Err(_) => return None,
            Ok(len) => buffered.extend_from_slice(&buf[..len]),
        }
    }
}

pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> bool {
    let text = format!(
        "HTTP/1.1 {status} -\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).is_ok()
}

/// The header lines with which a replica signs its answer to a request.
pub fn signature(id: &str) -> String {
    format!("Attempt-Id: {id}\r\nReplica-Signature: 1.{id}\r\n")
}

/// How a replica answers a consumer's request. Returns whether the connection is kept.
pub type Behaviour = dyn Fn(&Replica, &Request, &mut TcpStream) -> bool + Send + Sync;

/// What an engine host knows of its place.
#[derive(Clone, Debug, Default)]
struct Engine {
    staged: Vec<String>,
    group: Option<Group>,
    /// Orders that have begun something.
    begun: u64,
}

#[derive(Clone, Debug)]
struct Group {
    name: String,
    epoch: u64,
    rank: usize,
    state: &'static str,
}

/// A stand-in for a replica: a process of a plain service, or a host of an engine.
pub struct Replica {
    pub id: String,
    pub addr: SocketAddr,
    service: String,
    born: u64,
    controls: Vec<SocketAddr>,
    sequence: AtomicU64,
    engine: Option<Mutex<Engine>>,
    is_down: AtomicBool,
    record: Record,
    behaviour: Box<Behaviour>,
}

impl Replica {
    /// Starts a process of a plain service.
    pub fn plain(
        lab: &Lab,
        service: &str,
        behaviour: impl Fn(&Self, &Request, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Arc<Self> {
        Self::start(lab, service, None, Box::new(behaviour))
    }

    /// Starts a host of an engine.
    pub fn engine(
        lab: &Lab,
        service: &str,
        behaviour: impl Fn(&Self, &Request, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Arc<Self> {
        Self::start(lab, service, Some(Mutex::default()), Box::new(behaviour))
    }

    fn start(
        lab: &Lab,
        service: &str,
        engine: Option<Mutex<Engine>>,
        behaviour: Box<Behaviour>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let replica = Arc::new(Self {
            id: format!("i-{:08x}", u32::from(addr.port()) * 7_919),
            addr,
            service: service.to_owned(),
            born: unix_ms(),
            controls: lab.control_addrs(),
            sequence: AtomicU64::new(0),
            engine,
            is_down: AtomicBool::new(false),
            record: lab.record.clone(),
            behaviour,
        });
        lab.record
            .line(format!("replica {} of {service} at {addr}", replica.id));
        let listening = Arc::clone(&replica);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = Arc::clone(&listening);
                thread::spawn(move || serving.serve(stream));
            }
        });
        let beating = Arc::clone(&replica);
        thread::spawn(move || {
            loop {
                beating.beat("ready");
                thread::sleep(Duration::from_millis(600));
            }
        });
        replica
    }

    /// Sends a heartbeat: to one control host after the other until one acknowledges it.
    pub fn beat(&self, state: &str) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let engine = match &self.engine {
            None => String::new(),
            Some(engine) => engine.lock().unwrap().fields(),
        };
        let body = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"z-a\",\"Version\":\"v1\",\"Slots\":8,\
             \"State\":\"{state}\",\"ColdLeftMs\":0,\"SeqNo\":{sequence},\"born\":{}{engine}}}",
            self.service, self.addr, self.born
        );
        let path = format!("/berylbay/replicas/{}", self.id);
        let count = self.controls.len();
        (0..count).any(|turn| {
            let addr = self.controls[(sequence as usize + turn) % count];
            let answer = call(addr, "PUT", &path, &[], &body, Duration::from_secs(1));
            answer.status / 100 == 2
        })
    }

    /// Writes a line to the record.
    pub fn note(&self, text: String) {
        self.record.line(text);
    }

    /// Whether the host serves as the head of a group.
    pub fn is_open(&self) -> bool {
        let engine = self
            .engine
            .as_ref()
            .map(|engine| engine.lock().unwrap().clone());
        engine
            .and_then(|engine| engine.group)
            .is_some_and(|group| group.state == "open")
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffered = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffered) {
            let goes_on = match request.path.as_str() {
                "/berylbay/order" => self.carry_out(&request, &mut stream),
                "/berylbay/report" => {
                    let fields = match &self.engine {
                        None => ",\"SeqNo\":0".to_owned(),
                        Some(engine) => engine.lock().unwrap().report_fields(),
                    };
                    let body = format!(
                        "{{\"Busy\":false,\"Queued\":0,\"Active\":0,\"KvUsed\":0,\"KvTotal\":1000000,\
                         \"KvHandles\":0,\"pace\":1.0,\"born\":{}{fields}}}",
                        self.born
                    );
                    respond(
                        &mut stream,
                        200,
                        "Content-Type: application/json\r\n",
                        &body,
                    )
                }
                "/healthz" => {
                    let id = format!("Replica-Id: {}\r\n", self.id);
                    respond(&mut stream, 200, &id, "")
                }
                _ => self.take(&request, &mut stream),
            };
            if !goes_on {
                return;
            }
        }
    }

    fn take(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let id = request.id();
        let is_meant = request
            .header("Target-Replica")
            .is_none_or(|target| target == self.id);
        let is_head = self.engine.is_none() || self.is_open();
        if !is_meant || !is_head {
            let headers = format!(
                "Attempt-Id: {id}\r\nNot-Executed: 1\r\nAt-Server: {}\r\n",
                self.id
            );
            return respond(stream, 421, &headers, "");
        }
        (self.behaviour)(self, request, stream)
    }

    fn carry_out(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> bool {
        let Some(engine) = &self.engine else {
            return respond(stream, 400, "", "");
        };
        let is_meant = request
            .header("Target-Replica")
            .is_none_or(|target| target == self.id);
        if !is_meant {
            return respond(stream, 421, "", "");
        }
        let status = engine.lock().unwrap().carry_out(&request.body, &self.id);
        self.record.line(format!(
            "order to {}: {} -> {status}",
            self.id, request.body
        ));
        if status == 202 {
            let beating = Arc::clone(self);
            thread::spawn(move || beating.beat("ready"));
        }
        respond(stream, status, "Content-Type: application/json\r\n", "{}")
    }
}

impl Engine {
    fn fields(&self) -> String {
        let staged: Vec<String> = self.staged.iter().map(|m| format!("\"{m}\"")).collect();
        let group = match &self.group {
            None => "null".to_owned(),
            Some(group) => format!(
                "{{\"Name\":\"{}\",\"epoch\":{},\"rank\":{},\"State\":\"{}\"}}",
                group.name, group.epoch, group.rank, group.state
            ),
        };
        format!(
            ",\"Phase\":\"colocated\",\"Models\":[],\"Domain\":\"d1\",\"Staged\":[{}],\"group\":{group}",
            staged.join(",")
        )
    }

    fn report_fields(&self) -> String {
        format!(",\"SeqNo\":{}{}", self.begun, self.fields())
    }

    fn carry_out(&mut self, body: &str, id: &str) -> u16 {
        let text = |key: &str| json_text(body, key);
        let number = |key: &str| json_number(body, key);
        if number("Precondition").is_some_and(|expected| expected != self.begun) {
            return 409;
        }
        let epoch = number("epoch").unwrap_or(0);
        let is_own = self
            .group
            .as_ref()
            .is_some_and(|group| group.epoch == epoch);
        match text("Op").unwrap_or_default().as_str() {
            "Phase" => self.staged = text("Model").into_iter().collect(),
            "join" => {
                if self.group.as_ref().is_some_and(|group| epoch < group.epoch) {
                    return 412;
                }
                let members = body
                    .split_once("\"Members\":[")
                    .map_or("", |(_, rest)| rest);
                let members = members.split(']').next().unwrap_or("");
                let mut members = members.split(',').map(|m| m.trim().trim_matches('"'));
                let rank = members.position(|member| member == id).unwrap_or(0);
                self.group = Some(Group {
                    name: text("group").unwrap_or_default(),
                    epoch,
                    rank,
                    state: "ready",
                });
            }
            "open" if is_own => {
                if let Some(group) = &mut self.group {
                    if group.state == "open" {
                        return 200;
                    }
                    group.state = "open";
                }
            }
            "close" if is_own => {
                if let Some(group) = &mut self.group {
                    group.state = "ready";
                }
            }
            "leave" if is_own => self.group = None,
            "leave" => return 200,
            "open" | "close" => return 409,
            _ => return 400,
        }
        self.begun += 1;
        202
    }
}

fn json_text(body: &str, key: &str) -> Option<String> {
    let (_, rest) = body.split_once(&format!("\"{key}\":\""))?;
    Some(rest.split('"').next()?.to_owned())
}

fn json_number(body: &str, key: &str) -> Option<u64> {
    let (_, rest) = body.split_once(&format!("\"{key}\":"))?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// One event of a stream.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// Writes a chunk of a body.
pub fn send_chunk(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    stream.write_all(&chunk).is_ok()
}

/// Answers with a whole stream of events in chunks, one each `gap`.
pub fn send_stream(stream: &mut TcpStream, request: &Request, events: u64, gap: Duration) -> bool {
    let after: u64 = request
        .header("Last-Event-Id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        signature(&request.id())
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for id in after + 1..=events {
        thread::sleep(gap);
        if !send_chunk(stream, event(id).as_bytes()) {
            return false;
        }
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}

/// The key of the only tenant.
pub const KEY: &str = "Bearer key-1";

/// A manifest with one engine service `lm`, one plain service `desk` and these routes.
pub fn manifest(version: u64, routes: &[String]) -> String {
    let engine = "\"Engine\":{\"Slots\":17,\"KvCapacity\":1860000,\"KvBytes\":96256,\"Stride\":5,\
        \"Models\":[{\"Name\":\"slim\",\"size\":2,\"Share\":1.0,\"pace\":1.0,\"LoadS\":0.2,\"WarmupS\":0.1}],\
        \"step_ms\":7.8,\"per_seq_ms\":0.0947,\"context_per_k\":0.0096,\"read_per_s\":45900.0,\
        \"pairs_per_m\":0.433,\"chunk\":2048,\"report_lag_ms\":200.0,\"LoadsPerS\":5.0,\"loads_at_once\":7,\
        \"usual\":{\"prompt\":979,\"answer\":154},\"CachedPrefixes\":1,\"far_x\":2.5,\"FormMs\":100.0}";
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[\
         {{\"Name\":\"lm\",\"HealthPath\":\"/healthz\",\"MaxConns\":348,\"Protocol\":\"h1\",\"Tls\":false,{engine}}},\
         {{\"Name\":\"desk\",\"HealthPath\":\"/healthz\",\"MaxConns\":100,\"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"stall\",\"ApiKeys\":[\"key-1\"],\"Priority\":1}}]}}",
        routes.join(",")
    )
}

/// A streaming route to the engine service.
pub fn stream_route(prefix: &str, timeout_ms: u64, slo_ms: u64, resumable: bool) -> String {
    format!(
        "{{\"Name\":\"stream-{timeout_ms}-{resumable}\",\"Host\":\"shop.example\",\"PathPrefix\":\"{prefix}\",\
         \"RouteKind\":\"streaming\",\"TimeoutMs\":{timeout_ms},\"SloMs\":{slo_ms},\"Priority\":1,\
         \"Service\":\"lm\",\"MaxAttempts\":2,\"Public\":false,\"Sticky\":true,\"Resumable\":{resumable},\
         \"ItlTargetMs\":300}}"
    )
}

/// A route to the plain service.
pub fn plain_route(prefix: &str, kind: &str, timeout_ms: u64, slo_ms: u64) -> String {
    format!(
        "{{\"Name\":\"{kind}\",\"Host\":\"shop.example\",\"PathPrefix\":\"{prefix}\",\"RouteKind\":\"{kind}\",\
         \"TimeoutMs\":{timeout_ms},\"SloMs\":{slo_ms},\"Priority\":0,\"Service\":\"desk\",\
         \"MaxAttempts\":2,\"Public\":false}}"
    )
}

/// The bounds of a small deployment.
pub const BOUNDS: &str = "SeedLagS = 3\nReuseAfterS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\n\
    DrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\nRollbackSlackMs = 250\n\
    MaxSkewMs = 5000\nFailClosed = true\nRevokeMs = 5000\nRetryRatio = 0.2\nRetryWindowS = 10\n\
    RetrySlack = 105\nRecoveryS = 12\nIterationMs = 120\nRetryAfterS = 0\nStallMs = 4000\n\
    RequireFence = false\nCeilingWindowS = 5\nLoadBurstFactor = 1.1";

/// The headers of a consumer's request for the engine service.
pub fn chat_headers<'a>(id: &'a str, deadline_ms: &'a str) -> Vec<(&'a str, &'a str)> {
    vec![
        ("Attempt-Id", id),
        ("Authorization", KEY),
        ("Model", "slim"),
        ("Token-Usage", "100,20"),
        ("Deadline-Ms", deadline_ms),
    ]
}

/// The headers of a consumer's request for the plain service.
pub fn plain_headers<'a>(id: &'a str, deadline_ms: &'a str) -> Vec<(&'a str, &'a str)> {
    vec![
        ("Attempt-Id", id),
        ("Authorization", KEY),
        ("Deadline-Ms", deadline_ms),
    ]
}
