//! The grants that entry nodes may still hold.

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

#[derive(Clone, Debug)]
struct IssuedGrant {
    id: GrantId,
    issued_at: Time,
    routes: Arc<BTreeSet<ReplicaId>>,
}

/// The grants that one incarnation of an entry node may hold.
#[derive(Clone, Debug, Default)]
struct NodeGrants {
    last_poll_number: u64,
    acknowledged: Option<IssuedGrant>,
    /// Later grants, any of which the node may have applied.
    unacknowledged: Vec<IssuedGrant>,
}

/// The grants that entry nodes may still hold.
#[derive(Clone, Debug, Default)]
pub(crate) struct IssuedGrants {
    by_node: BTreeMap<(NodeId, Incarnation), NodeGrants>,
    last_granted_at: BTreeMap<ReplicaId, Time>,
    /// The routes of the newest grant. Grants share them while they are unchanged.
    newest_routes: Arc<BTreeSet<ReplicaId>>,
}

impl IssuedGrants {
    /// Records a poll's acknowledgement. False if a later poll was already recorded.
    pub fn record_poll(&mut self, poll: &RoutePoll) -> bool {
        let node = self.by_node.entry((poll.node, poll.incarnation));
        let node = node.or_default();
        if poll.number <= node.last_poll_number {
            return false;
        }
        node.last_poll_number = poll.number;
        let mut grants = node.acknowledged.iter().chain(&node.unacknowledged);
        let acknowledged = grants.find(|grant| Some(grant.id) == poll.taken);
        node.acknowledged = acknowledged.cloned();
        if let Some(acknowledged) = poll.taken {
            node.unacknowledged.retain(|grant| acknowledged < grant.id);
        }
        true
    }

    /// The grant that the next one may build on, with its routes.
    pub fn acknowledged_grant(
        &self,
        poll: &RoutePoll,
    ) -> Option<(GrantId, Arc<BTreeSet<ReplicaId>>)> {
        let node = self.by_node.get(&(poll.node, poll.incarnation))?;
        let grant = node.acknowledged.as_ref()?;
        Some((grant.id, grant.routes.clone()))
    }

    /// Records a grant before it is sent. Returns its routes, shared.
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
        let node = self.by_node.entry((poll.node, poll.incarnation));
        node.or_default().unacknowledged.push(IssuedGrant {
            id,
            issued_at: now,
            routes: routes.clone(),
        });
        routes
    }

    /// True if an entry node may still route to the replica.
    pub fn may_route(&self, replica: ReplicaId, lifetime: Duration, now: Time) -> bool {
        let Some(granted_at) = self.last_granted_at.get(&replica) else {
            return false;
        };
        now <= *granted_at + lifetime
            && self
                .by_node
                .values()
                .any(|node| node.includes_route(replica))
    }

    /// Removes grants whose routes have all expired.
    pub fn remove_expired(&mut self, lifetime: Duration, now: Time) {
        self.last_granted_at
            .retain(|_, last| now <= *last + lifetime);
        for node in self.by_node.values_mut() {
            node.unacknowledged
                .retain(|grant| now <= grant.issued_at + lifetime);
            node.acknowledged
                .take_if(|grant| grant.issued_at + lifetime < now);
        }
        let is_live =
            |node: &NodeGrants| node.acknowledged.is_some() || !node.unacknowledged.is_empty();
        self.by_node.retain(|_, node| is_live(node));
    }
}

impl NodeGrants {
    fn includes_route(&self, replica: ReplicaId) -> bool {
        let mut grants = self.acknowledged.iter().chain(&self.unacknowledged);
        grants.any(|grant| grant.routes.contains(&replica))
    }
}
