//! Adopts replicas that a controller of an earlier term formed, as their hosts report them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::Controller;
use crate::replica::Phase;
use crate::replica::Replica;
use base::Fence;
use base::ModelName;
use base::ReplicaName;
use base::Time;
use base::UpstreamId;
use fleet::PlaceState;

/// Separates the epoch from the model in a replica's name.
const MODEL_SEPARATOR: char = '.';

/// First letter of the names of one-host replicas that only keep their host warm.
const WARM_PREFIX: char = 'w';

/// What a replica was formed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// The replica is to serve requests.
    Serve,
    /// The replica is a single host that joins only to become warm. It never opens.
    KeepWarm,
}

/// The name of a replica. It encodes the purpose and the model, which hosts don't report.
pub(crate) fn replica_name(
    purpose: Purpose,
    epoch: Fence,
    model: &ModelName,
) -> Option<ReplicaName> {
    let prefix = match purpose {
        Purpose::Serve => 'r',
        Purpose::KeepWarm => WARM_PREFIX,
    };
    format!("{prefix}{}{MODEL_SEPARATOR}{model}", epoch.0)
        .parse()
        .ok()
}

/// Whether the name is that of a replica formed to serve.
pub(crate) fn is_for_serving(name: &ReplicaName) -> bool {
    !name.as_str().starts_with(WARM_PREFIX)
}

fn model_in_name(name: &ReplicaName) -> Option<ModelName> {
    name.as_str().split_once(MODEL_SEPARATOR)?.1.parse().ok()
}

impl Controller {
    /// Records each replica that hosts report and this controller doesn't know.
    pub(crate) fn adopt(&mut self, now: Time) {
        self.add_late_hosts();
        let mut unknown: BTreeMap<Fence, Vec<UpstreamId>> = BTreeMap::new();
        for (id, host) in &self.hosts {
            let place = host
                .place()
                .filter(|p| !self.replicas.contains_key(&p.epoch));
            if let Some(place) = place {
                unknown.entry(place.epoch).or_default().push(id.clone());
            }
        }
        for (epoch, hosts) in unknown {
            self.observe_epoch(epoch);
            if let Some(replica) = self.adopted_replica(epoch, hosts, now) {
                self.replicas.insert(epoch, replica);
            }
        }
    }

    /// Adds hosts that were first heard after their replica was adopted. A head host among
    /// them may still serve, so no host of the replica is free until the head has left.
    fn add_late_hosts(&mut self) {
        for (id, host) in &self.hosts {
            let Some(place) = host.place() else {
                continue;
            };
            let Some(replica) = self.replicas.get_mut(&place.epoch) else {
                continue;
            };
            let is_known = replica.hosts().any(|(known, _)| known == id);
            if is_known || !is_for_serving(&place.replica) {
                continue;
            }
            let member = (id.clone(), host.announcement.incarnation);
            match place.rank {
                0 if replica.head.is_none() => replica.head = Some(member),
                0 => {}
                _ => replica.other_hosts.push(member),
            }
        }
    }

    fn adopted_replica(
        &self,
        epoch: Fence,
        mut hosts: Vec<UpstreamId>,
        now: Time,
    ) -> Option<Replica> {
        let rank = |id: &UpstreamId| self.hosts.get(id)?.place().map(|place| place.rank);
        hosts.sort_by_key(|id| rank(id));
        let lowest_rank = self.hosts.get(hosts.first()?)?;
        let place = lowest_rank.place()?;
        let engine = self.engines.get(&lowest_rank.announcement.service)?;
        let member =
            |id: &UpstreamId| Some((id.clone(), self.hosts.get(id)?.announcement.incarnation));
        let model = model_in_name(&place.replica)?;
        let model = engine.model(&model)?;
        let is_complete = model.width == hosts.len()
            && hosts.iter().map(rank).eq((0..).map(Some).take(hosts.len()));
        let head = hosts.first().filter(|id| rank(id) == Some(0));
        let head = head.and_then(member);
        let others = hosts.iter().skip(usize::from(head.is_some()));
        let keeps_warm = !is_for_serving(&place.replica);
        let phase = match (is_complete, place.state) {
            _ if keeps_warm => Phase::Ended,
            (true, PlaceState::Open) => Phase::Serving,
            // Delayed orders of an earlier leader may still reach a replica that doesn't serve
            // yet, and its hosts may still get orders from before its join. Leaving it and
            // joining again under a higher epoch makes both void.
            _ => Phase::Closing(now),
        };
        Some(Replica {
            name: place.replica.clone(),
            epoch,
            service: lowest_rank.announcement.service.clone(),
            model: model.model.clone(),
            other_hosts: others.filter_map(member).collect(),
            head,
            phase,
            phase_since: now,
            left_hosts: BTreeSet::new(),
            incomplete_since: None,
            do_hosts_wait_for_head: false,
            last_order_at: Time::ZERO,
        })
    }
}
