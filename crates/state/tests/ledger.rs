//! The ledger compared with a reference ledger, under random commands and restarts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::env;
use std::sync::Arc;
use std::time::Duration;

use base::Digest;
use base::Incarnation;
use base::NodeId;
use base::OrderKey;
use base::OrgName;
use state::AttemptId;
use state::Claim;
use state::ClaimReply;
use state::Command;
use state::KEY_CLOSED_FOR;
use state::KeyStatus;
use state::Limits;
use state::LogTime;
use state::Op;
use state::Outcome;
use state::RecordOutcome;
use state::RecordQueriedAnswer;
use state::RecordReply;
use state::Reply;
use state::State;
use state::StoredAnswer;
use state::Withdraw;

const RUN_FOR: Duration = Duration::from_millis(300);
const RETENTION: Duration = Duration::from_millis(2_000);

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Claimed,
    Done(Arc<StoredAnswer>),
    Unknown,
    Closed(u64),
}

#[derive(Clone, Debug)]
struct ReferenceRecord {
    body: Digest,
    attempt: AttemptId,
    phase: Phase,
    since: LogTime,
    due: LogTime,
}

impl ReferenceRecord {
    fn status(&self) -> KeyStatus {
        let since = self.since;
        match &self.phase {
            Phase::Claimed => KeyStatus::Running { since },
            Phase::Done(answer) => KeyStatus::Done(answer.clone()),
            Phase::Unknown => KeyStatus::Unknown { since },
            Phase::Closed(_) => KeyStatus::Free,
        }
    }
}

/// A ledger as one plain map, which remembers every withdrawn attempt for ever.
#[derive(Default)]
struct ReferenceLedger {
    records: BTreeMap<(OrgName, OrderKey), ReferenceRecord>,
    withdrawn: BTreeSet<AttemptId>,
    incarnations: BTreeMap<NodeId, Incarnation>,
}

impl ReferenceLedger {
    fn apply(&mut self, index: u64, now: LogTime, op: &Op) -> Reply {
        self.records
            .retain(|_, record| now < record.due || record.phase == Phase::Claimed);
        for record in self.records.values_mut().filter(|record| record.due <= now) {
            enter_phase(record, Phase::Unknown, now);
        }
        match op {
            Op::Claim(claim) => Reply::Claim(self.claim(claim, now)),
            Op::Record(record) => Reply::Record(self.record_outcome(record, now)),
            Op::Learn(queried) => Reply::Record(self.record_queried_answer(queried, now)),
            Op::Withdraw(withdraw) => Reply::Withdraw(self.withdraw(withdraw, index, now)),
            Op::Gone { node, before } => {
                let incarnation = self.incarnations.entry(*node).or_default();
                *incarnation = (*incarnation).max(*before);
                let lost = self.records.values_mut().filter(|record| {
                    let has_ended =
                        record.attempt.node == *node && record.attempt.incarnation < *before;
                    has_ended && record.phase == Phase::Claimed
                });
                let orders = lost
                    .map(|record| enter_phase(record, Phase::Unknown, now))
                    .count() as u64;
                Reply::Gone { orders }
            }
            Op::Nothing | Op::Change(_) | Op::Offer(_) | Op::RecordReplicas(_) => Reply::Nothing,
        }
    }

    fn claim(&mut self, claim: &Claim, now: LogTime) -> ClaimReply {
        let incarnation = self.incarnations.entry(claim.attempt.node).or_default();
        *incarnation = (*incarnation).max(claim.attempt.incarnation);
        let admitted = *incarnation == claim.attempt.incarnation
            && !self.withdrawn.contains(&claim.attempt)
            && claim.floor <= claim.attempt.sequence;
        let org_key = (claim.org.clone(), claim.key.clone());
        if let Some(record) = self.records.get(&org_key) {
            let since = record.since;
            let same_body = record.body == claim.body;
            match &record.phase {
                Phase::Closed(at) if claim.seen < *at => return ClaimReply::Closed { at: *at },
                Phase::Closed(_) => {}
                _ if !same_body => return ClaimReply::OtherBody,
                Phase::Done(answer) => return ClaimReply::Done(answer.clone()),
                Phase::Unknown => return ClaimReply::Unknown { since },
                Phase::Claimed if record.attempt == claim.attempt && admitted => {
                    return ClaimReply::Granted;
                }
                Phase::Claimed => return ClaimReply::Running { since },
            }
        }
        if !admitted {
            return ClaimReply::Withdrawn;
        }
        let record = ReferenceRecord {
            body: claim.body,
            attempt: claim.attempt,
            phase: Phase::Claimed,
            since: now,
            due: now + RUN_FOR,
        };
        self.records.insert(org_key, record);
        ClaimReply::Granted
    }

    fn record_outcome(&mut self, command: &RecordOutcome, now: LogTime) -> RecordReply {
        let org_key = (command.org.clone(), command.key.clone());
        let Some(record) = self.records.get_mut(&org_key) else {
            return RecordReply::Kept(KeyStatus::Free);
        };
        if record.attempt != command.attempt {
            return RecordReply::Kept(record.status());
        }
        match (record.phase.clone(), &command.outcome) {
            (Phase::Claimed | Phase::Unknown, Outcome::Done(answer)) => {
                enter_phase(record, Phase::Done(answer.clone()), now);
                RecordReply::Done
            }
            (Phase::Claimed, Outcome::Unknown) => {
                enter_phase(record, Phase::Unknown, now);
                RecordReply::Unknown
            }
            (Phase::Done(_), Outcome::Done(_)) => RecordReply::Done,
            (Phase::Unknown, Outcome::Unknown) => RecordReply::Unknown,
            _ => RecordReply::Kept(record.status()),
        }
    }

    fn record_queried_answer(
        &mut self,
        queried: &RecordQueriedAnswer,
        now: LogTime,
    ) -> RecordReply {
        match self
            .records
            .get_mut(&(queried.org.clone(), queried.key.clone()))
        {
            Some(record) if matches!(record.phase, Phase::Claimed | Phase::Unknown) => {
                enter_phase(record, Phase::Done(queried.answer.clone()), now);
                RecordReply::Done
            }
            record => RecordReply::Kept(record.map_or(KeyStatus::Free, |record| record.status())),
        }
    }

    fn withdraw(&mut self, withdraw: &Withdraw, index: u64, now: LogTime) -> KeyStatus {
        self.withdrawn.insert(withdraw.attempt);
        let incarnation = self.incarnations.entry(withdraw.attempt.node).or_default();
        *incarnation = (*incarnation).max(withdraw.attempt.incarnation);
        let org_key = (withdraw.org.clone(), withdraw.key.clone());
        if let Some(record) = self.records.get(&org_key) {
            let own = record.attempt == withdraw.attempt && record.phase == Phase::Claimed;
            if !own && !matches!(record.phase, Phase::Closed(_)) {
                return record.status();
            }
        }
        let record = ReferenceRecord {
            body: Digest([0; 32]),
            attempt: withdraw.attempt,
            phase: Phase::Closed(index),
            since: now,
            due: now + KEY_CLOSED_FOR,
        };
        self.records.insert(org_key, record);
        KeyStatus::Free
    }
}

fn enter_phase(record: &mut ReferenceRecord, phase: Phase, now: LogTime) {
    record.phase = phase;
    record.since = now;
    record.due = now + RETENTION;
}

fn seeds(count: u64) -> Vec<u64> {
    match env::var("SEED") {
        Ok(seed) => vec![seed.parse().expect("SEED is a number")],
        Err(_) => (0..count).collect(),
    }
}

/// A random operation on a few keys and attempts, so that they conflict often.
fn random_op(rng: &mut fastrand::Rng, index: u64) -> Op {
    let attempt = AttemptId {
        node: NodeId(rng.u32(0..2)),
        incarnation: Incarnation(rng.u64(0..1 + index / 60)),
        sequence: index / 8 + rng.u64(0..3),
    };
    // An attempt has one key, which only a few attempts share.
    let key_number = 5 * attempt.sequence + u64::from(attempt.node.0) + attempt.incarnation.0;
    let org: OrgName = format!("org-{}", key_number % 2).parse().unwrap();
    let key: OrderKey = format!("key-{}", key_number % 3).parse().unwrap();
    // As at a node, no attempt that may still claim is below the floor.
    let floor = index / 8;
    let answer = Arc::new(StoredAnswer::new(201, "text/plain", [rng.u8(..)]));
    match rng.u8(0..12) {
        0..5 => Op::Claim(Claim {
            org,
            key,
            body: Digest::of(&[&[rng.u8(0..8) / 7]]),
            service: "orders".parse().unwrap(),
            attempt,
            floor,
            seen: index.saturating_sub(rng.u64(1..6)),
            run_for: RUN_FOR,
            retention: RETENTION,
        }),
        5..7 => Op::Withdraw(Withdraw {
            org,
            key,
            attempt,
            floor,
        }),
        7..9 => Op::Record(RecordOutcome {
            org,
            key,
            attempt,
            outcome: Outcome::Done(answer),
        }),
        9 => Op::Record(RecordOutcome {
            org,
            key,
            attempt,
            outcome: Outcome::Unknown,
        }),
        10 => Op::Learn(RecordQueriedAnswer { org, key, answer }),
        _ => Op::Gone {
            node: attempt.node,
            before: attempt.incarnation,
        },
    }
}

#[test]
fn agrees_with_one_map() {
    for seed in seeds(300) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut state = State::default();
        let mut reference = ReferenceLedger::default();
        let mut now = LogTime(0);
        let mut log = Vec::new();
        let mut snapshot = state.encode();
        let mut copy = state.copy_for_snapshot();
        for index in 1..500 {
            let pause = if rng.u8(0..30) == 0 { 4_000 } else { 40 };
            now = now + Duration::from_millis(rng.u64(0..pause));
            let command = Command {
                at: now,
                op: random_op(&mut rng, index),
            };
            let command = Command::decode(&command.encode()).unwrap();
            let reply = state.apply(index, &command);
            let expected = reference.apply(index, now, &command.op);
            assert_eq!(reply, expected, "seed {seed} at {index}: {command:?}");
            log.push((index, command));
            if rng.u8(0..25) == 0 {
                // A restart: decode the latest snapshot and apply the log again.
                let mut restored = State::decode(&snapshot).unwrap();
                log.iter().for_each(|(index, command)| {
                    restored.apply(*index, command);
                });
                assert!(
                    restored.encode() == state.encode(),
                    "seed {seed} at {index}"
                );
                state = restored;
            }
            if rng.u8(0..40) == 0 {
                // The copy stays as it was while the state changes.
                assert!(copy.encode() == snapshot, "seed {seed} at {index}");
                snapshot = state.encode();
                copy = state.copy_for_snapshot();
            }
        }
    }
}

#[test]
fn memory_is_bounded_and_one_organisation_leaves_room_for_others() {
    let limits = Limits {
        ledger_bytes: 100_000,
        org_bytes: 50_000,
        answer_bytes: 100,
        ..Limits::default()
    };
    let mut state = State::with_limits(limits);
    let claim = |org: &str, n: u64| Claim {
        org: org.parse().unwrap(),
        key: format!("key-{n}").parse().unwrap(),
        body: Digest::of(&[]),
        service: "orders".parse().unwrap(),
        attempt: AttemptId {
            sequence: n,
            ..AttemptId::default()
        },
        floor: n,
        seen: 0,
        run_for: RUN_FOR,
        retention: RETENTION,
    };
    let mut apply = |n: u64, op: Op| state.apply(n, &Command { at: LogTime(0), op });
    let mut granted = 0;
    for n in 1..1_000 {
        let reply = apply(n, Op::Claim(claim("large", n)));
        granted += u32::from(reply == Reply::Claim(ClaimReply::Granted));
    }
    assert!((100..200).contains(&granted), "{granted}");
    let reply = apply(2_000, Op::Claim(claim("small", 2_000)));
    assert_eq!(reply, Reply::Claim(ClaimReply::Granted));

    // An answer that is too large is stored without its body.
    let answer = Arc::new(StoredAnswer::new(200, "text/plain", vec![1; 200]));
    let Claim {
        org, key, attempt, ..
    } = claim("small", 2_000);
    let outcome = Outcome::Done(answer.clone());
    let record = RecordOutcome {
        org: org.clone(),
        key: key.clone(),
        attempt,
        outcome,
    };
    assert_eq!(
        apply(2_001, Op::Record(record)),
        Reply::Record(RecordReply::Done)
    );
    let status = state.ledger().key_status(&org, &key);
    assert_eq!(status, KeyStatus::Done(Arc::new(answer.without_body())));
    assert!(state.ledger().size_bytes() <= limits.ledger_bytes);
}

#[test]
fn time_that_jumps_does_not_forget_early() {
    let mut clock = state::LogClock::resume(LogTime(500), base::Time::from_millis(10));
    assert_eq!(clock.time_at(base::Time::from_millis(12)), LogTime(502));
    clock.observe(LogTime(501), base::Time::from_millis(13));
    assert_eq!(clock.time_at(base::Time::from_millis(13)), LogTime(503));
    clock.observe(LogTime(900), base::Time::from_millis(14));
    assert_eq!(clock.time_at(base::Time::from_millis(15)), LogTime(901));
}
