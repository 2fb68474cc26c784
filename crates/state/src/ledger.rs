//! The ledger of orders: one record for each idempotency key in use.
//!
//! A key is claimed by one attempt of one entry node. Only that attempt can record the
//! outcome of its call, or withdraw before it sent anything. Any attempt can record the
//! answer that the service gives when asked for the outcome. A claim becomes unknown if
//! it has no outcome in time or [`Op::Gone`](crate::Op::Gone) ends its incarnation. An
//! unknown key never becomes free within its retention; a late answer makes it done.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::AttemptId;
use crate::Claim;
use crate::ClaimReply;
use crate::KeyStatus;
use crate::Limits;
use crate::LogTime;
use crate::Outcome;
use crate::RecordOutcome;
use crate::RecordQueriedAnswer;
use crate::RecordReply;
use crate::StoredAnswer;
use crate::Withdraw;
use crate::key_record::KeyRecord;
use crate::key_record::Phase;
use crate::record_index::RecordIndex;
use crate::records::Records;
use crate::session::Session;
use base::Incarnation;
use base::NodeId;
use base::OrderKey;
use base::OrgName;

/// How long a withdrawn key refuses calls that arrived before the withdrawal.
/// No entry node sends a call that it accepted longer ago.
pub const KEY_CLOSED_FOR: Duration = Duration::from_secs(60);

/// The most records whose phase ends, because its time is over, in one command.
const MAX_ENDED_PER_COMMAND: usize = 256;

/// The records of all keys, and the sessions of the entry nodes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Ledger {
    orgs: BTreeMap<OrgName, Org>,
    sessions: BTreeMap<NodeId, Session>,
    #[serde(skip)]
    index: RecordIndex,
}

/// The records of one organisation.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Org {
    records: Records,
    #[serde(skip)]
    bytes: u64,
}

impl Ledger {
    /// The status of a key.
    pub fn key_status(&self, org: &OrgName, key: &OrderKey) -> KeyStatus {
        let record = self.orgs.get(org).and_then(|org| org.records.get(key));
        record.map_or(KeyStatus::Free, KeyRecord::status)
    }

    /// The number of records.
    pub fn record_count(&self) -> u64 {
        self.index.records
    }

    /// The number of claims without an outcome.
    pub fn claim_count(&self) -> u64 {
        self.index.claimed.len() as u64
    }

    /// The size of all records in bytes, as the limits count it.
    pub fn size_bytes(&self) -> u64 {
        self.index.bytes
    }

    pub(crate) fn claim(&mut self, claim: &Claim, now: LogTime, limits: &Limits) -> ClaimReply {
        let session = self.sessions.entry(claim.attempt.node).or_default();
        let admitted = session.may_grant(claim.attempt, claim.floor);
        if let Some(record) = self.key_record(&claim.org, &claim.key)
            && let Some(reply) = reply_from_record(record, claim, admitted)
        {
            return reply;
        }
        if !admitted {
            return ClaimReply::Withdrawn;
        }
        self.remove(&claim.org, &claim.key);
        let service = self.index.shared_service_name(&claim.service);
        let record = KeyRecord::claimed(claim, service, now);
        let bytes = record.size_bytes(&claim.key);
        let org_bytes = self.orgs.get(&claim.org).map_or(0, |org| org.bytes);
        if limits.ledger_bytes < self.index.bytes + bytes || limits.org_bytes < org_bytes + bytes {
            return ClaimReply::Full;
        }
        self.insert(&claim.org, claim.key.clone(), record);
        ClaimReply::Granted
    }

    pub(crate) fn record_outcome(
        &mut self,
        command: &RecordOutcome,
        now: LogTime,
        limits: &Limits,
    ) -> RecordReply {
        let Some(record) = self.key_record(&command.org, &command.key) else {
            return RecordReply::Kept(KeyStatus::Free);
        };
        if record.attempt != command.attempt {
            return RecordReply::Kept(record.status());
        }
        match (&record.phase, &command.outcome) {
            (Phase::Done(_), Outcome::Done(_)) => return RecordReply::Done,
            (Phase::Unknown, Outcome::Unknown) => return RecordReply::Unknown,
            (Phase::Done(_), Outcome::Unknown) | (Phase::Closed { .. }, _) => {
                return RecordReply::Kept(record.status());
            }
            (Phase::Claimed, _) | (Phase::Unknown, Outcome::Done(_)) => {}
        }
        let (phase, reply) = match &command.outcome {
            Outcome::Done(answer) => {
                let answer = self.without_oversized_body(&command.org, answer, limits);
                (Phase::Done(answer), RecordReply::Done)
            }
            Outcome::Unknown => (Phase::Unknown, RecordReply::Unknown),
        };
        self.enter_phase(&command.org, &command.key, phase, now);
        reply
    }

    pub(crate) fn record_queried_answer(
        &mut self,
        queried: &RecordQueriedAnswer,
        now: LogTime,
        limits: &Limits,
    ) -> RecordReply {
        let Some(record) = self.key_record(&queried.org, &queried.key) else {
            return RecordReply::Kept(KeyStatus::Free);
        };
        match record.phase {
            Phase::Done(_) | Phase::Closed { .. } => return RecordReply::Kept(record.status()),
            Phase::Claimed | Phase::Unknown => {}
        }
        let answer = self.without_oversized_body(&queried.org, &queried.answer, limits);
        self.enter_phase(&queried.org, &queried.key, Phase::Done(answer), now);
        RecordReply::Done
    }

    pub(crate) fn withdraw(
        &mut self,
        withdraw: &Withdraw,
        index: u64,
        now: LogTime,
        limits: &Limits,
    ) -> KeyStatus {
        let Withdraw {
            org,
            key,
            attempt,
            floor,
        } = withdraw;
        let session = self.sessions.entry(attempt.node).or_default();
        session.withdraw(*attempt, *floor);
        let Some(record) = self.key_record(org, key) else {
            // Without a closed record, an earlier call could still be granted. The ledger
            // may exceed its limit by a quarter for such records.
            if limits.ledger_bytes + limits.ledger_bytes / 4 < self.index.bytes {
                return KeyStatus::Unknown { since: now };
            }
            self.insert(org, key.clone(), KeyRecord::closed(*attempt, index, now));
            return KeyStatus::Free;
        };
        match record.phase {
            Phase::Claimed if record.attempt == *attempt => {}
            Phase::Closed { .. } => {}
            Phase::Claimed | Phase::Done(_) | Phase::Unknown => return record.status(),
        }
        self.remove(org, key);
        self.insert(org, key.clone(), KeyRecord::closed(*attempt, index, now));
        KeyStatus::Free
    }

    pub(crate) fn end_incarnations(
        &mut self,
        node: NodeId,
        before: Incarnation,
        now: LogTime,
    ) -> u64 {
        self.sessions
            .entry(node)
            .or_default()
            .end_incarnations_before(before);
        let first = AttemptId {
            node,
            ..AttemptId::default()
        };
        let end = AttemptId {
            incarnation: before,
            ..first
        };
        let lost = self.index.claimed.range(first..end.max(first));
        let lost: Vec<_> = lost.map(|(_, org_key)| org_key.clone()).collect();
        for (org, key) in &lost {
            self.enter_phase(org, key, Phase::Unknown, now);
        }
        lost.len() as u64
    }

    /// Ends the phases whose time is over, the oldest first.
    pub(crate) fn end_due(&mut self, now: LogTime) {
        for _ in 0..MAX_ENDED_PER_COMMAND {
            let Some((due, org, key)) = self.index.due.first().cloned() else {
                return;
            };
            if now < due {
                return;
            }
            let claimed = self
                .key_record(&org, &key)
                .is_some_and(|record| record.phase == Phase::Claimed);
            if claimed {
                self.enter_phase(&org, &key, Phase::Unknown, now);
            } else {
                self.remove(&org, &key);
            }
        }
    }

    /// A copy of what is part of a snapshot. It shares the records.
    pub(crate) fn copy_for_snapshot(&self) -> Self {
        let share = |(name, org): (&OrgName, &Org)| {
            let records = org.records.clone();
            (name.clone(), Org { records, bytes: 0 })
        };
        Self {
            orgs: self.orgs.iter().map(share).collect(),
            sessions: self.sessions.clone(),
            index: RecordIndex::default(),
        }
    }

    /// Whether every record is in the part where this release looks for it.
    pub(crate) fn has_valid_parts(&self) -> bool {
        self.orgs.values().all(|org| org.records.has_valid_parts())
    }

    /// Rebuilds what is not part of a snapshot.
    pub(crate) fn rebuild(&mut self) {
        self.index = RecordIndex::default();
        for (name, org) in &mut self.orgs {
            org.bytes = 0;
            for (key, record) in org.records.iter_mut() {
                record.service = record
                    .service
                    .take()
                    .map(|s| self.index.shared_service_name(&s));
                org.bytes += self.index.add(name, key, record);
            }
        }
    }

    fn key_record(&self, org: &OrgName, key: &OrderKey) -> Option<&KeyRecord> {
        self.orgs.get(org)?.records.get(key)
    }

    /// The answer, without its body if the body does not fit into the limits.
    fn without_oversized_body(
        &self,
        org: &OrgName,
        answer: &Arc<StoredAnswer>,
        limits: &Limits,
    ) -> Arc<StoredAnswer> {
        let bytes = answer.size_bytes() as u64;
        let org_bytes = self.orgs.get(org).map_or(0, |org| org.bytes);
        let fits = bytes <= limits.answer_bytes
            && self.index.bytes + bytes <= limits.ledger_bytes
            && org_bytes + bytes <= limits.org_bytes;
        if fits {
            answer.clone()
        } else {
            Arc::new(answer.without_body())
        }
    }

    /// Moves a record to another phase, which lasts for the key's retention from now.
    fn enter_phase(&mut self, org: &OrgName, key: &OrderKey, phase: Phase, now: LogTime) {
        let Some(mut record) = self.remove(org, key) else {
            return;
        };
        record.phase = phase;
        record.since = now;
        record.due = now + record.retention;
        self.insert(org, key.clone(), record);
    }

    fn insert(&mut self, name: &OrgName, key: OrderKey, record: KeyRecord) {
        // The indexes share the name of the organisation with the map, to save memory.
        let name = match self.orgs.get_key_value(name) {
            Some((name, _)) => name.clone(),
            None => name.clone(),
        };
        let org = self.orgs.entry(name.clone()).or_default();
        org.bytes += self.index.add(&name, &key, &record);
        org.records.insert(key, record);
    }

    fn remove(&mut self, name: &OrgName, key: &OrderKey) -> Option<KeyRecord> {
        let org = self.orgs.get_mut(name)?;
        let record = org.records.remove(key)?;
        org.bytes -= self.index.remove(name, key, &record);
        if org.records.is_empty() {
            self.orgs.remove(name);
        }
        Some(record)
    }
}

/// The reply to a claim of a key that has a record, if the record decides it.
fn reply_from_record(record: &KeyRecord, claim: &Claim, admitted: bool) -> Option<ClaimReply> {
    let since = record.since;
    if let Phase::Closed { at } = record.phase {
        let arrived_before = claim.seen < at;
        return arrived_before.then_some(ClaimReply::Closed { at });
    }
    if record.body != claim.body || record.service.as_ref() != Some(&claim.service) {
        return Some(ClaimReply::OtherBody);
    }
    Some(match &record.phase {
        Phase::Done(answer) => ClaimReply::Done(answer.clone()),
        Phase::Unknown => ClaimReply::Unknown { since },
        Phase::Claimed if record.attempt == claim.attempt && admitted => ClaimReply::Granted,
        Phase::Claimed | Phase::Closed { .. } => ClaimReply::Running { since },
    })
}
