//! The routes that one entry node may use.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::GrantId;
use crate::Route;
use crate::RouteGrant;
use crate::RoutePoll;
use crate::heard::HeardHosts;
use base::CentreId;
use base::Fence;
use base::HostId;
use base::HostReport;
use base::Incarnation;
use base::ModelName;
use base::NodeId;
use base::ReplicaId;
use base::Time;

/// Polls whose answer may still come, for each data centre.
const MAX_OPEN_POLLS: usize = 16;

/// A host that said it is leaving gets no work for this long, whatever is granted.
const LEAVING_LIFE: Duration = Duration::from_secs(10);

/// What became of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantOutcome {
    /// It is in force.
    Applied,
    /// It is older than one already taken, or answers no open poll.
    Stale,
    /// It builds on a grant that this node has not. The next poll says so.
    MissingBase,
}

/// The routes granted to one entry node by the data centres that it polls.
///
/// A route ends at the time when its poll was sent plus its validity, on the
/// node's own clock. A node that froze therefore wakes to routes that have ended.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    node: NodeId,
    incarnation: Incarnation,
    centres: BTreeMap<CentreId, Centre>,
    routes: BTreeMap<ReplicaId, Held>,
    models: BTreeMap<ModelName, BTreeSet<ReplicaId>>,
    leaving: BTreeMap<HostId, Time>,
    heard: HeardHosts,
}

#[derive(Clone, Debug, Default)]
struct Centre {
    last_poll: u64,
    open: BTreeMap<u64, Time>,
    taken: Option<GrantId>,
    heard_within: Duration,
}

#[derive(Clone, Debug)]
struct Held {
    centre: CentreId,
    route: Route,
    until: Time,
    hold_until: Time,
}

impl RouteTable {
    /// An empty table.
    pub fn new(node: NodeId, incarnation: Incarnation) -> Self {
        Self {
            node,
            incarnation,
            ..Self::default()
        }
    }

    /// The next poll to a data centre's controller, sent now.
    pub fn next_poll(&mut self, centre: CentreId, now: Time) -> RoutePoll {
        self.heard.note_use(now);
        self.heard.forget(now);
        let state = self.centres.entry(centre).or_default();
        state.last_poll += 1;
        state.open.insert(state.last_poll, now);
        while MAX_OPEN_POLLS < state.open.len() {
            state.open.pop_first();
        }
        RoutePoll {
            node: self.node,
            incarnation: self.incarnation,
            number: state.last_poll,
            taken: state.taken,
        }
    }

    /// Takes the answer to a poll.
    pub fn apply_grant(&mut self, grant: &RouteGrant) -> GrantOutcome {
        let Some(state) = self.centres.get_mut(&grant.centre) else {
            return GrantOutcome::Stale;
        };
        let Some(sent) = state.open.get(&grant.poll).copied() else {
            return GrantOutcome::Stale;
        };
        if state.taken.is_some_and(|taken| grant.id <= taken) {
            return GrantOutcome::Stale;
        }
        if grant.base.is_some() && grant.base != state.taken {
            return GrantOutcome::MissingBase;
        }
        state.taken = Some(grant.id);
        state.heard_within = grant.heard_within;
        state.open.retain(|number, _| grant.poll < *number);
        self.change(grant);
        self.renew(grant, sent);
        GrantOutcome::Applied
    }

    /// Takes a host's report that this node heard, directly or from its neighbours.
    /// With it, routes outlive their controller for as long as the grant allows.
    pub fn receive_report(&mut self, report: &HostReport, now: Time) {
        self.heard.hear(report, now);
    }

    /// Notes that a host announced here, or at a node that passed it on, that it leaves.
    pub fn mark_leaving(&mut self, host: HostId, now: Time) {
        self.leaving.retain(|_, until| now < *until);
        self.leaving.insert(host, now + LEAVING_LIFE);
    }

    /// The routes to a model that are valid now.
    pub fn valid_routes(&self, model: &ModelName, now: Time) -> Vec<&Route> {
        let ids = self.models.get(model).into_iter().flatten();
        let held = ids.filter_map(|id| self.routes.get(id));
        let valid = held.filter(|held| self.is_valid(held, now));
        valid.map(|held| &held.route).collect()
    }

    /// True if a request may be sent to the replica now. Asked right before each send.
    pub fn allows_route(&self, replica: ReplicaId, fence: Fence, now: Time) -> bool {
        let held = self.routes.get(&replica);
        held.is_some_and(|held| held.route.fence == fence && self.is_valid(held, now))
    }

    /// Models with a valid route, and how many.
    pub fn valid_route_counts(&self, now: Time) -> BTreeMap<ModelName, usize> {
        let count = |model| self.valid_routes(model, now).len();
        let models = self.models.keys();
        models.map(|model| (model.clone(), count(model))).collect()
    }

    fn is_valid(&self, held: &Held, now: Time) -> bool {
        let leaves = |host| self.leaving.get(host).is_some_and(|until| now < *until);
        let is_in_time = now < held.until || self.is_held(held, now);
        is_in_time && !held.route.hosts.iter().any(leaves)
    }

    /// True if a route outlives its controller, for its hosts confirm it here.
    fn is_held(&self, held: &Held, now: Time) -> bool {
        let centre = self.centres.get(&held.centre);
        let within = centre.map_or(Duration::ZERO, |centre| centre.heard_within);
        now < held.hold_until && self.heard.confirm(&held.route, within, now)
    }

    fn change(&mut self, grant: &RouteGrant) {
        if grant.base.is_none() {
            let is_other = |held: &Held| held.centre != grant.centre;
            self.routes.retain(|_, held| is_other(held));
        }
        for replica in &grant.removed {
            self.routes.remove(replica);
        }
        for route in &grant.added {
            let held = Held {
                centre: grant.centre,
                route: route.clone(),
                until: Time::ZERO,
                hold_until: Time::ZERO,
            };
            self.routes.insert(route.replica, held);
        }
        if grant.base.is_none() || !grant.added.is_empty() || !grant.removed.is_empty() {
            self.index();
        }
    }

    fn index(&mut self) {
        self.models.clear();
        for (id, held) in &self.routes {
            let model = held.route.model.clone();
            self.models.entry(model).or_default().insert(*id);
        }
    }

    fn renew(&mut self, grant: &RouteGrant, sent: Time) {
        for held in self.routes.values_mut() {
            if held.centre == grant.centre {
                held.until = sent + grant.valid_for;
                held.hold_until = sent + grant.hold_for;
            }
        }
        for short in &grant.shorter {
            if let Some(held) = self.routes.get_mut(&short.replica) {
                held.until = sent + short.valid_for;
            }
        }
    }
}
