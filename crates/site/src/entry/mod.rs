//! An entry host: it takes callers' requests and forwards them to upstreams.

mod answer;
mod attempt;
mod attempt_guard;
mod follow;
mod handle;
mod known_rests;
mod leave_orders;
mod limits;
mod metrics;
mod outbound;
mod paths;
mod records;
mod relay;
mod request_forwarder;
mod rest_notices;
mod running;
mod statements;
mod stream_source;
mod target_choice;
mod targets;
mod whole_answer;

pub(crate) use running::Running;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::bounds::RetryLimits;
use crate::connection_pool::ConnectionPool;
use crate::entry::known_rests::KnownRests;
use crate::entry::metrics::Metrics;
use crate::entry::paths::OwnReport;
use crate::notify::Notify;
use crate::platform::Platform;
use crate::settings::Settings;
use allot::LimitGuard;
use base::Fence;
use base::ModelName;
use base::NodeId;
use base::Time;
use base::UpstreamId;
use base::Version;
use fleet::CallerLimits;
use fleet::Configuration;
use fleet::Edition;
use fleet::Roster;
use fleet::Route;
use fleet::RoutingTable;
use forward::AnswerTimes;
use forward::ControlSelector;
use forward::KeyFreshness;
use forward::PathTable;
use forward::PeerTable;
use forward::RetryBudget;
use forward::SentIds;
use forward::TargetTable;
use net::HeadLimit;
use net::LastCall;
use net::LateAnswers;
use net::OpenTunnels;
use net::ProcessMemory;
use net::RpcClient;
use quarantine::PartGuard;
use quorum::clock;

/// Weight of the newest answer in the moving average of answer times.
const ANSWER_TIME_WEIGHT: f64 = 0.05;

/// The settings of an entry host.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// The address at which callers call.
    pub caller_addr: SocketAddr,
    /// The address at which the load balancer checks readiness.
    pub readiness_addr: SocketAddr,
    /// The time within which a removed key must stop being accepted.
    pub revoke_within: Duration,
    /// Limits on the retries of the whole deployment.
    pub retry_limits: RetryLimits,
}

/// The phases of an entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The entry host has no configuration yet.
    Starting,
    /// The entry host takes requests.
    Serving,
    /// The entry host reports that it isn't ready, but still takes requests.
    Leaving,
    /// The entry host takes no more requests and finishes those it has.
    Draining,
}

/// The recent requests for a model.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ModelArrivals {
    /// Requests since the last load report.
    pub count: u32,
    /// How long an otherwise idle replica needs to read the prompts of these requests, in
    /// seconds.
    pub prompt_secs: f64,
    /// Moving average of the time from a request's arrival to the end of its answer.
    pub answer_time: Option<Duration>,
}

impl ModelArrivals {
    /// Adds a measured answer time to the moving average.
    pub fn record_answer_time(&mut self, span: Duration) {
        let known = self.answer_time.unwrap_or(span);
        self.answer_time =
            Some(known.mul_f64(1.0 - ANSWER_TIME_WEIGHT) + span.mul_f64(ANSWER_TIME_WEIGHT));
    }
}

/// The state that all tasks of an entry host share.
pub(crate) struct EntryHost {
    pub settings: Settings,
    pub role_settings: EntrySettings,
    pub platform: Rc<dyn Platform>,
    /// When this process started.
    pub started_at: Time,
    pub phase: Cell<Phase>,
    /// The time by which all answers must be given, because this process stops.
    answers_by: Cell<Time>,
    /// That time has come.
    pub last_call: LastCall,
    /// How long the answers of each route take.
    pub answer_times: RefCell<AnswerTimes>,
    pub seeds: RefCell<Vec<NodeId>>,
    pub roster: RefCell<Roster>,
    pub routing_table: RefCell<RoutingTable>,
    pub configuration: RefCell<Rc<Configuration>>,
    pub version: Cell<Version>,
    /// How long keys may be accepted without confirmation by a control host.
    pub key_freshness: RefCell<KeyFreshness>,
    /// Selects the control host to follow.
    pub selector: RefCell<ControlSelector>,
    pub targets: RefCell<TargetTable>,
    pub retry_budget: RefCell<RetryBudget>,
    /// Which requests were sent to which processes.
    pub sent_ids: RefCell<SentIds>,
    /// Checks requests by the parts of their prompts.
    pub part_guard: RefCell<PartGuard>,
    /// Which way to connect to upstreams.
    pub paths: RefCell<PathTable>,
    /// The other entry hosts.
    pub peers: RefCell<PeerTable>,
    /// What this host last reported of itself.
    pub own_report: RefCell<OwnReport>,
    /// The limits that upstreams name, and the shares of this entry host.
    pub limit_guard: RefCell<LimitGuard>,
    /// The rests that upstreams asked for.
    pub rests: RefCell<KnownRests>,
    /// The recent requests for each model.
    pub arrivals: RefCell<BTreeMap<ModelName, ModelArrivals>>,
    /// Stalled head hosts that have not been reported to a control host yet.
    pub stalled_heads: RefCell<Vec<UpstreamId>>,
    /// Replicas whose head host has left, not yet reported to a control host.
    pub left_replicas: RefCell<Vec<Fence>>,
    /// Replicas whose head host could not be reached, not yet reported to a control host.
    pub unreached_replicas: RefCell<Vec<Fence>>,
    /// Replicas whose head host is being told to leave.
    pub leave_orders: RefCell<BTreeSet<Fence>>,
    pub observations_added: Notify,
    /// A request has ended or the targets have changed, so a target may have a free slot.
    pub capacity_changed: Notify,
    pub in_flight: Cell<usize>,
    pub rpc: RpcClient,
    pub pool: ConnectionPool,
    /// The connections that this host leads for others.
    pub led_tunnels: RefCell<OpenTunnels>,
    /// What requests and answers hold in this process.
    pub memory: ProcessMemory,
    /// The largest head of a request, by the configuration in force.
    pub max_head: HeadLimit,
    /// Answers that nobody waits for any more.
    pub late_answers: LateAnswers,
    pub metrics: Metrics,
}

impl EntryHost {
    fn new(
        settings: Settings,
        role_settings: EntrySettings,
        platform: Rc<dyn Platform>,
        memory: ProcessMemory,
    ) -> Result<Self, cyper::Error> {
        let RetryLimits {
            ratio,
            slack,
            window,
        } = role_settings.retry_limits;
        let seed = u64::from(settings.node_id().0);
        Ok(Self {
            started_at: clock::now(),
            phase: Cell::new(Phase::Starting),
            answers_by: Cell::new(Time::NEVER),
            last_call: LastCall::default(),
            answer_times: RefCell::default(),
            seeds: RefCell::new(settings.seeds.clone()),
            roster: RefCell::default(),
            routing_table: RefCell::default(),
            configuration: RefCell::default(),
            version: Cell::default(),
            key_freshness: RefCell::new(KeyFreshness::new(role_settings.revoke_within)),
            selector: RefCell::new(ControlSelector::new(settings.node_id())),
            targets: RefCell::new(TargetTable::new(settings.centre.clone(), seed)),
            retry_budget: RefCell::new(RetryBudget::new(ratio, slack, window)),
            sent_ids: RefCell::default(),
            part_guard: RefCell::new(PartGuard::new(settings.node_id())),
            paths: RefCell::default(),
            peers: RefCell::new(PeerTable::new(
                settings.node_id(),
                settings.centre.clone(),
                seed,
            )),
            own_report: RefCell::default(),
            limit_guard: RefCell::new(LimitGuard::new(settings.node_id())),
            rests: RefCell::new(KnownRests::new(seed)),
            arrivals: RefCell::default(),
            stalled_heads: RefCell::default(),
            left_replicas: RefCell::default(),
            unreached_replicas: RefCell::default(),
            leave_orders: RefCell::default(),
            observations_added: Notify::default(),
            capacity_changed: Notify::default(),
            in_flight: Cell::new(0),
            rpc: RpcClient::new(String::new())?,
            pool: ConnectionPool::new(settings.ip),
            led_tunnels: RefCell::default(),
            memory,
            max_head: HeadLimit::new(CallerLimits::default().head_bytes),
            late_answers: LateAnswers::spawn(),
            metrics: Metrics::default(),
            settings,
            role_settings,
            platform,
        })
    }

    /// Whether this host is stopping.
    pub fn is_leaving(&self) -> bool {
        matches!(self.phase.get(), Phase::Leaving | Phase::Draining)
    }

    /// The time by which a request must be answered that may take until `deadline`.
    pub fn answer_by(&self, deadline: Time) -> Time {
        deadline.min(self.answers_by.get())
    }

    /// Whether a request of a route would probably not be answered before this process ends.
    pub fn is_too_late_for(&self, route: &Route) -> bool {
        let expected = self.answer_times.borrow().expected(&route.name, route.kind);
        self.answers_by.get() < clock::now() + expected
    }

    /// How long ago this process started.
    pub fn uptime(&self) -> Duration {
        clock::now().since(self.started_at)
    }

    /// Whether a controller has published where requests for models may go.
    pub fn has_routing_table(&self) -> bool {
        self.routing_table.borrow().edition != Edition::default()
    }

    /// The control host that is followed.
    pub fn followed_control_host(&self) -> Option<NodeId> {
        self.selector.borrow().current(&self.seeds.borrow())
    }

    /// How long ago a majority was last known to confirm the configuration.
    pub fn confirmed_ago(&self) -> Duration {
        self.key_freshness.borrow().confirmed_ago(clock::now())
    }

    /// Whether keys may still be accepted.
    pub fn are_keys_fresh(&self) -> bool {
        self.key_freshness.borrow().is_fresh(clock::now())
    }
}
