//! The ledger of orders.
//!
//! A key is claimed by one attempt of one entry node. Only that attempt can end
//! the claim: by an outcome, or by withdrawing before it sent anything. A claim
//! that nobody ends becomes unknown, and unknown never becomes free within the
//! retention window. An answer that arrives late turns unknown into done.

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
use crate::entry::Entry;
use crate::entry::Phase;
use crate::index::Index;
use crate::records::Records;
use crate::session::Session;
use base::Incarnation;
use base::NodeId;
use base::OrderKey;
use base::OrgName;

/// How long a withdrawn key refuses calls that came in before the withdrawal.
/// No entry node sends a call that it took in longer ago.
pub const KEY_CLOSED_FOR: Duration = Duration::from_secs(60);

/// Records whose time is up that one command ends.
const ENDED_AT_ONCE: usize = 256;

/// All records and the sessions of the entry nodes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Ledger {
    orgs: BTreeMap<OrgName, Org>,
    sessions: BTreeMap<NodeId, Session>,
    #[serde(skip)]
    index: Index,
}

/// One organisation's records.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Org {
    records: Records,
    #[serde(skip)]
    bytes: u64,
}

impl Ledger {
    /// What is known of a key.
    pub fn key_status(&self, org: &OrgName, key: &OrderKey) -> KeyStatus {
        let entry = self.orgs.get(org).and_then(|org| org.records.get(key));
        entry.map_or(KeyStatus::Free, Entry::standing)
    }

    /// Records held.
    pub fn record_count(&self) -> u64 {
        self.index.records
    }

    /// Claims that have no outcome yet.
    pub fn claim_count(&self) -> u64 {
        self.index.claimed.len() as u64
    }

    /// Bytes that the records take up, as the limits count them.
    pub fn size_bytes(&self) -> u64 {
        self.index.bytes
    }

    pub(crate) fn claim(&mut self, claim: &Claim, now: LogTime, limits: &Limits) -> ClaimReply {
        let session = self.sessions.entry(claim.attempt.node).or_default();
        let admitted = session.admits(claim.attempt, claim.floor);
        if let Some(entry) = self.entry(&claim.org, &claim.key)
            && let Some(reply) = again(entry, claim, admitted)
        {
            return reply;
        }
        if !admitted {
            return ClaimReply::Withdrawn;
        }
        self.remove(&claim.org, &claim.key);
        let service = self.index.service(&claim.service);
        let entry = Entry::claimed(claim, service, now);
        let bytes = entry.bytes(&claim.key);
        let org_bytes = self.orgs.get(&claim.org).map_or(0, |org| org.bytes);
        if limits.ledger_bytes < self.index.bytes + bytes || limits.org_bytes < org_bytes + bytes {
            return ClaimReply::Full;
        }
        self.insert(&claim.org, claim.key.clone(), entry);
        ClaimReply::Granted
    }

    pub(crate) fn record(
        &mut self,
        record: &RecordOutcome,
        now: LogTime,
        limits: &Limits,
    ) -> RecordReply {
        let Some(entry) = self.entry(&record.org, &record.key) else {
            return RecordReply::Kept(KeyStatus::Free);
        };
        if entry.attempt != record.attempt {
            return RecordReply::Kept(entry.standing());
        }
        match (&entry.phase, &record.outcome) {
            (Phase::Done(_), Outcome::Done(_)) => return RecordReply::Done,
            (Phase::Unknown, Outcome::Unknown) => return RecordReply::Unknown,
            (Phase::Done(_), Outcome::Unknown) | (Phase::Closed { .. }, _) => {
                return RecordReply::Kept(entry.standing());
            }
            (Phase::Claimed, _) | (Phase::Unknown, Outcome::Done(_)) => {}
        }
        let (phase, reply) = match &record.outcome {
            Outcome::Done(answer) => {
                let answer = self.fitted(&record.org, answer, limits);
                (Phase::Done(answer), RecordReply::Done)
            }
            Outcome::Unknown => (Phase::Unknown, RecordReply::Unknown),
        };
        self.enter(&record.org, &record.key, phase, now);
        reply
    }

    pub(crate) fn learn(
        &mut self,
        learn: &RecordQueriedAnswer,
        now: LogTime,
        limits: &Limits,
    ) -> RecordReply {
        let Some(entry) = self.entry(&learn.org, &learn.key) else {
            return RecordReply::Kept(KeyStatus::Free);
        };
        match entry.phase {
            Phase::Done(_) | Phase::Closed { .. } => return RecordReply::Kept(entry.standing()),
            Phase::Claimed | Phase::Unknown => {}
        }
        let answer = self.fitted(&learn.org, &learn.answer, limits);
        self.enter(&learn.org, &learn.key, Phase::Done(answer), now);
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
        let Some(entry) = self.entry(org, key) else {
            // Without a mark, an earlier call could still be granted.
            if limits.ledger_bytes + limits.ledger_bytes / 4 < self.index.bytes {
                return KeyStatus::Unknown { since: now };
            }
            self.insert(org, key.clone(), Entry::closed(*attempt, index, now));
            return KeyStatus::Free;
        };
        match entry.phase {
            Phase::Claimed if entry.attempt == *attempt => {}
            Phase::Closed { .. } => {}
            Phase::Claimed | Phase::Done(_) | Phase::Unknown => return entry.standing(),
        }
        self.remove(org, key);
        self.insert(org, key.clone(), Entry::closed(*attempt, index, now));
        KeyStatus::Free
    }

    pub(crate) fn gone(&mut self, node: NodeId, before: Incarnation, now: LogTime) -> u64 {
        self.sessions.entry(node).or_default().begin(before);
        let first = AttemptId {
            node,
            ..AttemptId::default()
        };
        let end = AttemptId {
            incarnation: before,
            ..first
        };
        let lost = self.index.claimed.range(first..end.max(first));
        let lost: Vec<_> = lost.map(|(_, place)| place.clone()).collect();
        for (org, key) in &lost {
            self.enter(org, key, Phase::Unknown, now);
        }
        lost.len() as u64
    }

    /// Ends the phases whose time is up.
    pub(crate) fn end_due(&mut self, now: LogTime) {
        for _ in 0..ENDED_AT_ONCE {
            let Some((due, org, key)) = self.index.due.first().cloned() else {
                return;
            };
            if now < due {
                return;
            }
            let claimed = self
                .entry(&org, &key)
                .is_some_and(|entry| entry.phase == Phase::Claimed);
            if claimed {
                self.enter(&org, &key, Phase::Unknown, now);
            } else {
                self.remove(&org, &key);
            }
        }
    }

    /// A copy without what is not part of a snapshot.
    pub(crate) fn copy_for_snapshot(&self) -> Self {
        let share = |(name, org): (&OrgName, &Org)| {
            let records = org.records.clone();
            (name.clone(), Org { records, bytes: 0 })
        };
        Self {
            orgs: self.orgs.iter().map(share).collect(),
            sessions: self.sessions.clone(),
            index: Index::default(),
        }
    }

    /// Whether the records lie as this release puts them.
    pub(crate) fn is_sound(&self) -> bool {
        self.orgs.values().all(|org| org.records.is_sound())
    }

    /// Restores what is not part of a snapshot.
    pub(crate) fn rebuild(&mut self) {
        self.index = Index::default();
        for (name, org) in &mut self.orgs {
            org.bytes = 0;
            for (key, entry) in org.records.iter_mut() {
                entry.service = entry.service.take().map(|s| self.index.service(&s));
                org.bytes += self.index.add(name, key, entry);
            }
        }
    }

    fn entry(&self, org: &OrgName, key: &OrderKey) -> Option<&Entry> {
        self.orgs.get(org)?.records.get(key)
    }

    /// The answer, without its body if that does not fit.
    fn fitted(
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

    /// Moves a record to another phase, for its whole retention from now.
    fn enter(&mut self, org: &OrgName, key: &OrderKey, phase: Phase, now: LogTime) {
        let Some(mut entry) = self.remove(org, key) else {
            return;
        };
        entry.phase = phase;
        entry.since = now;
        entry.due = now + entry.retention;
        self.insert(org, key.clone(), entry);
    }

    fn insert(&mut self, name: &OrgName, key: OrderKey, entry: Entry) {
        // The indexes share the map's own copy of the organisation's name.
        let name = match self.orgs.get_key_value(name) {
            Some((name, _)) => name.clone(),
            None => name.clone(),
        };
        let org = self.orgs.entry(name.clone()).or_default();
        org.bytes += self.index.add(&name, &key, &entry);
        org.records.insert(key, entry);
    }

    fn remove(&mut self, name: &OrgName, key: &OrderKey) -> Option<Entry> {
        let org = self.orgs.get_mut(name)?;
        let entry = org.records.remove(key)?;
        org.bytes -= self.index.remove(name, key, &entry);
        if org.records.is_empty() {
            self.orgs.remove(name);
        }
        Some(entry)
    }
}

/// The answer to a claim for a key that has a record, if that decides it.
fn again(entry: &Entry, claim: &Claim, admitted: bool) -> Option<ClaimReply> {
    let since = entry.since;
    if let Phase::Closed { at } = entry.phase {
        let late = claim.seen < at;
        return late.then_some(ClaimReply::Closed { at });
    }
    if entry.body != claim.body || entry.service.as_ref() != Some(&claim.service) {
        return Some(ClaimReply::OtherBody);
    }
    Some(match &entry.phase {
        Phase::Done(answer) => ClaimReply::Done(answer.clone()),
        Phase::Unknown => ClaimReply::Unknown { since },
        Phase::Claimed if entry.attempt == claim.attempt && admitted => ClaimReply::Granted,
        Phase::Claimed | Phase::Closed { .. } => ClaimReply::Running { since },
    })
}
