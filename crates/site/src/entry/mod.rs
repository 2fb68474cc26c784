//! An entry host: it takes callers' requests and sends them on.

mod answer;
mod attempt;
mod follow;
mod handle;
mod job;
mod metrics;
mod outbound;
mod relay;
mod turn;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::bell::Bell;
use crate::bounds::RetryTerms;
use crate::entry::metrics::Metrics;
use crate::platform::Platform;
use crate::pool::Pool;
use crate::settings::Settings;
use base::Fence;
use base::ModelName;
use base::NodeId;
use base::Time;
use base::UpstreamId;
use base::Version;
use fleet::Configuration;
use fleet::Edition;
use fleet::Roster;
use fleet::RoutingTable;
use forward::ControlSelector;
use forward::KeyFreshness;
use forward::RetryBudget;
use forward::TargetTable;
use net::RpcClient;
use net::Server;
use net::ServerLimits;
use quorum::clock;

/// How long a caller's connection may be idle. Longer than callers do.
const CALLER_IDLE: Duration = Duration::from_secs(25);

/// Callers' connections that are open at once.
const CALLER_CONNECTIONS: usize = 2_500;

/// Weight of one answer in how long answers take.
const TAKES_PART: f64 = 0.05;

/// How long a caller may take nothing of an answer.
const CALLER_STALL: Duration = Duration::from_secs(10);

/// The largest head of a request in bytes.
const HEAD_BYTES: usize = 64 * 1024;

/// How long this host goes on as usual after it was told to stop, until no new
/// connections come.
const NOTICE: Duration = Duration::from_millis(2_600);

/// Time before the end at which the last requests are given up.
const LAST: Duration = Duration::from_millis(400);

/// What an entry host is told when it starts.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Where callers call.
    pub callers: SocketAddr,
    /// Where the balancer asks if it is ready.
    pub readiness: SocketAddr,
    /// A key that was taken away must stop to count within this time.
    pub revoke_within: Duration,
    /// How many retries the whole deployment may make.
    pub retries: RetryTerms,
}

/// What an entry host is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It has no configuration yet.
    Starting,
    /// It takes requests.
    Serving,
    /// It says that it isn't ready, and still takes what comes.
    Leaving,
    /// It takes nothing more, and finishes what it has.
    Draining,
}

/// What a model was asked for lately.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Arrivals {
    /// Requests since the last report.
    pub count: u32,
    /// What their prompts take a replica that does nothing else, in seconds.
    pub prompt_secs: f64,
    /// How long an answer takes, averaged.
    pub takes: Option<Duration>,
}

impl Arrivals {
    /// Takes how long an answer took.
    pub fn took(&mut self, span: Duration) {
        let known = self.takes.unwrap_or(span);
        self.takes = Some(known.mul_f64(1.0 - TAKES_PART) + span.mul_f64(TAKES_PART));
    }
}

/// What all tasks of an entry host share.
pub(crate) struct Entry {
    pub settings: Settings,
    pub own: EntrySettings,
    pub platform: Rc<dyn Platform>,
    /// When this process started.
    pub began: Time,
    pub phase: Cell<Phase>,
    pub seeds: RefCell<Vec<NodeId>>,
    pub roster: RefCell<Roster>,
    pub directions: RefCell<RoutingTable>,
    pub configuration: RefCell<Rc<Configuration>>,
    pub version: Cell<Version>,
    /// How long keys may be believed without news.
    pub keys: RefCell<KeyFreshness>,
    /// Which control host is followed.
    pub following: RefCell<ControlSelector>,
    pub board: RefCell<TargetTable>,
    pub budget: RefCell<RetryBudget>,
    /// What each model was asked for lately.
    pub arrivals: RefCell<BTreeMap<ModelName, Arrivals>>,
    /// First hosts that stand still and of which no control host knows yet.
    pub still: RefCell<Vec<UpstreamId>>,
    /// Replicas whose first host has left, and of which no control host knows yet.
    pub left: RefCell<Vec<Fence>>,
    /// Replicas whose first host is being told to leave.
    pub leaving: RefCell<BTreeSet<Fence>>,
    pub telling: Bell,
    /// A request has ended, so a place may be free.
    pub freed: Bell,
    pub in_flight: Cell<usize>,
    pub peers: RpcClient,
    pub pool: Pool,
    pub metrics: Metrics,
}

/// An entry host that runs.
pub(crate) struct Running {
    pub entry: Rc<Entry>,
    callers: Server,
    readiness: Option<Server>,
}

impl Running {
    /// Starts an entry host.
    pub async fn spawn(
        settings: Settings,
        own: EntrySettings,
        platform: Rc<dyn Platform>,
    ) -> Result<Self, crate::RunError> {
        let entry = Rc::new(Entry::new(settings, own, platform)?);
        let bounds = ServerLimits {
            max_connections: CALLER_CONNECTIONS,
            max_header_bytes: HEAD_BYTES,
            header_timeout: CALLER_IDLE,
            write_stall_timeout: CALLER_STALL,
        };
        let callers = Self::listen(&entry, entry.own.callers, bounds).await?;
        let readiness = match entry.own.readiness == entry.own.callers {
            true => None,
            false => {
                Some(Self::listen(&entry, entry.own.readiness, ServerLimits::default()).await?)
            }
        };
        compio::runtime::spawn(follow::follow_on(Rc::clone(&entry))).detach();
        compio::runtime::spawn(follow::go_home_on(Rc::clone(&entry))).detach();
        compio::runtime::spawn(follow::tell_on(Rc::clone(&entry))).detach();
        compio::runtime::spawn(keep_on(Rc::clone(&entry))).detach();
        Ok(Self {
            entry,
            callers,
            readiness,
        })
    }

    async fn listen(
        entry: &Rc<Entry>,
        addr: SocketAddr,
        bounds: ServerLimits,
    ) -> std::io::Result<Server> {
        let entry = Rc::clone(entry);
        Server::bind(addr, bounds, move |req| {
            handle::handle(Rc::clone(&entry), req)
        })
        .await
    }

    /// Takes newer settings.
    pub fn reload(&self, settings: &Settings) {
        self.entry.seeds.replace(settings.seeds.clone());
    }

    /// Says that it isn't ready, goes on until no new connections come, and finishes
    /// what it has.
    pub async fn stop(&self) {
        let until = clock::now() + self.entry.settings.stop_within;
        self.entry.phase.set(Phase::Leaving);
        compio::time::sleep(NOTICE).await;
        self.entry.phase.set(Phase::Draining);
        self.callers.stop_accepting();
        self.callers.close_idle_connections();
        while 0 < self.entry.in_flight.get() && clock::now() + LAST < until {
            compio::time::sleep(Duration::from_millis(20)).await;
        }
        // The last bytes are with the connections: give them a moment to leave.
        compio::time::sleep(Duration::from_millis(60)).await;
        if let Some(readiness) = &self.readiness {
            readiness.stop_accepting();
        }
    }
}

impl Entry {
    fn new(
        settings: Settings,
        own: EntrySettings,
        platform: Rc<dyn Platform>,
    ) -> Result<Self, cyper::Error> {
        let RetryTerms {
            ratio,
            slack,
            window,
        } = own.retries;
        let seed = u64::from(settings.node().0);
        Ok(Self {
            began: clock::now(),
            phase: Cell::new(Phase::Starting),
            seeds: RefCell::new(settings.seeds.clone()),
            roster: RefCell::default(),
            directions: RefCell::default(),
            configuration: RefCell::default(),
            version: Cell::default(),
            keys: RefCell::new(KeyFreshness::new(own.revoke_within)),
            following: RefCell::new(ControlSelector::new(settings.node())),
            board: RefCell::new(TargetTable::new(settings.centre.clone(), seed)),
            budget: RefCell::new(RetryBudget::new(ratio, slack, window)),
            arrivals: RefCell::default(),
            still: RefCell::default(),
            left: RefCell::default(),
            leaving: RefCell::default(),
            telling: Bell::default(),
            freed: Bell::default(),
            in_flight: Cell::new(0),
            peers: RpcClient::new(String::new())?,
            pool: Pool::default(),
            metrics: Metrics::default(),
            settings,
            own,
            platform,
        })
    }

    /// How long ago this process started.
    pub fn age(&self) -> Duration {
        clock::now().since(self.began)
    }

    /// Whether a controller has told where requests for models may go.
    pub fn is_directed(&self) -> bool {
        self.directions.borrow().edition != Edition::default()
    }

    /// The control host that is followed.
    pub fn followed(&self) -> Option<NodeId> {
        self.following.borrow().current(&self.seeds.borrow())
    }

    /// How long ago a majority was last known to stand behind the configuration.
    pub fn confirmed_ago(&self) -> Duration {
        self.keys.borrow().confirmed_ago(clock::now())
    }

    /// Whether keys may still be believed.
    pub fn trusts_keys(&self) -> bool {
        self.keys.borrow().is_fresh(clock::now())
    }
}

/// Closes connections that have been idle for too long, for as long as the process runs.
async fn keep_on(entry: Rc<Entry>) {
    loop {
        compio::time::sleep(Duration::from_millis(500)).await;
        entry.pool.expire();
    }
}
