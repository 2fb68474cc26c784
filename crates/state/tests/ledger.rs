//! The ledger beside one map that remembers everything it ever decided.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::env;
use std::sync::Arc;
use std::time::Duration;

use base::Incarnation;
use base::NodeId;
use base::OrderKey;
use base::OrgName;
use state::AttemptId;
use state::Claim;
use state::ClaimReply;
use state::Command;
use state::Digest;
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
struct Row {
    body: Digest,
    attempt: AttemptId,
    phase: Phase,
    since: LogTime,
    due: LogTime,
}

impl Row {
    fn standing(&self) -> KeyStatus {
        let since = self.since;
        match &self.phase {
            Phase::Claimed => KeyStatus::Running { since },
            Phase::Done(answer) => KeyStatus::Done(answer.clone()),
            Phase::Unknown => KeyStatus::Unknown { since },
            Phase::Closed(_) => KeyStatus::Free,
        }
    }
}

/// One map, and every withdrawn attempt for ever.
#[derive(Default)]
struct Naive {
    rows: BTreeMap<(OrgName, OrderKey), Row>,
    withdrawn: BTreeSet<AttemptId>,
    lives: BTreeMap<NodeId, Incarnation>,
}

impl Naive {
    fn apply(&mut self, index: u64, now: LogTime, op: &Op) -> Reply {
        self.rows
            .retain(|_, row| now < row.due || row.phase == Phase::Claimed);
        for row in self.rows.values_mut().filter(|row| row.due <= now) {
            end(row, Phase::Unknown, now);
        }
        match op {
            Op::Claim(claim) => Reply::Claim(self.claim(claim, now)),
            Op::Record(record) => Reply::Record(self.record(record, now)),
            Op::Learn(learn) => Reply::Record(self.learn(learn, now)),
            Op::Withdraw(withdraw) => Reply::Withdraw(self.withdraw(withdraw, index, now)),
            Op::Gone { node, before } => {
                let life = self.lives.entry(*node).or_default();
                *life = (*life).max(*before);
                let lost = self.rows.values_mut().filter(|row| {
                    let dead = row.attempt.node == *node && row.attempt.incarnation < *before;
                    dead && row.phase == Phase::Claimed
                });
                let orders = lost.map(|row| end(row, Phase::Unknown, now)).count() as u64;
                Reply::Gone { orders }
            }
            Op::Nothing | Op::Change(_) | Op::Offer(_) => Reply::Nothing,
        }
    }

    fn claim(&mut self, claim: &Claim, now: LogTime) -> ClaimReply {
        let life = self.lives.entry(claim.attempt.node).or_default();
        *life = (*life).max(claim.attempt.incarnation);
        let admitted = *life == claim.attempt.incarnation
            && !self.withdrawn.contains(&claim.attempt)
            && claim.floor <= claim.attempt.sequence;
        let place = (claim.org.clone(), claim.key.clone());
        if let Some(row) = self.rows.get(&place) {
            let since = row.since;
            let same = row.body == claim.body;
            match &row.phase {
                Phase::Closed(at) if claim.seen < *at => return ClaimReply::Closed { at: *at },
                Phase::Closed(_) => {}
                _ if !same => return ClaimReply::OtherBody,
                Phase::Done(answer) => return ClaimReply::Done(answer.clone()),
                Phase::Unknown => return ClaimReply::Unknown { since },
                Phase::Claimed if row.attempt == claim.attempt && admitted => {
                    return ClaimReply::Granted;
                }
                Phase::Claimed => return ClaimReply::Running { since },
            }
        }
        if !admitted {
            return ClaimReply::Withdrawn;
        }
        let row = Row {
            body: claim.body,
            attempt: claim.attempt,
            phase: Phase::Claimed,
            since: now,
            due: now + RUN_FOR,
        };
        self.rows.insert(place, row);
        ClaimReply::Granted
    }

    fn record(&mut self, record: &RecordOutcome, now: LogTime) -> RecordReply {
        let place = (record.org.clone(), record.key.clone());
        let Some(row) = self.rows.get_mut(&place) else {
            return RecordReply::Kept(KeyStatus::Free);
        };
        if row.attempt != record.attempt {
            return RecordReply::Kept(row.standing());
        }
        match (row.phase.clone(), &record.outcome) {
            (Phase::Claimed | Phase::Unknown, Outcome::Done(answer)) => {
                end(row, Phase::Done(answer.clone()), now);
                RecordReply::Done
            }
            (Phase::Claimed, Outcome::Unknown) => {
                end(row, Phase::Unknown, now);
                RecordReply::Unknown
            }
            (Phase::Done(_), Outcome::Done(_)) => RecordReply::Done,
            (Phase::Unknown, Outcome::Unknown) => RecordReply::Unknown,
            _ => RecordReply::Kept(row.standing()),
        }
    }

    fn learn(&mut self, learn: &RecordQueriedAnswer, now: LogTime) -> RecordReply {
        match self.rows.get_mut(&(learn.org.clone(), learn.key.clone())) {
            Some(row) if matches!(row.phase, Phase::Claimed | Phase::Unknown) => {
                end(row, Phase::Done(learn.answer.clone()), now);
                RecordReply::Done
            }
            row => RecordReply::Kept(row.map_or(KeyStatus::Free, |row| row.standing())),
        }
    }

    fn withdraw(&mut self, withdraw: &Withdraw, index: u64, now: LogTime) -> KeyStatus {
        self.withdrawn.insert(withdraw.attempt);
        let life = self.lives.entry(withdraw.attempt.node).or_default();
        *life = (*life).max(withdraw.attempt.incarnation);
        let place = (withdraw.org.clone(), withdraw.key.clone());
        if let Some(row) = self.rows.get(&place) {
            let own = row.attempt == withdraw.attempt && row.phase == Phase::Claimed;
            if !own && !matches!(row.phase, Phase::Closed(_)) {
                return row.standing();
            }
        }
        let row = Row {
            body: Digest([0; 32]),
            attempt: withdraw.attempt,
            phase: Phase::Closed(index),
            since: now,
            due: now + KEY_CLOSED_FOR,
        };
        self.rows.insert(place, row);
        KeyStatus::Free
    }
}

fn end(row: &mut Row, phase: Phase, now: LogTime) {
    row.phase = phase;
    row.since = now;
    row.due = now + RETENTION;
}

fn seeds(count: u64) -> Vec<u64> {
    match env::var("SEED") {
        Ok(seed) => vec![seed.parse().expect("SEED is a number")],
        Err(_) => (0..count).collect(),
    }
}

/// A random command about few keys and attempts, so that they meet.
fn op(rng: &mut fastrand::Rng, index: u64) -> Op {
    let attempt = AttemptId {
        node: NodeId(rng.u32(0..2)),
        incarnation: Incarnation(rng.u64(0..1 + index / 60)),
        sequence: index / 8 + rng.u64(0..3),
    };
    // An attempt is for one key, which few attempts share.
    let place = 5 * attempt.sequence + u64::from(attempt.node.0) + attempt.incarnation.0;
    let org: OrgName = format!("org-{}", place % 2).parse().unwrap();
    let key: OrderKey = format!("key-{}", place % 3).parse().unwrap();
    // As a node would: its attempts that may still claim are not below the floor.
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
        let mut naive = Naive::default();
        let mut now = LogTime(0);
        let mut log = Vec::new();
        let mut snapshot = state.encode();
        let mut image = state.copy_for_snapshot();
        for index in 1..500 {
            let pause = if rng.u8(0..30) == 0 { 4_000 } else { 40 };
            now = now + Duration::from_millis(rng.u64(0..pause));
            let command = Command {
                at: now,
                op: op(&mut rng, index),
            };
            let command = Command::decode(&command.encode()).unwrap();
            let reply = state.apply(index, &command);
            let expected = naive.apply(index, now, &command.op);
            assert_eq!(reply, expected, "seed {seed} at {index}: {command:?}");
            log.push((index, command));
            if rng.u8(0..25) == 0 {
                // A restart: the latest snapshot and what was applied after it.
                let mut read = State::decode(&snapshot).unwrap();
                log.iter().for_each(|(index, command)| {
                    read.apply(*index, command);
                });
                assert!(read.encode() == state.encode(), "seed {seed} at {index}");
                state = read;
            }
            if rng.u8(0..40) == 0 {
                // The state went on since the image was made.
                assert!(image.encode() == snapshot, "seed {seed} at {index}");
                snapshot = state.encode();
                image = state.copy_for_snapshot();
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

    // An answer that does not fit is kept without its body.
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
    let standing = state.ledger().key_status(&org, &key);
    assert_eq!(standing, KeyStatus::Done(Arc::new(answer.without_body())));
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
