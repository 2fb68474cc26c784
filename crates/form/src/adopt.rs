//! Takes over replicas that an earlier term formed, from what their hosts report.

use std::collections::BTreeMap;

use crate::Controller;
use crate::replica::Phase;
use crate::replica::Replica;
use base::Fence;
use base::ModelName;
use base::ReplicaName;
use base::Time;
use base::UpstreamId;
use fleet::PlaceState;

/// Stands between a replica's number and its model in its name.
const MODEL_MARK: char = '.';

/// Begins the names of replicas of one host that only keep it warm.
const WARM: char = 'w';

/// What a replica is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// It is to serve.
    Serve,
    /// It is one host that keeps warm, and never opens.
    KeepWarm,
}

/// The name of a replica. It tells its purpose and its model, which hosts don't report.
pub(crate) fn name_of(purpose: Purpose, epoch: Fence, model: &ModelName) -> Option<ReplicaName> {
    let mark = match purpose {
        Purpose::Serve => 'r',
        Purpose::KeepWarm => WARM,
    };
    format!("{mark}{}{MODEL_MARK}{model}", epoch.0).parse().ok()
}

/// Whether a replica is there to serve, by its name.
pub(crate) fn is_to_serve(name: &ReplicaName) -> bool {
    !name.as_str().starts_with(WARM)
}

fn model_in(name: &ReplicaName) -> Option<ModelName> {
    name.as_str().split_once(MODEL_MARK)?.1.parse().ok()
}

impl Controller {
    /// Makes a record of each replica that hosts report and that none is kept of.
    pub(crate) fn adopt(&mut self, now: Time) {
        self.complete();
        let mut found: BTreeMap<Fence, Vec<UpstreamId>> = BTreeMap::new();
        for (id, host) in &self.hosts {
            let place = host
                .place()
                .filter(|p| !self.replicas.contains_key(&p.epoch));
            if let Some(place) = place {
                found.entry(place.epoch).or_default().push(id.clone());
            }
        }
        for (epoch, hosts) in found {
            self.observe_epoch(epoch);
            if let Some(replica) = self.found(epoch, hosts, now) {
                self.replicas.insert(epoch, replica);
            }
        }
    }

    /// Adds hosts that were heard only after their replica was taken over. A first host among
    /// them may still serve, so nothing of it is free before that host has left.
    fn complete(&mut self) {
        for (id, host) in &self.hosts {
            let Some(place) = host.place() else {
                continue;
            };
            let Some(replica) = self.replicas.get_mut(&place.epoch) else {
                continue;
            };
            let is_known = replica.hosts().any(|(known, _)| known == id);
            if is_known || !is_to_serve(&place.replica) {
                continue;
            }
            let who = (id.clone(), host.said.incarnation);
            match place.rank {
                0 if replica.head.is_none() => replica.head = Some(who),
                0 => {}
                _ => replica.others.push(who),
            }
        }
    }

    fn found(&self, epoch: Fence, mut hosts: Vec<UpstreamId>, now: Time) -> Option<Replica> {
        let rank = |id: &UpstreamId| self.hosts.get(id)?.place().map(|place| place.rank);
        hosts.sort_by_key(|id| rank(id));
        let first = self.hosts.get(hosts.first()?)?;
        let place = first.place()?;
        let engine = self.engines.get(&first.said.service)?;
        let life = |id: &UpstreamId| Some((id.clone(), self.hosts.get(id)?.said.incarnation));
        let model = model_in(&place.replica)?;
        let model = engine.model(&model)?;
        let is_whole = model.width == hosts.len()
            && hosts.iter().map(rank).eq((0..).map(Some).take(hosts.len()));
        let head = hosts.first().filter(|id| rank(id) == Some(0));
        let head = head.and_then(life);
        let others = hosts.iter().skip(usize::from(head.is_some()));
        let keeps_warm = !is_to_serve(&place.replica);
        let phase = match (is_whole, place.state) {
            _ if keeps_warm => Phase::Ended,
            (true, PlaceState::Open) => Phase::Serving,
            // One that does not serve yet may still get an earlier leader's orders, and its
            // hosts such that came before it. Leaving it, and joining again under a higher
            // number, makes both void.
            _ => Phase::Closing(now),
        };
        Some(Replica {
            name: place.replica.clone(),
            epoch,
            service: first.said.service.clone(),
            model: model.model.clone(),
            others: others.filter_map(life).collect(),
            head,
            phase,
            since: now,
            ordered: Time::ZERO,
        })
    }
}
