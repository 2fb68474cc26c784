//! Orders under seeded random faults: nodes killed, paused and partitioned at any point,
//! no leader, messages lost, delayed and duplicated, voters restarted, and a service that
//! runs a call but breaks the connection or answers late.
//!
//! `SEED=n` runs one seed, `SEEDS=n` the first n seeds of each test.

mod world;

use std::env;
use std::time::Duration;

use crate::world::Faults;
use crate::world::World;
use crate::world::millis;
use base::Digest;
use base::OrderKey;
use base::OrgName;
use base::Ran;
use base::Time;
use order::AnswerContent;
use order::Call;
use order::CallKind;
use order::KeyTerms;
use order::OtherCalls;
use order::OutcomeQuery;
use state::KeyStatus;

const RETENTION: Duration = Duration::from_secs(86_400);

fn seeds(count: u64) -> Vec<u64> {
    let env_number = |name| {
        let text = env::var(name).ok();
        text.map(|text| text.parse().expect("a number"))
    };
    match env_number("SEED") {
        Some(seed) => vec![seed],
        None => (0..env_number("SEEDS").unwrap_or(count)).collect(),
    }
}

fn order(org: u64, key: u64, body: u64, outcome_query: OutcomeQuery) -> Call {
    let key = KeyTerms {
        org: format!("org-{org}").parse().unwrap(),
        key: format!("key-{key}").parse().unwrap(),
        body_digest: Digest::of(&[&body.to_le_bytes()]),
        outcome_query,
        other_calls: OtherCalls::Possible,
        retention: RETENTION,
    };
    Call {
        service: "orders".parse().unwrap(),
        kind: CallKind::Keyed(key),
        deadline: Duration::from_secs(10),
    }
}

/// Schedules up to five calls for each of 25 keys, at random nodes, within 36 seconds.
fn schedule_random_calls(world: &mut World) {
    for n in 0..25 {
        let start = world.rng.u64(0..20_000);
        let outcome_query = if world.rng.bool() {
            OutcomeQuery::Supported
        } else {
            OutcomeQuery::Unsupported
        };
        for resend in 0..world.rng.u64(1..6) {
            let wait = start + resend * world.rng.u64(0..4_000);
            let body = u64::from(world.rng.u8(0..20) == 0);
            world.call(millis(wait), order(n % 3, n / 3, body, outcome_query));
        }
    }
}

fn key_and_body(call: &Call) -> ((OrgName, OrderKey), Digest) {
    match &call.kind {
        CallKind::Keyed(key) => ((key.org.clone(), key.key.clone()), key.body_digest),
        other => panic!("{other:?}"),
    }
}

/// Checks the answers to callers against what the service ran.
fn check_answers(world: &World, seed: u64) {
    for (org_key, runs) in &world.service.runs {
        assert!(runs.len() < 2, "seed {seed}: {org_key:?} ran {runs:?}");
    }
    for (call, record) in world.callers.calls.iter().enumerate() {
        let Some((_, answer)) = &record.answered else {
            continue;
        };
        let (org_key, body) = key_and_body(&record.terms);
        let run = world
            .service
            .runs
            .get(&org_key)
            .and_then(|runs| runs.first());
        let text = format!("seed {seed}, call {call} of {org_key:?}: {answer:?}, run {run:?}");
        match &answer.content {
            AnswerContent::Fresh(given) | AnswerContent::Stored(given) => {
                assert_eq!(answer.ran, Ran::Run, "{text}");
                assert_eq!(Some(given), run.map(|run| &run.answer), "{text}");
            }
            AnswerContent::Refused(order::Refusal::KeyReused) => {
                let ran = run.is_some_and(|run| {
                    let same = key_and_body(&world.callers.terms(run.call)).1 == body;
                    same && run.opened_at <= record.opened_at
                });
                assert!(!ran, "{text}");
            }
            AnswerContent::Refused(_) if answer.ran == Ran::NotRun => {
                // No call that was made up to this one ran before or after the answer.
                let ran = run.is_some_and(|run| run.opened_at <= record.opened_at);
                assert!(!ran, "{text}");
            }
            AnswerContent::Refused(_) => assert_eq!(answer.ran, Ran::Unknown, "{text}"),
        }
    }
}

/// Checks the ledger against what the service ran.
fn check_ledger(world: &World, seed: u64) {
    for record in &world.callers.calls {
        let ((org, key), _) = key_and_body(&record.terms);
        let run = world.service.runs.get(&(org.clone(), key.clone()));
        let run = run.and_then(|runs| runs.first());
        let status = world.log.state.ledger().key_status(&org, &key);
        let text = format!("seed {seed}: {org} {key}: {status:?}, run {run:?}");
        match status {
            KeyStatus::Free => assert!(run.is_none(), "{text}"),
            KeyStatus::Done(answer) => {
                assert_eq!(Some(answer), run.map(|r| r.answer.clone()), "{text}");
            }
            KeyStatus::Unknown { .. } => {}
            KeyStatus::Running { .. } => panic!("{text}"),
        }
    }
}

#[test]
fn nothing_runs_twice_and_not_run_is_true_under_faults() {
    let mut answer_counts = [0, 0, 0];
    for seed in seeds(60) {
        let faults = Faults {
            message_loss_percent: (seed % 4) as u8 * 6,
            fault_interval: Some(millis(300 + 500 * (seed % 5))),
        };
        let mut world = World::new(seed, 4, faults);
        schedule_random_calls(&mut world);
        world.run(millis(40_000));
        world.end_faults();
        world.run(millis(140_000));
        check_answers(&world, seed);

        // Without faults, a resend finds out the outcome of every key.
        let calls = world.callers.calls.len();
        for call in 0..calls {
            let mut terms = world.callers.terms(call);
            if let CallKind::Keyed(key) = &mut terms.kind {
                key.body_digest = Digest::of(&[&0_u64.to_le_bytes()]);
            }
            world.call(millis(200 * call as u64), terms);
        }
        world.run(millis(200 * calls as u64 + 30_000));
        check_answers(&world, seed);
        check_ledger(&world, seed);
        let resent = &world.callers.calls[calls..];
        assert!(
            resent.iter().all(|record| record.answered.is_some()),
            "seed {seed}"
        );
        for record in &world.callers.calls {
            let ran = record.answered.as_ref().map(|(_, answer)| answer.ran);
            answer_counts[0] += u32::from(ran == Some(Ran::Run));
            answer_counts[1] += u32::from(ran == Some(Ran::NotRun));
            answer_counts[2] += u32::from(ran == Some(Ran::Unknown));
        }
    }
    println!(
        "answered run {}, not run {}, unknown {}",
        answer_counts[0], answer_counts[1], answer_counts[2]
    );
    if env::var("SEED").is_err() {
        assert!(
            answer_counts.iter().all(|n| 200 < *n),
            "an outcome came up too rarely: {answer_counts:?}"
        );
    }
}

#[test]
fn a_thousand_calls_at_once_never_cross() {
    for seed in seeds(3) {
        let mut world = World::new(seed, 3, Faults::default());
        for n in 0..1_000 {
            // Several organisations use the same keys.
            let wait = millis(world.rng.u64(0..50));
            world.call(wait, order(n % 10, n / 10, n, OutcomeQuery::Unsupported));
        }
        world.run(millis(5_000));
        check_answers(&world, seed);
        check_ledger(&world, seed);
        for (call, record) in world.callers.calls.iter().enumerate() {
            let (_, answer) = record.answered.as_ref().expect("all were answered");
            let AnswerContent::Fresh(given) = &answer.content else {
                panic!("seed {seed}: {answer:?}");
            };
            let ((org, key), _) = key_and_body(&record.terms);
            let own = format!("{org} {key} {call}").into_bytes();
            assert_eq!(
                given.body,
                state::StoredBody::Kept(own.into()),
                "seed {seed}"
            );
        }
    }
}

#[test]
fn without_faults_every_order_runs_and_every_resend_gets_its_answer() {
    for seed in seeds(5) {
        let mut world = World::new(seed, 4, Faults::default());
        for n in 0..50 {
            world.call(
                millis(20 * n),
                order(n % 3, n, 0, OutcomeQuery::Unsupported),
            );
            world.call(
                millis(20 * n + 2_000),
                order(n % 3, n, 0, OutcomeQuery::Unsupported),
            );
        }
        world.run(millis(20_000));
        check_answers(&world, seed);
        for (call, record) in world.callers.calls.iter().enumerate() {
            let (at, answer) = record.answered.as_ref().expect("all were answered");
            assert_eq!(answer.ran, Ran::Run, "seed {seed}");
            let stored = matches!(answer.content, AnswerContent::Stored(_));
            assert_eq!(stored, call % 2 == 1, "seed {seed}: {answer:?}");
            assert!(
                at.since(record.opened_at) < millis(500),
                "seed {seed}: {}",
                Time(at.0)
            );
        }
    }
}
