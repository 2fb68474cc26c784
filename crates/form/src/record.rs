//! Records of the replicas that may be open, which outlive the controller.
//!
//! A replica is recorded before its head host is ordered to open it, and the record is removed
//! once the replica has ended. A controller that begins takes over all recorded replicas, also
//! those whose hosts it has not heard: silence doesn't show that a replica has ended.

use std::collections::BTreeSet;

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
use fleet::ReplicaRecord;

/// What the controller knows of the recorded replicas.
#[derive(Clone, Debug, Default)]
pub(crate) struct Records {
    /// Replicas whose record is committed.
    committed: BTreeSet<Fence>,
    /// Replicas whose record was proposed in this term, and may be committed or not.
    proposed: BTreeSet<Fence>,
}

impl Controller {
    /// The changes of the records that are to be committed now. Those whose fate is unknown are
    /// repeated.
    pub fn take_record_changes(&mut self) -> RecordChanges {
        let may_open = |replica: &&Replica| {
            let is_recorded = self.records.committed.contains(&replica.epoch);
            !is_recorded && (replica.phase == Phase::Opening || replica.runs_requests())
        };
        let to_open = self.replicas.values().filter(may_open);
        let opened: Vec<ReplicaRecord> = to_open.filter_map(|r| self.record_of(r)).collect();
        let recorded = self.records.committed.union(&self.records.proposed);
        let has_ended = |epoch: &&Fence| {
            let replica = self.replicas.get(epoch);
            replica.is_none_or(|replica| !replica.holds_hosts())
        };
        let ended = recorded.filter(has_ended).copied().collect();
        let proposed = opened.iter().map(|record| record.epoch);
        self.records.proposed.extend(proposed);
        RecordChanges { opened, ended }
    }

    /// Records that changes of this term are committed.
    pub fn confirm_record_changes(&mut self, changes: &RecordChanges) {
        let opened = changes.opened.iter().map(|record| record.epoch);
        self.records.committed.extend(opened);
        for epoch in &changes.ended {
            self.records.committed.remove(epoch);
            self.records.proposed.remove(epoch);
        }
    }

    /// Whether a later controller is certain to know of a replica.
    pub(crate) fn is_recorded(&self, epoch: Fence) -> bool {
        self.records.committed.contains(&epoch)
    }

    /// Takes over the recorded replicas at the start of a term.
    pub(crate) fn take_over(&mut self, records: Vec<ReplicaRecord>, now: Time) {
        self.records = Records::default();
        for record in records {
            self.observe_epoch(record.epoch);
            self.records.committed.insert(record.epoch);
            for (rank, host) in (0..).zip(&record.hosts) {
                self.expect_host(&record, host, rank, now);
            }
            let replica = replica_of(record, now);
            self.replicas.insert(replica.epoch, replica);
        }
    }

    /// Adds a recorded host that this controller has not heard in the recorded incarnation. Its
    /// silence counts from now on.
    fn expect_host(&mut self, record: &ReplicaRecord, host: &RecordedHost, rank: u32, now: Time) {
        let known = self.hosts.get(&host.id);
        if known.is_some_and(|known| host.incarnation <= known.announcement.incarnation) {
            return;
        }
        let expected = expected_announcement(record, host, rank);
        let expected = Host::expected(expected, now);
        self.hosts.insert(host.id.clone(), expected);
    }

    fn record_of(&self, replica: &Replica) -> Option<ReplicaRecord> {
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
            hosts: hosts?,
        })
    }
}

/// The replica of a record. It counts as serving until a host says otherwise or is lost.
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
        phase: Phase::Serving,
        entered_phase_at: now,
        phase_since: now,
        head_unreached_at: None,
        last_order_at: Time::ZERO,
    }
}

/// What a recorded host would announce if the replica serves.
fn expected_announcement(record: &ReplicaRecord, host: &RecordedHost, rank: u32) -> Announcement {
    let place = Place {
        replica: record.replica.clone(),
        epoch: record.epoch,
        rank,
        state: match rank {
            0 => PlaceState::Open,
            _ => PlaceState::Ready,
        },
    };
    Announcement {
        id: host.id.clone(),
        incarnation: host.incarnation,
        sequence: 0,
        service: record.service.clone(),
        addr: host.addr,
        centre: record.centre.clone(),
        slots: 0,
        leaving: false,
        cold_left: std::time::Duration::ZERO,
        engine: Some(EngineReport {
            domain: record.domain.clone(),
            staged: Vec::new(),
            place: Some(place),
        }),
    }
}
