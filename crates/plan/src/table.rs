//! The routes that one entry node may use.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::GrantId;
use crate::Route;
use crate::RouteGrant;
use crate::RoutePoll;
use crate::host_reports::HostReports;
use base::CentreId;
use base::Fence;
use base::HostId;
use base::HostReport;
use base::Incarnation;
use base::ModelName;
use base::NodeId;
use base::ReplicaId;
use base::Time;

/// The most polls to one data centre whose answer is still accepted.
const MAX_OPEN_POLLS: usize = 16;

/// How long a host that announced its leaving gets no requests, whatever is granted.
const LEAVING_MARK_DURATION: Duration = Duration::from_secs(10);

/// The outcome of applying a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantOutcome {
    /// The grant is in force.
    Applied,
    /// Ignored: the grant is older than one already applied, or answers no open poll.
    Stale,
    /// Ignored: this node lacks the grant's base. The next poll says so.
    MissingBase,
}

/// The routes granted to one entry node by the data centres that it polls.
///
/// A route expires at the time when the poll was sent plus the granted validity, by the
/// node's own clock. A node that was frozen therefore finds its routes expired.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    node: NodeId,
    incarnation: Incarnation,
    centre_states: BTreeMap<CentreId, CentreState>,
    routes: BTreeMap<ReplicaId, HeldRoute>,
    by_model: BTreeMap<ModelName, BTreeSet<ReplicaId>>,
    leaving_until: BTreeMap<HostId, Time>,
    reports: HostReports,
}

#[derive(Clone, Debug, Default)]
struct CentreState {
    last_poll_number: u64,
    /// When the polls were sent whose answer is still accepted.
    open_polls: BTreeMap<u64, Time>,
    taken_grant: Option<GrantId>,
    heard_within: Duration,
}

#[derive(Clone, Debug)]
struct HeldRoute {
    centre: CentreId,
    route: Route,
    valid_until: Time,
    /// Until then, the route is valid while its hosts confirm it to this node.
    held_until: Time,
}

impl RouteTable {
    /// An empty table for an entry node.
    pub fn new(node: NodeId, incarnation: Incarnation) -> Self {
        Self {
            node,
            incarnation,
            ..Self::default()
        }
    }

    /// The next poll to a data centre's controller, to be sent now.
    pub fn next_poll(&mut self, centre: CentreId, now: Time) -> RoutePoll {
        self.reports.record_activity(now);
        self.reports.forget_silent_hosts(now);
        let state = self.centre_states.entry(centre).or_default();
        state.last_poll_number += 1;
        state.open_polls.insert(state.last_poll_number, now);
        while MAX_OPEN_POLLS < state.open_polls.len() {
            state.open_polls.pop_first();
        }
        RoutePoll {
            node: self.node,
            incarnation: self.incarnation,
            number: state.last_poll_number,
            taken: state.taken_grant,
        }
    }

    /// Applies a grant, the answer to a poll.
    pub fn apply_grant(&mut self, grant: &RouteGrant) -> GrantOutcome {
        let Some(state) = self.centre_states.get_mut(&grant.centre) else {
            return GrantOutcome::Stale;
        };
        let Some(sent) = state.open_polls.get(&grant.poll).copied() else {
            return GrantOutcome::Stale;
        };
        if state.taken_grant.is_some_and(|taken| grant.id <= taken) {
            return GrantOutcome::Stale;
        }
        if grant.base.is_some() && grant.base != state.taken_grant {
            return GrantOutcome::MissingBase;
        }
        state.taken_grant = Some(grant.id);
        state.heard_within = grant.heard_within;
        state.open_polls.retain(|number, _| grant.poll < *number);
        self.apply_changes(grant);
        self.extend_validity(grant, sent);
        GrantOutcome::Applied
    }

    /// Receives a host's report, directly or through other nodes. It keeps routes valid
    /// without a controller for as long as the grant allows.
    pub fn receive_report(&mut self, report: &HostReport, now: Time) {
        self.reports.receive(report, now);
    }

    /// Records that a host announced its leaving, here or to a node that passed it on.
    pub fn mark_leaving(&mut self, host: HostId, now: Time) {
        self.leaving_until.retain(|_, until| now < *until);
        self.leaving_until.insert(host, now + LEAVING_MARK_DURATION);
    }

    /// The routes to a model that are valid now.
    pub fn valid_routes(&self, model: &ModelName, now: Time) -> Vec<&Route> {
        let ids = self.by_model.get(model).into_iter().flatten();
        let held = ids.filter_map(|id| self.routes.get(id));
        let valid = held.filter(|held| self.is_valid(held, now));
        valid.map(|held| &held.route).collect()
    }

    /// True if a request may be sent to the replica now. Check this right before each send.
    pub fn allows_route(&self, replica: ReplicaId, fence: Fence, now: Time) -> bool {
        let held = self.routes.get(&replica);
        held.is_some_and(|held| held.route.fence == fence && self.is_valid(held, now))
    }

    /// The number of valid routes to each model with a granted route.
    pub fn valid_route_counts(&self, now: Time) -> BTreeMap<ModelName, usize> {
        let count = |model| self.valid_routes(model, now).len();
        let models = self.by_model.keys();
        models.map(|model| (model.clone(), count(model))).collect()
    }

    fn is_valid(&self, held: &HeldRoute, now: Time) -> bool {
        let is_leaving = |host| {
            self.leaving_until
                .get(host)
                .is_some_and(|until| now < *until)
        };
        let is_unexpired = now < held.valid_until || self.is_confirmed_here(held, now);
        is_unexpired && !held.route.hosts.iter().any(is_leaving)
    }

    /// True if a route is valid without a controller: its hosts confirm it to this node.
    fn is_confirmed_here(&self, held: &HeldRoute, now: Time) -> bool {
        let centre = self.centre_states.get(&held.centre);
        let within = centre.map_or(Duration::ZERO, |centre| centre.heard_within);
        now < held.held_until && self.reports.confirms_route(&held.route, within, now)
    }

    fn apply_changes(&mut self, grant: &RouteGrant) {
        if grant.base.is_none() {
            let is_other = |held: &HeldRoute| held.centre != grant.centre;
            self.routes.retain(|_, held| is_other(held));
        }
        for replica in &grant.removed {
            self.routes.remove(replica);
        }
        for route in &grant.added {
            let held = HeldRoute {
                centre: grant.centre,
                route: route.clone(),
                valid_until: Time::ZERO,
                held_until: Time::ZERO,
            };
            self.routes.insert(route.replica, held);
        }
        if grant.base.is_none() || !grant.added.is_empty() || !grant.removed.is_empty() {
            self.rebuild_index();
        }
    }

    fn rebuild_index(&mut self) {
        self.by_model.clear();
        for (id, held) in &self.routes {
            let model = held.route.model.clone();
            self.by_model.entry(model).or_default().insert(*id);
        }
    }

    fn extend_validity(&mut self, grant: &RouteGrant, sent: Time) {
        for held in self.routes.values_mut() {
            if held.centre == grant.centre {
                held.valid_until = sent + grant.valid_for;
                held.held_until = sent + grant.hold_for;
            }
        }
        for short in &grant.shorter {
            if let Some(held) = self.routes.get_mut(&short.replica) {
                held.valid_until = sent + short.valid_for;
            }
        }
    }
}
