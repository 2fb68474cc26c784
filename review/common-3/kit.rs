//! A small deployment of the project's own processes on loopback, and stand-ins for the operator,
//! the consumers and the replicas of a plain service. Standard library only.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
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

/// The exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub const HOST: &str = "shop.example";
pub const KEY: &str = "key-of-the-first-tenant";
pub const SECOND_KEY: &str = "key-of-the-second-tenant";

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Whether the disruption of the case is to happen.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Writes to `record.txt`, with the seconds since the start before each line.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn secs(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let secs = self.secs();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{secs:8.3} {}", text.as_ref());
    }

    /// Writes a line here and on standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// The answer to an HTTP request.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }
}

pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (known, value) = line.split_once(':')?;
        known.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Sends one request on a new channel. An error if there is no complete answer in time.
pub fn call(
    addr: SocketAddrV4,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Answer> {
    let end = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(addr), timeout.min(ms(1_000)))?;
    stream.set_nodelay(true)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        head += &format!("Host: {addr}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    read_answer(&mut stream, end)
}

fn read_some(stream: &mut TcpStream, buf: &mut Vec<u8>, end: Instant) -> io::Result<usize> {
    let left = end.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(io::ErrorKind::TimedOut.into());
    }
    stream.set_read_timeout(Some(left))?;
    let mut chunk = [0; 16 * 1024];
    let len = stream.read(&mut chunk)?;
    buf.extend_from_slice(&chunk[..len]);
    Ok(len)
}

fn head_end(buf: &[u8]) -> Option<usize> {
    buf.windows(4)
        .position(|w| w == b"\r\n\r\n")
        .map(|at| at + 4)
}

fn read_answer(stream: &mut TcpStream, end: Instant) -> io::Result<Answer> {
    let mut buf = Vec::new();
    let at = loop {
        if let Some(at) = head_end(&buf) {
            break at;
        }
        if read_some(stream, &mut buf, end)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    };
    let head = String::from_utf8_lossy(&buf[..at]).into_owned();
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let len = header(&head, "content-length").and_then(|len| len.parse::<usize>().ok());
    let len = len.unwrap_or(0);
    while buf.len() < at + len {
        if read_some(stream, &mut buf, end)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    let body = buf[at..at + len].to_vec();
    Ok(Answer { status, head, body })
}

/// The settings that differ between the scripts. All others are those of the site files.
#[derive(Clone, Copy)]
pub struct Plan {
    pub controls: u8,
    pub entries: u8,
}

/// Control hosts and entry hosts as processes, each on a loopback address of its own.
pub struct Deployment {
    folder: PathBuf,
    program: PathBuf,
    base_port: u16,
    net: u8,
    seeds: Vec<SocketAddrV4>,
    processes: BTreeMap<String, Child>,
    record: Record,
}

impl Deployment {
    /// Starts all processes for the first time.
    pub fn start(plan: Plan, record: &Record) -> io::Result<Self> {
        let program = std::env::var("PROGRAM").unwrap_or_default();
        let program = match program.is_empty() {
            true => PathBuf::from("target/release/berylbay-platform"),
            false => PathBuf::from(program),
        };
        if !program.is_file() {
            return Err(io::Error::other(
                "the program of the deploy file is not built",
            ));
        }
        let (net, base_port) = free_net();
        let folder = std::env::temp_dir().join(format!("berylbay-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut deployment = Self {
            folder,
            program,
            base_port,
            net,
            seeds: Vec::new(),
            processes: BTreeMap::new(),
            record: record.clone(),
        };
        deployment.seeds = (1..=plan.controls.min(3))
            .map(|n| deployment.control(n))
            .collect();
        for number in 1..=plan.controls {
            deployment.start_control(number, true)?;
        }
        for number in 1..=plan.entries {
            deployment.start_entry(number, true)?;
        }
        Ok(deployment)
    }

    pub fn ip(&self, index: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 9, self.net, index)
    }

    /// The address at which a control host takes calls of operators and replicas.
    pub fn control(&self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(number), self.base_port + 1)
    }

    pub fn entry_ip(&self, number: u8) -> Ipv4Addr {
        self.ip(100 + number)
    }

    pub fn entry(&self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.entry_ip(number), self.base_port + 2)
    }

    pub fn readiness(&self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.entry_ip(number), self.base_port + 3)
    }

    pub fn base_port(&self) -> u16 {
        self.base_port
    }

    pub fn net(&self) -> u8 {
        self.net
    }

    pub fn start_control(&mut self, number: u8, bootstrap: bool) -> io::Result<()> {
        let listen = format!("ControlPlane = \"{}\"", self.control(number));
        let ip = self.ip(number);
        self.spawn(
            &format!("control-{number}"),
            "core",
            "control",
            ip,
            &listen,
            bootstrap,
        )
    }

    pub fn start_entry(&mut self, number: u8, bootstrap: bool) -> io::Result<()> {
        let (front, ready) = (self.entry(number), self.readiness(number));
        let listen = format!("Front = \"{front}\"\nReadiness = \"{ready}\"");
        let ip = self.entry_ip(number);
        self.spawn(
            &format!("entry-{number}"),
            "edge",
            "edge",
            ip,
            &listen,
            bootstrap,
        )
    }

    /// SIGKILL. The files of the process remain.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut process) = self.processes.remove(name) {
            let _ = process.kill();
            let _ = process.wait();
            self.record.line(format!("{name}: killed"));
        }
    }

    /// SIGTERM, and SIGKILL once `GraceS` is over.
    pub fn terminate(&mut self, name: &str) {
        let Some(process) = self.processes.get_mut(name) else {
            return;
        };
        let pid = process.id().to_string();
        self.record.line(format!("{name}: SIGTERM"));
        let _ = Command::new("kill").args(["-TERM", &pid]).status();
        let end = Instant::now() + ms(8_000);
        while Instant::now() < end && matches!(process.try_wait(), Ok(None)) {
            thread::sleep(ms(10));
        }
        self.kill(name);
    }

    /// Takes the disk of a process that was killed.
    pub fn wipe(&self, name: &str) {
        let _ = fs::remove_dir_all(self.folder.join(name).join("data"));
        self.record.line(format!("{name}: its disk is lost"));
    }

    pub fn is_running(&mut self, name: &str) -> bool {
        let process = self.processes.get_mut(name);
        process.is_some_and(|process| matches!(process.try_wait(), Ok(None)))
    }

    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.folder.join(name).join("log")).unwrap_or_default()
    }

    /// The memory of a process that is resident, in MB.
    pub fn resident_mb(&self, name: &str) -> Option<u64> {
        let pid = self.processes.get(name)?.id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb / 1024)
    }

    /// The control host that last logged that it leads, and when by its log.
    pub fn leader(&self, numbers: &[u8]) -> Option<u8> {
        let led = numbers.iter().filter_map(|number| {
            let log = self.log(&format!("control-{number}"));
            let line = log
                .lines()
                .rev()
                .find(|line| line.contains("this voter leads term="))?;
            let term = line.split("term=").nth(1)?;
            let term: u64 = term.split_whitespace().next()?.parse().ok()?;
            Some((term, *number))
        });
        led.max().map(|(_, number)| number)
    }

    fn spawn(
        &mut self,
        name: &str,
        class: &str,
        serves: &str,
        ip: Ipv4Addr,
        listen: &str,
        bootstrap: bool,
    ) -> io::Result<()> {
        let folder = self.folder.join(name);
        fs::create_dir_all(&folder)?;
        let data = folder.join("data");
        let data_dir = match serves {
            "control" => {
                fs::create_dir_all(&data)?;
                format!("DataDir = \"{}\"\n", data.display())
            }
            _ => String::new(),
        };
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let settings = format!(
            "NodeName = \"{name}\"\nRole = \"{serves}\"\nMachineClass = \"{class}\"\n\
             Serves = [\"{serves}\"]\nIp = \"{ip}\"\nZone = \"z\"\nRegion = \"r\"\n\
             InternalPortRange = [{}, {}]\nSeeds = [{}]\nBootstrap = {bootstrap}\n\
             FaultCounted = {}\n{data_dir}HeartbeatMs = 1200\n\
             [Zones]\nz = \"r\"\n[Listen]\n{listen}\n\
             [Limits]\nCores = 1\nMemoryMb = {}\nMaxFds = {}\nDiskMb = {}\n\
             [FaultTolerance]\nMachines = 1\nZones = 1\nRegions = 0\n\
             [Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nContactMs = 3000\nAckMs = 4000\n\
             CatchUpS = 4\nDrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\n\
             RollbackSlackMs = 250\nMaxSkewMs = 5000\nFailClosed = true\nRevokeMs = 5000\n\
             RetryRatio = 0.2\nRetryWindowS = 10\nRetrySlack = 130\nRecoveryS = 12\n\
             IterationMs = 120\nRetryAfterS = 0\nStallMs = 6000\nRequireFence = false\n\
             CeilingWindowS = 5\nLoadBurstFactor = 1.1\n",
            self.base_port,
            self.base_port,
            seeds.join(", "),
            serves == "control",
            if serves == "control" { 256 } else { 260 },
            if serves == "control" { 4096 } else { 4200 },
            if serves == "control" { 128 } else { 0 },
        );
        let file = folder.join("boot.toml");
        fs::write(&file, settings)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join("log"))?;
        let process = Command::new(&self.program)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", std::env::var("HOME").unwrap_or_default())
            .env("LANG", "C.UTF-8")
            .env("BERYLBAY_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record
            .line(format!("{name}: started at {ip}, process {}", process.id()));
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    /// Sends a manifest to one control host after the other until one acknowledges it, as operators
    /// do. Returns the one that did. None if none does in time.
    pub fn put_config(&self, text: &str, nodes: &[u8], limit: Duration) -> Option<u8> {
        let end = Instant::now() + limit;
        let mut turn = 0;
        while Instant::now() < end {
            let number = nodes[turn % nodes.len()];
            turn += 1;
            let addr = self.control(number);
            let answer = call(
                addr,
                "PUT",
                "/berylbay/config",
                &[],
                text.as_bytes(),
                ms(1_000),
            );
            let status = answer.as_ref().map_or(0, |answer| answer.status);
            if status == 200 {
                return Some(number);
            }
            thread::sleep(ms(100));
        }
        None
    }

    /// Reads the manifest back at one control host: the status, and the version if there is one.
    pub fn read_config(&self, number: u8) -> (u16, Option<u64>) {
        let addr = self.control(number);
        match call(addr, "GET", "/berylbay/config", &[], b"", ms(1_000)) {
            Ok(answer) => {
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                let version = text.split("\"Version\":").nth(1).map(|rest| {
                    let digits: String = rest
                        .trim()
                        .chars()
                        .take_while(char::is_ascii_digit)
                        .collect();
                    digits.parse().unwrap_or(0)
                });
                (answer.status, version.filter(|_| answer.status == 200))
            }
            Err(_) => (0, None),
        }
    }

    /// Waits until an entry host says that it is ready.
    pub fn wait_ready(&self, number: u8, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let addr = self.readiness(number);
            let answer = call(addr, "GET", "/berylbay/readyz", &[], b"", ms(500));
            if answer.is_ok_and(|answer| answer.status == 200) {
                return true;
            }
            thread::sleep(ms(50));
        }
        false
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            let _ = process.kill();
        }
        for process in self.processes.values_mut() {
            let _ = process.wait();
        }
        match std::env::var("KEEP_LOGS") {
            Ok(_) => println!("logs: {}", self.folder.display()),
            Err(_) => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

/// A loopback network and a port on which nobody listens there.
fn free_net() -> (u8, u16) {
    let seed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |t| t.subsec_nanos());
    let mut draw = seed ^ std::process::id();
    loop {
        draw = draw.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let net = (draw >> 24) as u8;
        let port = 20_000 + ((draw >> 8) % 10_000) as u16;
        let ip = Ipv4Addr::new(127, 9, net, 1);
        let is_free = |port| TcpListener::bind(SocketAddrV4::new(ip, port)).is_ok();
        if net != 0 && (port..port + 8).all(is_free) && is_free(9_464) {
            return (net, port);
        }
    }
}

/// A manifest with one plain service, a route for each kind of request to it, and two tenants.
pub fn manifest(version: u64) -> String {
    manifest_with(version, false)
}

/// A manifest that may have a public route too.
pub fn manifest_with(version: u64, has_public_route: bool) -> String {
    let route = |name: &str, kind: &str, is_public: bool| {
        format!(
            "{{\"Name\":\"r-{name}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"/{name}/\",\
             \"RouteKind\":\"{kind}\",\"TimeoutMs\":2500,\"SloMs\":200,\"Priority\":2,\
             \"Service\":\"desk\",\"MaxAttempts\":2,\"Public\":{is_public}}}"
        )
    };
    let mut routes = vec![
        route("order", "non_idempotent", false),
        route("stock", "idempotent", false),
    ];
    if has_public_route {
        routes.push(route("public", "idempotent", true));
    }
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\
         \"Services\":[{{\"Name\":\"desk\",\"HealthPath\":\"/healthz\",\"MaxConns\":100,\
         \"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"tenant1\",\"ApiKeys\":[\"{KEY}\"],\"Priority\":1}},\
         {{\"Name\":\"tenant2\",\"ApiKeys\":[\"{SECOND_KEY}\"],\"Priority\":1}}]}}",
        routes.join(","),
    )
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new id for a consumer attempt.
pub fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

/// One consumer attempt, on a new channel.
pub fn consume(
    entry: SocketAddrV4,
    method: &str,
    path: &str,
    id: &str,
    body: &[u8],
    deadline_ms: u64,
) -> io::Result<Answer> {
    let bearer = format!("Bearer {KEY}");
    let deadline = deadline_ms.to_string();
    let headers = [
        ("Host", HOST),
        ("Attempt-Id", id),
        ("Deadline-Ms", deadline.as_str()),
        ("Authorization", bearer.as_str()),
    ];
    call(entry, method, path, &headers, body, ms(deadline_ms + 500))
}

/// A channel that a consumer keeps for many requests.
pub struct Channel(TcpStream);

impl Channel {
    pub fn open(addr: SocketAddrV4) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&SocketAddr::V4(addr), ms(1_000))?;
        stream.set_nodelay(true)?;
        Ok(Self(stream))
    }

    /// Sends a whole request and reads its answer.
    pub fn send(&mut self, request: &str, timeout: Duration) -> io::Result<Answer> {
        self.0.write_all(request.as_bytes())?;
        read_answer(&mut self.0, Instant::now() + timeout)
    }
}

/// A request as a replica got it.
#[derive(Clone, Debug)]
pub struct Request {
    pub from: Ipv4Addr,
    pub at: Instant,
    pub method: String,
    pub path: String,
    pub head: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn id(&self) -> &str {
        header(&self.head, "attempt-id").unwrap_or("-")
    }
}

/// What a replica does with a request.
pub enum Reaction {
    /// It answers.
    Answer(String),
    /// It crashes, and is back after this time as a new boot.
    Crash(Duration),
}

/// How a replica runs requests.
pub type Behaviour = Arc<dyn Fn(&Boot, &Request) -> Reaction + Send + Sync>;

/// One boot of a replica.
pub struct Boot {
    pub id: String,
    pub born: u64,
    pub addr: SocketAddrV4,
    pub is_up: AtomicBool,
    /// It says that it drains, in its heartbeats.
    pub is_leaving: AtomicBool,
    /// Its heartbeats reach no control host.
    pub is_cut: AtomicBool,
    pub acks: AtomicU64,
    /// When a control host first acknowledged that it drains.
    pub drain_acked_at: Mutex<Option<Instant>>,
    open: Mutex<Vec<TcpStream>>,
}

/// How a replica announces itself.
#[derive(Clone)]
pub struct Announcing {
    pub controls: Vec<SocketAddrV4>,
    /// How long each heartbeat is on its way.
    pub delay: Duration,
}

/// The time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

static NEXT_BOOT: AtomicU64 = AtomicU64::new(1);

/// A replica of the plain service: a listener, and heartbeats.
pub struct Replica {
    pub boot: Mutex<Arc<Boot>>,
    addr: SocketAddrV4,
    announcing: Announcing,
    behaviour: Behaviour,
    record: Record,
    is_over: AtomicBool,
}

impl Replica {
    pub fn start(
        addr: SocketAddrV4,
        announcing: Announcing,
        record: &Record,
        behaviour: Behaviour,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(addr)?;
        let replica = Arc::new(Self {
            boot: Mutex::new(Arc::new(Boot::new(addr))),
            addr,
            announcing,
            behaviour,
            record: record.clone(),
            is_over: AtomicBool::new(false),
        });
        replica.run_boot(listener);
        Ok(replica)
    }

    pub fn current(&self) -> Arc<Boot> {
        Arc::clone(&self.boot.lock().unwrap())
    }

    /// Ends the replica: nothing listens any more, and all its channels end.
    pub fn exit(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        self.current().end();
    }

    /// Tells a control host that the replica is gone. Returns whether one acknowledged it.
    pub fn delete(&self) -> bool {
        let boot = self.current();
        let path = format!("/berylbay/replicas/{}", boot.id);
        self.announcing.controls.iter().any(|control| {
            let answer = call(*control, "DELETE", &path, &[], b"", ms(1_000));
            let status = answer.map_or(0, |answer| answer.status);
            self.record
                .line(format!("{}: DELETE at {control}: {status}", boot.id));
            status / 100 == 2
        })
    }

    fn run_boot(self: &Arc<Self>, listener: TcpListener) {
        let boot = self.current();
        self.record
            .line(format!("{}: listens at {}", boot.id, boot.addr));
        let (replica, served) = (Arc::clone(self), Arc::clone(&boot));
        thread::spawn(move || replica.accept(&listener, &served));
        let (replica, announced) = (Arc::clone(self), boot);
        thread::spawn(move || replica.announce(&announced));
    }

    fn accept(self: Arc<Self>, listener: &TcpListener, boot: &Arc<Boot>) {
        listener.set_nonblocking(true).unwrap();
        while boot.is_up.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, SocketAddr::V4(from))) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(kept) = stream.try_clone() {
                        boot.open.lock().unwrap().push(kept);
                    }
                    let (replica, boot) = (Arc::clone(&self), Arc::clone(boot));
                    thread::spawn(move || replica.serve(stream, *from.ip(), &boot));
                }
                Ok(_) => {}
                Err(_) => thread::sleep(ms(2)),
            }
        }
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream, from: Ipv4Addr, boot: &Arc<Boot>) {
        let mut buf = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buf, from) {
            if !boot.is_up.load(Ordering::SeqCst) {
                return;
            }
            let target = header(&request.head, "target-replica");
            let reaction = match target.is_some_and(|target| target != boot.id) {
                true => Reaction::Answer(signed(
                    boot,
                    &request,
                    "421 Misdirected Request",
                    "Not-Executed: 1\r\n",
                    "",
                )),
                false => (self.behaviour)(boot, &request),
            };
            if !boot.is_up.load(Ordering::SeqCst) {
                return;
            }
            match reaction {
                Reaction::Answer(text) => {
                    if stream.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
                Reaction::Crash(back_after) => {
                    self.crash(boot, back_after);
                    return;
                }
            }
        }
    }

    fn crash(self: &Arc<Self>, boot: &Arc<Boot>, back_after: Duration) {
        if !boot.end() {
            return;
        }
        self.record.line(format!("{}: crashes", boot.id));
        let replica = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(back_after);
            while !replica.is_over.load(Ordering::SeqCst) {
                if let Ok(listener) = TcpListener::bind(replica.addr) {
                    *replica.boot.lock().unwrap() = Arc::new(Boot::new(replica.addr));
                    replica.run_boot(listener);
                    return;
                }
                thread::sleep(ms(50));
            }
        });
    }

    /// Sends a heartbeat at each interval. What was sent arrives, also if the sender has ended.
    fn announce(&self, boot: &Arc<Boot>) {
        let mut sequence = 0;
        let mut was_leaving = false;
        let mut next = Instant::now();
        while boot.is_up.load(Ordering::SeqCst) {
            let is_leaving = boot.is_leaving.load(Ordering::SeqCst);
            if next <= Instant::now() || is_leaving != was_leaving {
                was_leaving = is_leaving;
                next = Instant::now() + HEARTBEAT;
                sequence += 1;
                if !boot.is_cut.load(Ordering::SeqCst) {
                    self.beat(boot, sequence, is_leaving);
                }
            }
            thread::sleep(ms(10));
        }
    }

    fn beat(&self, boot: &Arc<Boot>, sequence: u64, is_leaving: bool) {
        let state = if is_leaving { "draining" } else { "ready" };
        let body = format!(
            "{{\"Service\":\"desk\",\"Address\":\"{}\",\"Zone\":\"z\",\"Version\":\"v1\",\
             \"Slots\":6,\"State\":\"{state}\",\"ColdLeftMs\":0,\"SeqNo\":{sequence},\"born\":{}}}",
            boot.addr, boot.born,
        );
        let path = format!("/berylbay/replicas/{}", boot.id);
        let (controls, delay) = (self.announcing.controls.clone(), self.announcing.delay);
        let (boot, record) = (Arc::clone(boot), self.record.clone());
        thread::spawn(move || {
            thread::sleep(delay);
            let first = (sequence as usize + boot.addr.port() as usize) % controls.len();
            for turn in 0..controls.len() {
                let control = controls[(first + turn) % controls.len()];
                let answer = call(control, "PUT", &path, &[], body.as_bytes(), ms(1_000));
                if answer.is_ok_and(|answer| answer.status / 100 == 2) {
                    if !delay.is_zero() && !boot.is_up.load(Ordering::SeqCst) {
                        let id = &boot.id;
                        record.line(format!(
                            "{id}: heartbeat {sequence} arrives late, at {control}"
                        ));
                    }
                    boot.acks.fetch_add(1, Ordering::SeqCst);
                    if is_leaving {
                        boot.drain_acked_at
                            .lock()
                            .unwrap()
                            .get_or_insert_with(Instant::now);
                        record.line(format!("{}: draining, acknowledged by {control}", boot.id));
                    }
                    return;
                }
            }
        });
    }
}

impl Boot {
    fn new(addr: SocketAddrV4) -> Self {
        let number = NEXT_BOOT.fetch_add(1, Ordering::Relaxed);
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |t| t.as_millis());
        Self {
            id: format!("i-{number:04x}"),
            born: born as u64,
            addr,
            is_up: AtomicBool::new(true),
            is_leaving: AtomicBool::new(false),
            is_cut: AtomicBool::new(false),
            acks: AtomicU64::new(0),
            drain_acked_at: Mutex::default(),
            open: Mutex::default(),
        }
    }

    /// Returns whether it was up.
    fn end(&self) -> bool {
        let was_up = self.is_up.swap(false, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        was_up
    }
}

fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>, from: Ipv4Addr) -> Option<Request> {
    let end = Instant::now() + Duration::from_secs(600);
    let at = loop {
        if let Some(at) = head_end(buf) {
            break at;
        }
        if read_some(stream, buf, end).ok()? == 0 {
            return None;
        }
    };
    let at_time = Instant::now();
    let head = String::from_utf8_lossy(&buf[..at]).into_owned();
    let len = header(&head, "content-length").and_then(|len| len.parse::<usize>().ok());
    let len = len.unwrap_or(0);
    while buf.len() < at + len {
        if read_some(stream, buf, end).ok()? == 0 {
            return None;
        }
    }
    let body = buf[at..at + len].to_vec();
    buf.drain(..at + len);
    let mut words = head.split(' ');
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    Some(Request {
        from,
        at: at_time,
        method,
        path,
        head,
        body,
    })
}

/// A replica's answer with its signature. `more` are further lines of the head.
pub fn signed(boot: &Boot, request: &Request, status: &str, more: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {}\r\nReplica-Signature: {}.{}\r\n\
         Content-Type: application/json\r\nKeep-Alive: timeout=4\r\n{more}Content-Length: {}\r\n\r\n{body}",
        request.id(),
        boot.id,
        request.id(),
        body.len(),
    )
}

/// Ends a script whose case couldn't run.
pub fn not_run(record: &Record, why: &str) -> i32 {
    record.say(format!("the case couldn't run: {why}"));
    NOT_RUN
}
