//! Records of the replicas that may be open, which outlive the controller.
//!
//! A replica is recorded before its head host is ordered to open it, and the record is removed
//! once the replica has ended. A controller that begins takes over all recorded replicas, also
//! those whose hosts it has not heard: silence doesn't show that a replica has ended.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::Controller;
use crate::host::Host;
use crate::replica::Phase;
use crate::replica::Replica;
use base::Fence;
use base::Incarnation;
use base::Time;
use base::UpstreamId;
use fleet::Announcement;
use fleet::EngineReport;
use fleet::Place;
use fleet::PlaceState;
use fleet::RecordChanges;
use fleet::RecordedHost;
use fleet::RecordedPhase;
use fleet::ReplicaRecord;

/// What the controller knows of the recorded replicas.
#[derive(Clone, Debug, Default)]
pub(crate) struct Records {
    /// The committed records.
    committed: BTreeMap<Fence, ReplicaRecord>,
    /// Replicas that this process proposed to record. Their records may be committed or not.
    proposed: BTreeSet<Fence>,
}

impl Controller {
    /// The changes of the records that are to be committed now. Those whose fate is unknown are
    /// repeated.
    pub fn take_record_changes(&mut self) -> RecordChanges {
        let changed = self.replicas.values();
        let recorded: Vec<ReplicaRecord> = changed.filter_map(|r| self.changed_record(r)).collect();
        let committed = self.records.committed.keys();
        let maybe_recorded: BTreeSet<&Fence> = committed.chain(&self.records.proposed).collect();
        let has_ended = |epoch: &&Fence| {
            let replica = self.replicas.get(epoch);
            replica.is_none_or(|replica| replica.phase == Phase::Ended)
        };
        let ended = maybe_recorded.into_iter().filter(has_ended);
        let ended = ended.copied().collect();
        let proposed = recorded.iter().map(|record| record.epoch);
        self.records.proposed.extend(proposed);
        RecordChanges { recorded, ended }
    }

    /// Records that changes that this process proposed are committed.
    pub fn confirm_record_changes(&mut self, changes: &RecordChanges) {
        for record in &changes.recorded {
            self.records.committed.insert(record.epoch, record.clone());
        }
        for epoch in &changes.ended {
            self.records.committed.remove(epoch);
            self.records.proposed.remove(epoch);
        }
    }

    /// Whether a later controller is certain to know of a replica.
    pub(crate) fn is_recorded(&self, epoch: Fence) -> bool {
        self.records.committed.contains_key(&epoch)
    }

    /// Takes over the recorded replicas at the start of a term.
    pub(crate) fn take_over(&mut self, records: Vec<ReplicaRecord>, now: Time) {
        self.records.committed = records.iter().map(|r| (r.epoch, r.clone())).collect();
        for record in records {
            self.observe_epoch(record.epoch);
            if record.phase != RecordedPhase::GivenUp {
                self.expect_hosts(&record, now);
            }
            let replica = replica_of(record, now);
            self.replicas.insert(replica.epoch, replica);
        }
    }

    fn expect_hosts(&mut self, record: &ReplicaRecord, now: Time) {
        for (rank, host) in (0..).zip(&record.hosts) {
            self.expect_host(record, host, rank, now);
        }
    }

    /// Expects a recorded host in its replica, until the host itself says otherwise. What was
    /// heard of it before its join no longer counts, nor that it was lost in an earlier term.
    fn expect_host(&mut self, record: &ReplicaRecord, host: &RecordedHost, rank: u32, now: Time) {
        let expected = expected_announcement(record, host, rank);
        match self.hosts.get_mut(&host.id) {
            Some(known) if host.incarnation < known.announcement.incarnation => {}
            Some(known) if host.incarnation == known.announcement.incarnation => {
                known.lost_since = None;
                let is_outdated = known.place().is_none_or(|p| p.epoch < record.epoch);
                if let Some(engine) = known.announcement.engine.as_mut().filter(|_| is_outdated) {
                    engine.place = expected.place().cloned();
                }
            }
            Some(_) | None => {
                let expected = Host::expected(expected, now);
                self.hosts.insert(host.id.clone(), expected);
            }
        }
    }

    /// The announcement with the recorded place of its host, if it was heard before the term
    /// began and reports an earlier place. Control hosts report late what they could not send.
    pub(crate) fn correct_outdated(
        &self,
        announcement: &Announcement,
        heard_at: Time,
    ) -> Option<Announcement> {
        if self.term.is_none() || self.term_began_at <= heard_at {
            return None;
        }
        let (record, rank) = self.latest_record(&announcement.id, announcement.incarnation)?;
        let announced = announcement.place().map(|place| place.epoch);
        let is_outdated = announced.is_none_or(|epoch| epoch < record.epoch);
        let mut corrected = announcement.clone();
        corrected.engine.as_mut()?.place = Some(recorded_place(record, rank));
        is_outdated.then_some(corrected)
    }

    /// The record of the replica that a host joined last, and the host's rank.
    fn latest_record(
        &self,
        id: &UpstreamId,
        incarnation: Incarnation,
    ) -> Option<(&ReplicaRecord, u32)> {
        let mut latest_first = self.records.committed.values().rev();
        latest_first.find_map(|record| {
            let mut ranks = (0..).zip(&record.hosts);
            let is_host = |host: &RecordedHost| host.id == *id && host.incarnation == incarnation;
            let (rank, _) = ranks.find(|(_, host)| is_host(host))?;
            (record.phase != RecordedPhase::GivenUp).then_some((record, rank))
        })
    }

    /// The record of a replica, if it isn't committed as it should be.
    fn changed_record(&self, replica: &Replica) -> Option<ReplicaRecord> {
        let committed = self.records.committed.get(&replica.epoch);
        let phase = match replica.phase {
            Phase::Joining | Phase::Ended => return None,
            Phase::Opening | Phase::Serving | Phase::Draining(_) => RecordedPhase::Serving,
            Phase::Closing(_) => RecordedPhase::Closing,
            Phase::GivenUp => RecordedPhase::GivenUp,
        };
        match committed {
            Some(record) if record.phase == phase => None,
            Some(record) => Some(ReplicaRecord {
                phase,
                ..record.clone()
            }),
            None => self
                .record_of(replica, phase)
                .filter(|_| self.may_open(replica)),
        }
    }

    /// Whether a replica without a committed record may be open, now or later.
    fn may_open(&self, replica: &Replica) -> bool {
        let is_proposed = self.records.proposed.contains(&replica.epoch);
        let head = replica.head.as_ref().and_then(|(id, _)| self.hosts.get(id));
        let place = head.and_then(Host::place);
        let is_reported_open =
            place.is_some_and(|place| place.epoch == replica.epoch && place.state.may_serve());
        is_proposed || is_reported_open || replica.is_serving_or_forming()
    }

    fn record_of(&self, replica: &Replica, phase: RecordedPhase) -> Option<ReplicaRecord> {
        let head = &replica.head.as_ref()?.0;
        let head = &self.hosts.get(head)?.announcement;
        let recorded = |(id, incarnation): &(UpstreamId, Incarnation)| {
            Some(RecordedHost {
                id: id.clone(),
                incarnation: *incarnation,
                addr: self.hosts.get(id)?.announcement.addr,
            })
        };
        let hosts: Option<Vec<RecordedHost>> = replica.hosts().map(recorded).collect();
        Some(ReplicaRecord {
            replica: replica.name.clone(),
            epoch: replica.epoch,
            service: replica.service.clone(),
            model: replica.model.clone(),
            centre: head.centre.clone(),
            domain: head.engine.as_ref().and_then(|e| e.domain.clone()),
            phase,
            hosts: hosts?,
        })
    }
}

/// The replica of a record. One that is to serve counts as serving until a host says otherwise
/// or is lost.
fn replica_of(record: ReplicaRecord, now: Time) -> Replica {
    let mut hosts = record.hosts.into_iter();
    let member = |host: RecordedHost| (host.id, host.incarnation);
    Replica {
        name: record.replica,
        epoch: record.epoch,
        service: record.service,
        model: record.model,
        head: hosts.next().map(member),
        other_hosts: hosts.map(member).collect(),
        phase: match record.phase {
            RecordedPhase::Serving => Phase::Serving,
            RecordedPhase::Closing => Phase::Closing(now),
            RecordedPhase::GivenUp => Phase::GivenUp,
        },
        phase_since: now,
        left_hosts: BTreeSet::new(),
        incomplete_since: None,
        do_hosts_wait_for_head: false,
        last_order_at: Time::ZERO,
    }
}

/// What a recorded host would announce if the replica serves.
fn expected_announcement(record: &ReplicaRecord, host: &RecordedHost, rank: u32) -> Announcement {
    Announcement {
        id: host.id.clone(),
        incarnation: host.incarnation,
        sequence: 0,
        service: record.service.clone(),
        addr: host.addr,
        centre: record.centre.clone(),
        slots: 0,
        leaving: false,
        cold_left: Duration::ZERO,
        engine: Some(EngineReport {
            domain: record.domain.clone(),
            staged: Vec::new(),
            place: Some(recorded_place(record, rank)),
        }),
    }
}

/// The place of a recorded host while its replica serves.
fn recorded_place(record: &ReplicaRecord, rank: u32) -> Place {
    Place {
        replica: record.replica.clone(),
        epoch: record.epoch,
        rank,
        state: match rank {
            0 => PlaceState::Open,
            _ => PlaceState::Ready,
        },
    }
}
