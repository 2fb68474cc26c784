//! A control host: its voter, what upstreams and operators say, and, while its voter
//! leads, the orders to the engines' hosts.

mod api;
mod follow;
mod lead;
mod orders;
mod probe;
mod seats;
mod voter;
mod watch;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use crate::bell::Bell;
use crate::events::Event;
use crate::events::emit;
use crate::message::Tell;
use crate::message::Unreachable;
use crate::peers;
use crate::platform::Platform;
use crate::pool::Pool;
use crate::settings::Settings;
use crate::window::Window;
use base::Incarnation;
use base::NodeId;
use base::Time;
use base::UpstreamId;
use base::Version;
use fleet::CompressedText;
use fleet::Roster;
use fleet::RoutingTable;
use fleet::UpdateOutcome;
use form::Action;
use form::Controller;
use forward::LoadAggregator;
use net::RpcClient;
use net::RpcMethods;
use net::Server;
use quorum::LocalVoter;
use quorum::clock;
use vote::Founding;

/// A first host that is lost is waited for by this much longer than engines stand still.
const HEAD_MARGIN: Duration = Duration::from_millis(400);

/// What a control host is told when it starts.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Where operators and upstreams call.
    pub addr: SocketAddr,
    /// Its data folder.
    pub data: PathBuf,
    /// Whether the deployment starts for the first time.
    pub founding: Founding,
    /// Disks that may be lost at once.
    pub losses: usize,
    /// How long engines stand still before they give up a replica.
    pub still_limit: Duration,
}

/// A configuration with its text.
#[derive(Clone, Debug, Default)]
pub(crate) struct InForce {
    /// Its version.
    pub version: Version,
    /// As its operator wrote it.
    pub text: CompressedText,
}

/// What all tasks of a control host share.
pub(crate) struct Control {
    pub settings: Settings,
    pub own: ControlSettings,
    pub platform: Rc<dyn Platform>,
    pub life: Incarnation,
    pub voters: LocalVoter,
    pub seeds: RefCell<Vec<NodeId>>,
    pub roster: RefCell<Roster>,
    pub controller: RefCell<Controller>,
    pub in_force: RefCell<InForce>,
    /// Room for orders that are under way.
    pub ordering: Window,
    /// Room for hosts that are asked whether they live.
    pub probing: Window,
    pub directions: RefCell<RoutingTable>,
    /// When a majority last stood behind the configuration.
    pub confirmed: Cell<Option<Time>>,
    /// What entry hosts have under way.
    pub crowd: RefCell<LoadAggregator>,
    /// What the leader is still to be told.
    pub untold: RefCell<Tell>,
    /// Hosts that are being asked whether they live.
    pub asked: RefCell<BTreeSet<UpstreamId>>,
    pub leader: Cell<Option<NodeId>>,
    /// First hosts that are to leave, as the leader told.
    pub passed_on: RefCell<Vec<Unreachable>>,
    pub peers: RpcClient,
    pub pool: Pool,
    /// Something that followers want to know has changed.
    pub news: Bell,
    /// Something that the controller wants to know has changed.
    pub due: Bell,
    /// There is something to tell the leader.
    pub telling: Bell,
}

/// A control host that runs.
pub(crate) struct Running {
    control: Rc<Control>,
    api: Server,
    internal: Server,
}

impl Running {
    /// Starts a control host.
    pub async fn spawn(
        settings: Settings,
        own: ControlSettings,
        platform: Rc<dyn Platform>,
    ) -> Result<Self, crate::RunError> {
        // The first use of the blocking pool starts a thread.
        let warm = compio::runtime::spawn_blocking(|| ());
        let (voters, writes) = voter::open(&settings, &own)?;
        if warm.await.is_err() {
            log::warn!("the thread for files did not start");
        }
        let control = Rc::new(Control::new(settings, own, platform, voters)?);
        let methods = watch::methods(RpcMethods::new(Rc::clone(&control)));
        let methods = voter::methods(methods);
        let internal_addr = control.settings.internal(control.settings.node());
        let internal = peers::bind(internal_addr, methods).await?;
        let api = api::bind(&control).await?;
        let edge = voter::AtControl(Rc::clone(&control));
        compio::runtime::spawn(quorum::run_voter(edge, writes)).detach();
        compio::runtime::spawn(lead::lead_on(Rc::clone(&control))).detach();
        compio::runtime::spawn(probe::probe_on(Rc::clone(&control))).detach();
        compio::runtime::spawn(seats::seats_on(Rc::clone(&control))).detach();
        compio::runtime::spawn(follow::follow_on(Rc::clone(&control))).detach();
        compio::runtime::spawn(follow::tell_on(Rc::clone(&control))).detach();
        Ok(Self {
            control,
            api,
            internal,
        })
    }

    /// Takes newer settings.
    pub fn reload(&self, settings: &Settings) {
        self.control.seeds.replace(settings.seeds.clone());
    }

    /// Lets another voter lead, and takes no more calls.
    pub async fn stop(&self) {
        quorum::hand_over_leadership(&voter::AtControl(Rc::clone(&self.control)));
        compio::time::sleep(Duration::from_millis(300)).await;
        self.api.close_idle_connections();
        self.api.stop_accepting();
        self.internal.close_idle_connections();
        self.internal.stop_accepting();
    }
}

impl Control {
    fn new(
        settings: Settings,
        own: ControlSettings,
        platform: Rc<dyn Platform>,
        voters: LocalVoter,
    ) -> Result<Self, cyper::Error> {
        let cfg = form::Config {
            lost_head_wait: own.still_limit + HEAD_MARGIN,
            ..form::Config::default()
        };
        Ok(Self {
            life: clock::new_incarnation(),
            voters,
            seeds: RefCell::new(settings.seeds.clone()),
            roster: RefCell::default(),
            controller: RefCell::new(Controller::new(cfg)),
            in_force: RefCell::default(),
            ordering: Window::open(orders::AT_ONCE),
            probing: Window::open(probe::AT_ONCE),
            directions: RefCell::default(),
            confirmed: Cell::new(None),
            crowd: RefCell::default(),
            untold: RefCell::default(),
            asked: RefCell::default(),
            leader: Cell::new(None),
            passed_on: RefCell::default(),
            peers: RpcClient::new(String::new())?,
            pool: Pool::default(),
            news: Bell::default(),
            due: Bell::default(),
            telling: Bell::default(),
            settings,
            own,
            platform,
        })
    }

    /// Whether its voter leads, and a majority stands behind it now.
    pub fn leads(&self) -> bool {
        self.term().is_some()
    }

    /// The term in which its voter leads.
    pub fn term(&self) -> Option<u64> {
        self.voters.leader_term(clock::now()).map(|term| term.0)
    }

    /// The control host that leads, as far as this one knows.
    pub fn known_leader(&self) -> Option<NodeId> {
        let leader = self.voters.voter.borrow().leader();
        leader.or(self.leader.get())
    }

    /// All control hosts that are known.
    pub fn controls(&self) -> BTreeSet<NodeId> {
        let voter = self.voters.voter.borrow();
        let members = voter.group().map(|group| group.members.keys().copied());
        let mut all: BTreeSet<NodeId> = members.into_iter().flatten().collect();
        all.extend(self.seeds.borrow().iter());
        all
    }

    /// Takes the outcome of an announcement, and passes on what is new.
    pub fn heard(&self, id: &UpstreamId, heard: UpdateOutcome) {
        let roster = self.roster.borrow();
        match (heard, roster.get(id)) {
            (UpdateOutcome::Ignored, _) => return,
            (_, Some(entry)) => {
                let now = clock::now();
                self.controller
                    .borrow_mut()
                    .record_announcement(&entry.announcement, now);
            }
            (_, None) => self.controller.borrow_mut().record_departure(id),
        }
        if heard == UpdateOutcome::Changed {
            match roster.get(id) {
                Some(entry) => emit(&Event::UpstreamSays {
                    id,
                    service: &entry.announcement.service,
                    what: describe(&entry.announcement),
                }),
                None => emit(&Event::UpstreamGone { id }),
            }
            self.news.ring();
            self.due.ring();
        }
    }

    /// Takes a configuration that was agreed on, if it is newer.
    pub fn bring_into_force(&self, version: Version, text: &str) {
        if version <= self.in_force.borrow().version {
            return;
        }
        let configuration = match self.platform.configuration(text) {
            Ok(configuration) => configuration,
            Err(findings) => {
                let error = findings.to_string();
                emit(&Event::ConfigUnreadable { version, error });
                return;
            }
        };
        let routes = configuration.routes.values().map(Vec::len).sum();
        emit(&Event::ConfigInForce { version, routes });
        let engines = configuration.engines();
        let engines = engines.map(|(name, engine)| (name.clone(), engine.clone()));
        self.controller.borrow_mut().set_engines(engines.collect());
        self.in_force.replace(InForce {
            version,
            text: CompressedText::compress(text),
        });
        self.news.ring();
        self.due.ring();
    }

    /// First hosts that the leader cannot reach and that are to leave.
    pub fn unreachable(&self) -> Vec<Unreachable> {
        if !self.leads() {
            return self.passed_on.borrow().clone();
        }
        let orders = self.controller.borrow().unreachable_heads().into_iter();
        let unreachable = orders.filter_map(|order| match order.action {
            Action::Leave { replica, epoch } => Some(Unreachable {
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

/// What matters of an announcement, for the log.
fn describe(said: &fleet::Announcement) -> String {
    let leaving = said.leaving;
    let addr = said.addr;
    let life = said.incarnation;
    match (&said.engine, said.place()) {
        (Some(engine), Some(place)) => {
            let staged = engine.staged.last().map_or("-", |model| model.as_str());
            let (replica, rank, state) = (&place.replica, place.rank, place.state);
            format!(
                "life={life} leaving={leaving} staged={staged} replica={replica} rank={rank} state={state:?}"
            )
        }
        (Some(engine), None) => {
            let staged = engine.staged.last().map_or("-", |model| model.as_str());
            format!("life={life} leaving={leaving} staged={staged} replica=-")
        }
        (None, _) => format!("life={life} leaving={leaving} addr={addr}"),
    }
}
