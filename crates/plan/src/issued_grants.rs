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
struct IssuedGrant {
    id: GrantId,
    issued_at: Time,
    routes: Arc<BTreeSet<ReplicaId>>,
}

/// What one life of an entry node may hold.
#[derive(Clone, Debug, Default)]
struct NodeGrants {
    last_poll_number: u64,
    acknowledged: Option<IssuedGrant>,
    unacknowledged: Vec<IssuedGrant>,
}

/// The grants that entry nodes may still hold.
#[derive(Clone, Debug, Default)]
pub(crate) struct IssuedGrants {
    by_node: BTreeMap<(NodeId, Incarnation), NodeGrants>,
    last_granted_at: BTreeMap<ReplicaId, Time>,
    newest_routes: Arc<BTreeSet<ReplicaId>>,
}

impl IssuedGrants {
    /// Takes a poll's acknowledgement. False if a later poll was already taken.
    pub fn record_poll(&mut self, poll: &RoutePoll) -> bool {
        let holder = self.by_node.entry((poll.node, poll.incarnation));
        let holder = holder.or_default();
        if poll.number <= holder.last_poll_number {
            return false;
        }
        holder.last_poll_number = poll.number;
        let mut known = holder.acknowledged.iter().chain(&holder.unacknowledged);
        let taken = known.find(|grant| Some(grant.id) == poll.taken);
        holder.acknowledged = taken.cloned();
        if let Some(taken) = poll.taken {
            holder.unacknowledged.retain(|grant| taken < grant.id);
        }
        true
    }

    /// The grant that the next one may build on, with its routes.
    pub fn acknowledged_grant(
        &self,
        poll: &RoutePoll,
    ) -> Option<(GrantId, Arc<BTreeSet<ReplicaId>>)> {
        let holder = self.by_node.get(&(poll.node, poll.incarnation))?;
        let taken = holder.acknowledged.as_ref()?;
        Some((taken.id, taken.routes.clone()))
    }

    /// Writes down a grant before it is sent.
    pub fn record_grant(
        &mut self,
        poll: &RoutePoll,
        id: GrantId,
        routes: BTreeSet<ReplicaId>,
        now: Time,
    ) -> Arc<BTreeSet<ReplicaId>> {
        for replica in &routes {
            self.last_granted_at.insert(*replica, now);
        }
        if *self.newest_routes != routes {
            self.newest_routes = Arc::new(routes);
        }
        let routes = self.newest_routes.clone();
        let holder = self.by_node.entry((poll.node, poll.incarnation));
        holder.or_default().unacknowledged.push(IssuedGrant {
            id,
            issued_at: now,
            routes: routes.clone(),
        });
        routes
    }

    /// True if an entry node may still route to the replica.
    pub fn may_route(&self, replica: ReplicaId, wait: Duration, now: Time) -> bool {
        let Some(last) = self.last_granted_at.get(&replica) else {
            return false;
        };
        now <= *last + wait
            && self
                .by_node
                .values()
                .any(|holder| holder.includes_route(replica))
    }

    /// Forgets what has ended by time.
    pub fn remove_expired(&mut self, wait: Duration, now: Time) {
        self.last_granted_at.retain(|_, last| now <= *last + wait);
        for holder in self.by_node.values_mut() {
            holder
                .unacknowledged
                .retain(|grant| now <= grant.issued_at + wait);
            holder
                .acknowledged
                .take_if(|grant| grant.issued_at + wait < now);
        }
        let is_live = |holder: &NodeGrants| {
            holder.acknowledged.is_some() || !holder.unacknowledged.is_empty()
        };
        self.by_node.retain(|_, holder| is_live(holder));
    }
}

impl NodeGrants {
    fn includes_route(&self, replica: ReplicaId) -> bool {
        let mut grants = self.acknowledged.iter().chain(&self.unacknowledged);
        grants.any(|grant| grant.routes.contains(&replica))
    }
}
