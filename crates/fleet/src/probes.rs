//! Which hosts are being probed, and which did not answer and are lost.

use std::collections::BTreeSet;

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

/// The probes of hosts.
#[derive(Clone, Debug, Default)]
pub struct Probes {
    /// Hosts that are being probed, and hosts that were lost.
    being_probed: BTreeSet<UpstreamId>,
}

impl Probes {
    /// Begins a probe. Returns whether the host is to be probed.
    pub fn begin(&mut self, id: &UpstreamId, _incarnation: Incarnation, _now: Time) -> bool {
        self.being_probed.insert(id.clone())
    }

    /// Ends the probe of a host.
    pub fn end(&mut self, id: &UpstreamId, _incarnation: Incarnation, outcome: ProbeOutcome) {
        match outcome {
            ProbeOutcome::Alive => {
                self.being_probed.remove(id);
            }
            ProbeOutcome::Lost => {}
        }
    }

    /// Records that a host was heard at `heard_at`. Returns whether it stays lost all the same.
    pub fn record_heard(
        &mut self,
        _id: &UpstreamId,
        _incarnation: Incarnation,
        _heard_at: Time,
    ) -> bool {
        false
    }
}
