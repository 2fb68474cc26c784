//! Which hosts are being probed, and which did not answer and are lost.

use std::collections::BTreeMap;

use crate::roster::FORGET_AFTER;
use base::Incarnation;
use base::Time;
use base::UpstreamId;

/// The outcome of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The host runs.
    Alive,
    /// The host is lost.
    Lost,
}

/// The probe that found a host lost.
#[derive(Clone, Copy, Debug)]
struct Loss {
    incarnation: Incarnation,
    probe_begun_at: Time,
}

/// The probes of hosts.
#[derive(Clone, Debug, Default)]
pub struct Probes {
    /// When the probe of each host that is being probed began.
    being_probed: BTreeMap<UpstreamId, Time>,
    /// Hosts that were not heard since they were lost.
    lost: BTreeMap<UpstreamId, Loss>,
}

impl Probes {
    /// Begins a probe. Returns whether the host is to be probed.
    pub fn begin(&mut self, id: &UpstreamId, incarnation: Incarnation, now: Time) -> bool {
        let is_lost = |loss: &Loss| incarnation <= loss.incarnation;
        if self.lost.get(id).is_some_and(is_lost) || self.being_probed.contains_key(id) {
            return false;
        }
        self.being_probed.insert(id.clone(), now);
        true
    }

    /// Ends the probe of a host.
    pub fn end(&mut self, id: &UpstreamId, incarnation: Incarnation, outcome: ProbeOutcome) {
        let begun_at = self.being_probed.remove(id);
        match (outcome, begun_at) {
            (ProbeOutcome::Lost, Some(probe_begun_at)) => {
                let loss = Loss {
                    incarnation,
                    probe_begun_at,
                };
                self.lost.insert(id.clone(), loss);
            }
            (ProbeOutcome::Lost, None) | (ProbeOutcome::Alive, _) => {}
        }
    }

    /// Records that a host was heard at `heard_at`. Returns whether it stays lost all the same.
    pub fn record_heard(
        &mut self,
        id: &UpstreamId,
        incarnation: Incarnation,
        heard_at: Time,
    ) -> bool {
        let was_lost_after =
            |loss: &Loss| incarnation <= loss.incarnation && heard_at <= loss.probe_begun_at;
        let stays_lost = self.lost.get(id).is_some_and(was_lost_after);
        if !stays_lost {
            self.lost.remove(id);
        }
        stays_lost
    }

    /// Forgets which hosts were lost: a new term of the leader learns it again.
    pub fn forget_losses(&mut self) {
        self.lost.clear();
    }

    /// Forgets the hosts that were lost long ago.
    pub fn remove_silent(&mut self, now: Time) {
        self.lost
            .retain(|_, loss| now.since(loss.probe_begun_at) < FORGET_AFTER);
    }
}
