//! A control host: its voter, the API for upstreams and operators and, while its voter leads, the
//! orders to the hosts of the engines.

mod api;
mod bans;
mod departures;
mod follow;
mod ignored;
mod lead;
mod leader_search;
mod membership;
mod orders;
mod probe;
mod records;
mod release;
mod roster_updates;
mod voter;
mod watch;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use crate::connection_pool::ConnectionPool;
use crate::control::ignored::IgnoredAnnouncements;
use crate::control::records::RecordWriter;
use crate::events::Event;
use crate::events::emit;
use crate::message::FleetReport;
use crate::message::Observations;
use crate::message::UnreachableHead;
use crate::notify::Notify;
use crate::peers;
use crate::platform::Platform;
use crate::semaphore::Semaphore;
use crate::settings::Settings;
use allot::Allotment;
use base::Incarnation;
use base::NodeId;
use base::Time;
use base::Version;
use fleet::CompressedText;
use fleet::EntryDirectory;
use fleet::LeaderReports;
use fleet::Probes;
use fleet::RestDirectory;
use fleet::RevisionHolders;
use fleet::Roster;
use fleet::RoutingTable;
use form::Action;
use form::Controller;
use forward::LoadAggregator;
use net::LastCall;
use net::ProcessMemory;
use net::RpcClient;
use net::RpcMethods;
use net::Server;
use quarantine::Quarantine;
use quorum::LocalVoter;
use quorum::clock;
use vote::Founding;

/// A replica that lacks a host counts as broken this much later than engines give it up.
const LOST_HEAD_MARGIN: Duration = Duration::from_millis(400);

/// How long before the end of a stop the calls that have not been answered are abandoned.
const LAST_CALLS_MARGIN: Duration = Duration::from_millis(400);

/// The settings of a control host.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// The address at which operators and upstreams call.
    pub api_addr: SocketAddr,
    /// The data directory.
    pub data_dir: PathBuf,
    /// Whether the voters may found a new group: the deployment starts for the first time.
    pub founding: Founding,
    /// How many disks may be lost at once.
    pub max_disk_losses: usize,
    /// How long a control host that starts may take to catch up.
    pub catch_up: Duration,
    /// How long engines stall before they give up a replica.
    pub stall_timeout: Duration,
}

/// The configuration in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveConfig {
    /// The configuration's version.
    pub version: Version,
    /// The compressed text as its operator wrote it.
    pub text: CompressedText,
}

/// The state that all tasks of a control host share.
pub(crate) struct ControlHost {
    pub settings: Settings,
    pub role_settings: ControlSettings,
    pub platform: Rc<dyn Platform>,
    pub incarnation: Incarnation,
    pub local_voter: LocalVoter,
    pub seeds: RefCell<Vec<NodeId>>,
    pub roster: RefCell<Roster>,
    /// How often announcements were ignored.
    pub ignored: RefCell<IgnoredAnnouncements>,
    pub controller: RefCell<Controller>,
    pub record_writer: RecordWriter,
    pub active_config: RefCell<ActiveConfig>,
    /// Limits how many orders are carried out at once.
    pub order_permits: Semaphore,
    /// Limits how many hosts are probed at once.
    pub probe_permits: Semaphore,
    pub routing_table: RefCell<RoutingTable>,
    /// When a majority last confirmed the configuration.
    pub confirmed_at: Cell<Option<Time>>,
    /// The load of the entry hosts.
    pub loads: RefCell<LoadAggregator>,
    /// The voter's disk failed, so the process is to end.
    pub disk_failed: LastCall,
    /// What is to be reported to the leader of the upstreams that announce themselves here.
    pub leader_reports: RefCell<LeaderReports>,
    /// Other observations that have not been sent to the leader yet.
    pub unsent_observations: RefCell<Observations>,
    /// What entry hosts reported for all others and is not sent to the leader yet, with the times
    /// at which it came.
    pub unsent_reports: RefCell<Vec<(Time, FleetReport)>>,
    /// Which parts of prompts are suspected and banned.
    pub quarantine: RefCell<Quarantine>,
    /// The entry hosts, and which upstreams they reach.
    pub entry_directory: RefCell<EntryDirectory>,
    /// The limits that upstreams name, and the entry hosts that share them.
    pub allotment: RefCell<Allotment>,
    /// The rests that upstreams asked for.
    pub rest_directory: RefCell<RestDirectory>,
    /// Hosts that are being probed or were lost.
    pub probes: RefCell<Probes>,
    /// The leading control host, as the last reply to this control host's watch calls showed.
    pub reported_leader: Cell<Option<NodeId>>,
    /// Head hosts that are to leave, as the leader reported.
    pub reported_unreachable: RefCell<Vec<UnreachableHead>>,
    pub rpc: RpcClient,
    pub pool: ConnectionPool,
    /// What requests and answers hold in this process.
    pub memory: ProcessMemory,
    /// Something that followers watch has changed.
    pub watch_changed: Notify,
    /// An input of the controller has changed.
    pub controller_changed: Notify,
    /// There are observations to send to the leader.
    pub observations_added: Notify,
    /// Which control hosts hold what the roster says, while this one leads.
    pub revision_holders: RefCell<RevisionHolders>,
    /// More control hosts hold departures than before.
    pub departures_held: Notify,
    /// The members of the group of voters have changed, or one is about to stop.
    pub members_changed: Notify,
}

/// A running control host.
pub(crate) struct Running {
    control: Rc<ControlHost>,
    api: Server,
    internal: Server,
}

impl Running {
    pub async fn start(
        settings: Settings,
        role_settings: ControlSettings,
        platform: Rc<dyn Platform>,
        memory: ProcessMemory,
    ) -> Result<Self, crate::RunError> {
        // The first use of the blocking pool starts its thread.
        let thread_started = compio::runtime::spawn_blocking(|| ());
        let (local_voter, writes) = voter::open_voter(&settings, &role_settings)?;
        if thread_started.await.is_err() {
            log::warn!("the thread for file operations did not start");
        }
        let control = Rc::new(ControlHost::new(
            settings,
            role_settings,
            platform,
            local_voter,
            memory.clone(),
        )?);
        let methods = watch::add_methods(RpcMethods::new(Rc::clone(&control)));
        let methods = voter::add_methods(methods);
        let methods = bans::add_methods(methods);
        let methods = release::add_methods(methods);
        let internal_addr = control.settings.internal_addr(control.settings.node_id());
        let internal = peers::bind(internal_addr, methods, memory).await?;
        let api = api::bind(&control).await?;
        let environment = voter::VoterEnvironment(Rc::clone(&control));
        compio::runtime::spawn(quorum::run_voter(environment, writes)).detach();
        compio::runtime::spawn(lead::run_leader(Rc::clone(&control))).detach();
        compio::runtime::spawn(probe::probe_silent_hosts(Rc::clone(&control))).detach();
        compio::runtime::spawn(membership::run_membership_policy(Rc::clone(&control))).detach();
        compio::runtime::spawn(follow::follow_leader(Rc::clone(&control))).detach();
        compio::runtime::spawn(follow::send_observations(Rc::clone(&control))).detach();
        Ok(Self {
            control,
            api,
            internal,
        })
    }

    /// Applies reloaded settings.
    pub fn reload(&self, settings: &Settings) {
        self.control.seeds.replace(settings.seeds.clone());
    }

    /// Waits until the voter's disk has failed.
    pub async fn disk_failed(&self) {
        self.control.disk_failed.given().await;
    }

    /// Has the voter replaced if another one is at hand, hands leadership over, closes the
    /// listeners, and answers the calls that have begun.
    pub async fn stop(&self, deadline: Time) {
        release::release_vote(&self.control, deadline).await;
        quorum::hand_over_leadership(&voter::VoterEnvironment(Rc::clone(&self.control)));
        compio::time::sleep(Duration::from_millis(300)).await;
        self.api.close_idle_connections();
        self.api.stop_accepting();
        while 0 < self.api.open_connections() && clock::now() + LAST_CALLS_MARGIN < deadline {
            compio::time::sleep(Duration::from_millis(20)).await;
        }
        self.internal.close_idle_connections();
        self.internal.stop_accepting();
    }
}

impl ControlHost {
    fn new(
        settings: Settings,
        role_settings: ControlSettings,
        platform: Rc<dyn Platform>,
        local_voter: LocalVoter,
        memory: ProcessMemory,
    ) -> Result<Self, cyper::Error> {
        let cfg = form::Config {
            lost_head_wait: role_settings.stall_timeout + LOST_HEAD_MARGIN,
            ..form::Config::default()
        };
        Ok(Self {
            incarnation: clock::new_incarnation(),
            local_voter,
            seeds: RefCell::new(settings.seeds.clone()),
            roster: RefCell::default(),
            ignored: RefCell::default(),
            controller: RefCell::new(Controller::new(cfg)),
            record_writer: RecordWriter::default(),
            active_config: RefCell::default(),
            order_permits: Semaphore::new(orders::MAX_PARALLEL_ORDERS),
            probe_permits: Semaphore::new(probe::MAX_PARALLEL_PROBES),
            routing_table: RefCell::default(),
            confirmed_at: Cell::new(None),
            loads: RefCell::default(),
            disk_failed: LastCall::default(),
            leader_reports: RefCell::default(),
            unsent_observations: RefCell::default(),
            unsent_reports: RefCell::default(),
            quarantine: RefCell::default(),
            entry_directory: RefCell::default(),
            allotment: RefCell::default(),
            rest_directory: RefCell::default(),
            probes: RefCell::default(),
            reported_leader: Cell::new(None),
            reported_unreachable: RefCell::default(),
            rpc: RpcClient::new(String::new())?,
            pool: ConnectionPool::new(settings.ip),
            memory,
            watch_changed: Notify::default(),
            controller_changed: Notify::default(),
            observations_added: Notify::default(),
            revision_holders: RefCell::default(),
            departures_held: Notify::default(),
            members_changed: Notify::default(),
            settings,
            role_settings,
            platform,
        })
    }

    /// Whether the voter of this control host leads and is confirmed by a majority now.
    pub fn is_leader(&self) -> bool {
        self.leader_term().is_some()
    }

    /// The term in which the voter of this control host leads.
    pub fn leader_term(&self) -> Option<u64> {
        self.local_voter
            .leader_term(clock::now())
            .map(|term| term.0)
    }

    /// The leading control host, as far as this one knows.
    pub fn known_leader(&self) -> Option<NodeId> {
        let leader = self.local_voter.voter.borrow().leader();
        leader.or(self.reported_leader.get())
    }

    /// All known control hosts.
    pub fn control_hosts(&self) -> BTreeSet<NodeId> {
        let voter = self.local_voter.voter.borrow();
        let members = voter.group().map(|group| group.members.keys().copied());
        let mut all: BTreeSet<NodeId> = members.into_iter().flatten().collect();
        all.extend(self.seeds.borrow().iter());
        all
    }

    /// Puts a committed configuration into force, if it is newer.
    pub fn activate_config(&self, version: Version, text: &str) {
        if version <= self.active_config.borrow().version {
            return;
        }
        let configuration = match self.platform.parse_configuration(text) {
            Ok(configuration) => configuration,
            Err(findings) => {
                let error = findings.to_string();
                emit(&Event::ConfigUnreadable { version, error });
                return;
            }
        };
        let routes = configuration.routes.values().map(Vec::len).sum();
        emit(&Event::ConfigInForce { version, routes });
        let services = configuration.services.keys().cloned().collect();
        self.roster.borrow_mut().set_known_services(services);
        let engines = configuration.engines();
        let engines = engines.map(|(name, engine)| (name.clone(), engine.clone()));
        self.controller.borrow_mut().set_engines(engines.collect());
        self.active_config.replace(ActiveConfig {
            version,
            text: CompressedText::compress(text),
        });
        self.watch_changed.notify_waiters();
        self.controller_changed.notify_waiters();
    }

    /// Head hosts that the leader cannot reach and that are to leave their replicas.
    pub fn unreachable_heads(&self) -> Vec<UnreachableHead> {
        if !self.is_leader() {
            return self.reported_unreachable.borrow().clone();
        }
        let orders = self
            .controller
            .borrow()
            .leave_orders_for_unreachable_heads()
            .into_iter();
        let unreachable = orders.filter_map(|order| match order.action {
            Action::Leave { replica, epoch } => Some(UnreachableHead {
                host: order.host,
                addr: order.addr,
                replica,
                epoch,
            }),
            _ => None,
        });
        unreachable.collect()
    }
}
