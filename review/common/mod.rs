//! What the cases share: a deployment of the project's own processes on loopback addresses, a
//! stand-in for a plain service, a stand-in for the operator, and the record.
//!
//! Only the standard library is used. Signals are sent to processes that this program started.

#![allow(dead_code, reason = "each case uses a part of it")]

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// The program of the deploy file, run from the root of the repository.
const PROGRAM: &str = "target/release/berylbay-platform";

/// The time between two heartbeats of a replica (`HeartbeatMs`).
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Exit code: the rule held.
pub const HELD: i32 = 0;
/// Exit code: the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code: the case could not run.
pub const COULD_NOT_RUN: i32 = 2;

static STARTED: OnceLock<Instant> = OnceLock::new();
static RECORD: Mutex<Option<File>> = Mutex::new(None);

/// Opens the record in the folder of the case.
pub fn open_record(path: &str) {
    STARTED.get_or_init(Instant::now);
    *RECORD.lock().unwrap() = Some(File::create(path).expect("the record can be written"));
}

/// Milliseconds since the record was opened.
pub fn elapsed_ms() -> u128 {
    STARTED.get_or_init(Instant::now).elapsed().as_millis()
}

/// Adds a line to the record.
pub fn record(line: impl AsRef<str>) {
    let line = format!("{:>7} ms  {}\n", elapsed_ms(), line.as_ref());
    if let Some(file) = RECORD.lock().unwrap().as_mut() {
        let _ = file.write_all(line.as_bytes());
    }
}

/// Whether the disruption is to happen.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Ends the case if it takes too long.
pub fn limit_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        record("the case took too long");
        end_all();
        std::process::exit(COULD_NOT_RUN);
    });
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map(|span| span.as_millis() as u64).unwrap_or(0)
}

/// A number that differs between two runs.
pub fn draw() -> u64 {
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = nanos.map(|span| span.as_nanos() as u64).unwrap_or(0);
    let mut x = nanos ^ (u64::from(std::process::id()) << 32);
    x ^= x >> 33;
    x = x.wrapping_mul(0xff51_afd7_ed55_8ccd);
    x ^ (x >> 33)
}

pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

// ---------------------------------------------------------------------------------------------
// Processes

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Ends all processes that this case started, and removes its temporary folder.
pub fn end_all() {
    for child in CHILDREN.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    if std::env::var("KEEP").is_err()
        && let Some(folder) = FOLDER.lock().unwrap().take()
    {
        let _ = fs::remove_dir_all(folder);
    }
}

/// Ends all processes and the case.
pub fn finish(code: i32, why: impl AsRef<str>) -> ! {
    record(format!("result {code}: {}", why.as_ref()));
    println!("{code}: {}", why.as_ref());
    end_all();
    std::process::exit(code);
}

/// A process of the deployment: where it listens, and its settings.
#[derive(Clone)]
pub struct Node {
    pub name: String,
    pub ip: String,
    listen: String,
    is_control: bool,
}

/// A small deployment: three control hosts with a disk and some entry hosts, in one zone.
pub struct Deployment {
    folder: PathBuf,
    net: String,
    port: u16,
    pub controls: Vec<Node>,
    pub entries: Vec<Node>,
    pids: Mutex<BTreeMap<String, u32>>,
}

impl Deployment {
    /// Chooses a loopback network and ports that are free. Starts nothing.
    pub fn new(entries: usize) -> Self {
        for attempt in 0..50 {
            let number = draw().wrapping_add(attempt * 7_919);
            let net = format!("127.{}.{}", 20 + number % 200, 1 + (number >> 16) % 250);
            let port = 20_000 + ((number >> 32) % 20_000) as u16;
            let ports = [port, port + 1, port + 2, port + 3];
            let is_free = ports
                .iter()
                .all(|port| TcpListener::bind(format!("{net}.1:{port}")).is_ok());
            if is_free {
                return Self::at(net, port, entries);
            }
        }
        finish(COULD_NOT_RUN, "no free ports");
    }

    fn at(net: String, port: u16, entries: usize) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}-{port}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        *FOLDER.lock().unwrap() = Some(folder.clone());
        let control = |index: usize| Node {
            name: format!("core-{index}"),
            ip: format!("{net}.{index}"),
            listen: format!("ControlPlane = \"{net}.{index}:{}\"", port + 1),
            is_control: true,
        };
        let entry = |index: usize| {
            let ip = format!("{net}.{}", 10 + index);
            Node {
                name: format!("edge-{index}"),
                listen: format!(
                    "Front = \"{ip}:{}\"\nReadiness = \"{ip}:{}\"",
                    port + 2,
                    port + 3
                ),
                ip,
                is_control: false,
            }
        };
        Self {
            controls: (1..=3).map(control).collect(),
            entries: (1..=entries).map(entry).collect(),
            folder,
            net,
            port,
            pids: Mutex::default(),
        }
    }

    /// An address of the deployment's loopback network for a stand-in.
    pub fn standin_ip(&self, index: usize) -> String {
        format!("{}.{}", self.net, 100 + index)
    }

    pub fn control_addr(&self, index: usize) -> SocketAddr {
        let ip = &self.controls[index].ip;
        format!("{ip}:{}", self.port + 1).parse().unwrap()
    }

    pub fn control_addrs(&self) -> Vec<SocketAddr> {
        (0..self.controls.len())
            .map(|i| self.control_addr(i))
            .collect()
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        let ip = &self.entries[index].ip;
        format!("{ip}:{}", self.port + 2).parse().unwrap()
    }

    pub fn readiness(&self, index: usize) -> SocketAddr {
        let ip = &self.entries[index].ip;
        format!("{ip}:{}", self.port + 3).parse().unwrap()
    }

    /// Starts a process with the command of the deploy file.
    pub fn start(&self, node: &Node, bootstrap: bool) {
        let folder = self.folder.join(&node.name);
        fs::create_dir_all(&folder).expect("a folder for the process");
        let seeds: Vec<String> = self.control_addrs().iter().map(|a| a.to_string()).collect();
        let (class, serves) = match node.is_control {
            true => ("core", "control"),
            false => ("edge", "edge"),
        };
        let data = match node.is_control {
            true => format!("DataDir = {:?}\n", folder.join("data")),
            false => String::new(),
        };
        let settings = format!(
            "NodeName = \"{name}\"\nRole = \"{serves}\"\nMachineClass = \"{class}\"\n\
             Serves = [\"{serves}\"]\nIp = \"{ip}\"\nZone = \"z\"\nRegion = \"r\"\n\
             InternalPortRange = [{port}, {port}]\nSeeds = {seeds:?}\nBootstrap = {bootstrap}\n\
             HeartbeatMs = 1200\n{data}[Zones]\nz = \"r\"\n[Listen]\n{listen}\n\
             [FaultTolerance]\nMachines = 1\nZones = 1\nRegions = 0\n[Bounds]\nSeedLagS = 3\n\
             ReuseAfterS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\nDrainMs = 2000\n\
             GraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\nRollbackSlackMs = 250\n\
             MaxSkewMs = 5000\nFailClosed = true\nRevokeMs = 5000\nRetryRatio = 0.2\n\
             RetryWindowS = 10\nRetrySlack = 130\nRecoveryS = 12\nStallMs = 6000\n",
            name = node.name,
            ip = node.ip,
            port = self.port,
            listen = node.listen,
        );
        let file = folder.join("settings.toml");
        fs::write(&file, settings).expect("the settings can be written");
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join("log"))
            .expect("a log");
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("BERYLBAY_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        let child = match child {
            Ok(child) => child,
            Err(e) => finish(COULD_NOT_RUN, format!("{PROGRAM} does not start: {e}")),
        };
        record(format!(
            "start {} (Bootstrap = {bootstrap}), process {}",
            node.name,
            child.id()
        ));
        let mut pids = self.pids.lock().unwrap();
        pids.insert(node.name.clone(), child.id());
        CHILDREN.lock().unwrap().push(child);
    }

    /// Starts all processes, as at the first start of the deployment.
    pub fn start_all(&self) {
        for node in self.controls.iter().chain(&self.entries) {
            self.start(node, true);
        }
    }

    fn with_child<T>(&self, node: &Node, f: impl FnOnce(&mut Child) -> T) -> T {
        let pid = self.pids.lock().unwrap()[&node.name];
        let mut children = CHILDREN.lock().unwrap();
        f(children
            .iter_mut()
            .find(|c| c.id() == pid)
            .expect("a child"))
    }

    /// Kills a process with SIGKILL.
    pub fn kill(&self, node: &Node) {
        record(format!("SIGKILL to {}", node.name));
        self.with_child(node, |child| {
            let _ = child.kill();
            let _ = child.wait();
        });
    }

    pub fn signal(&self, node: &Node, signal: i32) {
        record(format!("signal {signal} to {}", node.name));
        self.with_child(node, |child| {
            // SAFETY: `kill` takes two integers, and the process is a child not yet waited for.
            unsafe { kill(child.id() as i32, signal) };
        });
    }

    /// Whether a process's log holds a text.
    pub fn log_has(&self, node: &Node, text: &str) -> bool {
        let log = fs::read_to_string(self.folder.join(&node.name).join("log"));
        log.is_ok_and(|log| log.contains(text))
    }

    /// Whether a process has ended.
    pub fn has_ended(&self, node: &Node) -> bool {
        self.with_child(node, |child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Sends a manifest to one control host after the other until one acknowledges it.
    pub fn put_manifest(&self, text: &str, limit: Duration) -> bool {
        let mut attempt = 0;
        wait_until(limit, || {
            let control = self.control_addr(attempt % 3);
            attempt += 1;
            let answer = call(
                control,
                "PUT",
                "/berylbay/config",
                &[("Content-Type", "application/json")],
                text.as_bytes(),
                Duration::from_secs(1),
            );
            record(format!("manifest to {control}: {}", answer.status_text()));
            answer.status == 200 || {
                thread::sleep(Duration::from_millis(180));
                false
            }
        })
    }

    /// Waits until entry hosts are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        (0..self.entries.len()).all(|index| {
            wait_until(limit, || {
                let addr = self.readiness(index);
                let no = &[][..];
                let limit = Duration::from_secs(1);
                call(addr, "GET", "/berylbay/readyz", no, b"", limit).status == 200
            })
        })
    }
}

// ---------------------------------------------------------------------------------------------
// HTTP

/// A response; status 0 if there was none.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came whole.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status_text(&self) -> String {
        match self.status {
            0 => "no response".to_owned(),
            status => status.to_string(),
        }
    }
}

/// Sends a request on a connection of its own and reads the response.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Answer {
    let mut answer = Answer::default();
    let _ = try_call(addr, method, path, headers, body, limit, &mut answer);
    answer
}

pub fn request_bytes(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut req = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        req += "Host: control\r\n";
    }
    for (name, value) in headers {
        req += &format!("{name}: {value}\r\n");
    }
    req += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = req.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn try_call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
    answer: &mut Answer,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&addr, limit.min(Duration::from_secs(1)))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    stream.write_all(&request_bytes(method, path, headers, body))?;
    read_answer(&mut BufReader::new(stream), answer)
}

/// Reads a response: its head, then its body by its length, by chunks, or to the end.
pub fn read_answer(input: &mut impl BufRead, answer: &mut Answer) -> io::Result<()> {
    let (first, headers) = read_head(input)?;
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
    answer.status = status.unwrap_or(0);
    answer.headers = headers;
    let is_chunked = answer
        .header("transfer-encoding")
        .is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
    let length = answer.header("content-length").and_then(|v| v.parse().ok());
    if is_chunked {
        return read_chunks(input, answer);
    }
    match length {
        Some(length) => {
            let length: u64 = length;
            input.take(length).read_to_end(&mut answer.body)?;
            answer.is_whole = answer.body.len() as u64 == length;
        }
        None => {
            input.read_to_end(&mut answer.body)?;
            answer.is_whole = true;
        }
    }
    Ok(())
}

fn read_chunks(input: &mut impl BufRead, answer: &mut Answer) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let mut chunk = vec![0; length + 2];
        input.read_exact(&mut chunk)?;
        answer.body.extend_from_slice(&chunk[..length]);
        if length == 0 {
            answer.is_whole = true;
            return Ok(());
        }
    }
}

/// Reads the head of a message: its first line and its headers.
pub fn read_head(input: &mut impl BufRead) -> io::Result<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if input.read_line(&mut first)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

// ---------------------------------------------------------------------------------------------
// A replica of a plain service

/// A request that reached a replica.
#[derive(Clone, Debug)]
pub struct Arrived {
    pub replica: String,
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Arrived {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn attempt_id(&self) -> String {
        self.header("attempt-id").unwrap_or("-").to_owned()
    }

    /// The head of a successful response with its digest.
    pub fn head(&self, more: &str) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nReplica-Signature: {}.{}\r\n{more}\r\n",
            self.attempt_id(),
            self.replica,
            self.attempt_id(),
        )
    }
}

/// What a replica does with a request that it runs. Returns whether the connection goes on.
pub type Run = dyn Fn(&Arrived, &mut TcpStream) -> io::Result<bool> + Send + Sync;

/// A replica of a plain service: it announces itself, answers its status check, and runs
/// requests that name it.
pub struct Replica {
    pub id: String,
    pub addr: SocketAddr,
    service: String,
    pub born: u64,
    sequence: AtomicU64,
    is_draining: AtomicBool,
    is_silent: AtomicBool,
}

impl Replica {
    pub fn start(deployment: &Deployment, service: &str, index: usize, run: Arc<Run>) -> Arc<Self> {
        let listener = TcpListener::bind(format!("{}:0", deployment.standin_ip(index)));
        let listener = listener.expect("a listener for a replica");
        let addr = listener.local_addr().expect("an address");
        let replica = Arc::new(Self {
            id: format!("i-{service}-{index}"),
            addr,
            service: service.to_owned(),
            born: unix_ms(),
            sequence: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            is_silent: AtomicBool::new(false),
        });
        let server = Arc::clone(&replica);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, run) = (Arc::clone(&server), Arc::clone(&run));
                thread::spawn(move || server.serve(stream, &*run));
            }
        });
        let beats = Arc::clone(&replica);
        let controls = deployment.control_addrs();
        thread::spawn(move || {
            loop {
                if !beats.is_silent.load(Ordering::SeqCst) {
                    beats.announce(&controls);
                }
                thread::sleep(HEARTBEAT);
            }
        });
        replica
    }

    /// Sends no more heartbeats.
    pub fn stop_heartbeats(&self) {
        self.is_silent.store(true, Ordering::SeqCst);
    }

    /// Sends a heartbeat to the first control host that acknowledges it.
    fn announce(&self, controls: &[SocketAddr]) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = match self.is_draining.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        let body = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"z\",\"Version\":\"v1\",\
             \"Slots\":16,\"State\":\"{state}\",\"ColdLeftMs\":0,\"SeqNo\":{sequence},\
             \"born\":{}}}",
            self.service, self.addr, self.born
        );
        let path = format!("/berylbay/replicas/{}", self.id);
        let first = sequence as usize;
        for i in 0..controls.len() {
            let control = controls[(first + i) % controls.len()];
            let json = [("Content-Type", "application/json")];
            let limit = Duration::from_secs(1);
            let answer = call(control, "PUT", &path, &json, body.as_bytes(), limit);
            if (200..300).contains(&answer.status) {
                return;
            }
        }
    }

    fn serve(&self, stream: TcpStream, run: &Run) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else {
            return;
        };
        let mut input = BufReader::new(stream);
        while let Ok(true) = self.serve_one(&mut input, &mut output, run) {}
    }

    fn serve_one(
        &self,
        input: &mut impl BufRead,
        output: &mut TcpStream,
        run: &Run,
    ) -> io::Result<bool> {
        let (first, headers) = read_head(input)?;
        let mut words = first.split(' ');
        let mut arrived = Arrived {
            replica: self.id.clone(),
            method: words.next().unwrap_or("").to_owned(),
            path: words.next().unwrap_or("").to_owned(),
            headers,
            body: Vec::new(),
        };
        let length = arrived.header("content-length");
        let length = length.and_then(|l| l.parse().ok()).unwrap_or(0);
        input.take(length).read_to_end(&mut arrived.body)?;
        if arrived.method == "GET" && arrived.path == "/healthz" {
            let head = format!(
                "HTTP/1.1 200 OK\r\nReplica-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            output.write_all(head.as_bytes())?;
            return Ok(true);
        }
        if arrived
            .header("target-replica")
            .is_some_and(|t| t != self.id)
        {
            record(format!(
                "{} is not the target of {}",
                self.id,
                arrived.attempt_id()
            ));
            let head = "HTTP/1.1 421 -\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            output.write_all(head.as_bytes())?;
            return Ok(true);
        }
        run(&arrived, output)
    }
}

/// A manifest with one plain service and these routes, as JSON objects without their service.
pub fn manifest(version: u64, service: &str, routes: &[String], tenants: &str) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| format!("{{{route},\"Service\":\"{service}\"}}"))
        .collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{{\"Name\":\"{service}\",\
         \"HealthPath\":\"/healthz\",\"MaxConns\":300,\"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}{tenants}}}",
        routes.join(",")
    )
}
