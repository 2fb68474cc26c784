//! Who may hold which route.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::GrantId;
use crate::RoutePoll;
use base::Incarnation;
use base::NodeId;
use base::ReplicaId;
use base::Time;

/// The routes of one grant.
#[derive(Clone, Debug)]
struct Granted {
    id: GrantId,
    at: Time,
    routes: Arc<BTreeSet<ReplicaId>>,
}

/// What one life of an entry node may hold.
#[derive(Clone, Debug, Default)]
struct Holder {
    last_poll: u64,
    taken: Option<Granted>,
    open: Vec<Granted>,
}

/// The grants that entry nodes may still hold.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ledger {
    holders: BTreeMap<(NodeId, Incarnation), Holder>,
    last_granted: BTreeMap<ReplicaId, Time>,
    newest: Arc<BTreeSet<ReplicaId>>,
}

impl Ledger {
    /// Takes a poll's acknowledgement. False if a later poll was already taken.
    pub fn acknowledge(&mut self, poll: &RoutePoll) -> bool {
        let holder = self.holders.entry((poll.node, poll.incarnation));
        let holder = holder.or_default();
        if poll.number <= holder.last_poll {
            return false;
        }
        holder.last_poll = poll.number;
        let mut known = holder.taken.iter().chain(&holder.open);
        let taken = known.find(|grant| Some(grant.id) == poll.taken);
        holder.taken = taken.cloned();
        if let Some(taken) = poll.taken {
            holder.open.retain(|grant| taken < grant.id);
        }
        true
    }

    /// The grant that the next one may build on, with its routes.
    pub fn base(&self, poll: &RoutePoll) -> Option<(GrantId, Arc<BTreeSet<ReplicaId>>)> {
        let holder = self.holders.get(&(poll.node, poll.incarnation))?;
        let taken = holder.taken.as_ref()?;
        Some((taken.id, taken.routes.clone()))
    }

    /// Writes down a grant before it is sent.
    pub fn grant(
        &mut self,
        poll: &RoutePoll,
        id: GrantId,
        routes: BTreeSet<ReplicaId>,
        now: Time,
    ) -> Arc<BTreeSet<ReplicaId>> {
        for replica in &routes {
            self.last_granted.insert(*replica, now);
        }
        if *self.newest != routes {
            self.newest = Arc::new(routes);
        }
        let routes = self.newest.clone();
        let holder = self.holders.entry((poll.node, poll.incarnation));
        holder.or_default().open.push(Granted {
            id,
            at: now,
            routes: routes.clone(),
        });
        routes
    }

    /// True if an entry node may still route to the replica.
    pub fn may_route(&self, replica: ReplicaId, wait: Duration, now: Time) -> bool {
        let Some(last) = self.last_granted.get(&replica) else {
            return false;
        };
        now <= *last + wait && self.holders.values().any(|holder| holder.holds(replica))
    }

    /// Forgets what has ended by time.
    pub fn expire(&mut self, wait: Duration, now: Time) {
        self.last_granted.retain(|_, last| now <= *last + wait);
        for holder in self.holders.values_mut() {
            holder.open.retain(|grant| now <= grant.at + wait);
            holder.taken.take_if(|grant| grant.at + wait < now);
        }
        let is_live = |holder: &Holder| holder.taken.is_some() || !holder.open.is_empty();
        self.holders.retain(|_, holder| is_live(holder));
    }
}

impl Holder {
    fn holds(&self, replica: ReplicaId) -> bool {
        let mut grants = self.taken.iter().chain(&self.open);
        grants.any(|grant| grant.routes.contains(&replica))
    }
}
