//! Orders under seeded schedules of faults: nodes killed, frozen and cut at any
//! step, leaders lost, messages lost, late and doubled, voters restarted, the
//! service that runs and drops the link or answers late.
//!
//! `SEED=n` runs one seed, `SEEDS=n` the first n of each test.

mod world;

use std::env;
use std::time::Duration;

use crate::world::Faults;
use crate::world::World;
use crate::world::ms;
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
use state::Digest;
use state::KeyStatus;

const RETENTION: Duration = Duration::from_secs(86_400);

fn seeds(count: u64) -> Vec<u64> {
    let number = |name| {
        let text = env::var(name).ok();
        text.map(|text| text.parse().expect("a number"))
    };
    match number("SEED") {
        Some(seed) => vec![seed],
        None => (0..number("SEEDS").unwrap_or(count)).collect(),
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

/// A key's calls at any nodes, over half a minute.
fn call_at_random(world: &mut World) {
    for n in 0..25 {
        let start = world.rng.u64(0..20_000);
        let ask = if world.rng.bool() {
            OutcomeQuery::Supported
        } else {
            OutcomeQuery::Unsupported
        };
        for again in 0..world.rng.u64(1..6) {
            let wait = start + again * world.rng.u64(0..4_000);
            let body = u64::from(world.rng.u8(0..20) == 0);
            world.call(ms(wait), order(n % 3, n / 3, body, ask));
        }
    }
}

fn place(call: &Call) -> ((OrgName, OrderKey), Digest) {
    match &call.kind {
        CallKind::Keyed(key) => ((key.org.clone(), key.key.clone()), key.body_digest),
        other => panic!("{other:?}"),
    }
}

/// Checks what was told against what the service ran.
fn check_told(world: &World, seed: u64) {
    for (place, runs) in &world.service.runs {
        assert!(runs.len() < 2, "seed {seed}: {place:?} ran {runs:?}");
    }
    for (call, made) in world.callers.made.iter().enumerate() {
        let Some((_, answer)) = &made.told else {
            continue;
        };
        let (place, body) = place(&made.terms);
        let run = world.service.runs.get(&place).and_then(|runs| runs.first());
        let text = format!("seed {seed}, call {call} of {place:?}: {answer:?}, run {run:?}");
        match &answer.content {
            AnswerContent::Fresh(given) | AnswerContent::Stored(given) => {
                assert_eq!(answer.ran, Ran::Run, "{text}");
                assert_eq!(Some(given), run.map(|run| &run.answer), "{text}");
            }
            AnswerContent::Refused(order::Refusal::KeyReused) => {
                let ran = run.is_some_and(|run| {
                    let same = self::place(&world.callers.terms(run.call)).1 == body;
                    same && run.opened_at <= made.opened_at
                });
                assert!(!ran, "{text}");
            }
            AnswerContent::Refused(_) if answer.ran == Ran::NotRun => {
                // Neither before nor after, by this call or any made before it.
                let ran = run.is_some_and(|run| run.opened_at <= made.opened_at);
                assert!(!ran, "{text}");
            }
            AnswerContent::Refused(_) => assert_eq!(answer.ran, Ran::Unknown, "{text}"),
        }
    }
}

/// Checks the ledger against one map: what the service ran.
fn check_ledger(world: &World, seed: u64) {
    for made in &world.callers.made {
        let ((org, key), _) = place(&made.terms);
        let run = world.service.runs.get(&(org.clone(), key.clone()));
        let run = run.and_then(|runs| runs.first());
        let standing = world.log.state.ledger().key_status(&org, &key);
        let text = format!("seed {seed}: {org} {key}: {standing:?}, run {run:?}");
        match standing {
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
    let mut told = [0, 0, 0];
    for seed in seeds(60) {
        let faults = Faults {
            lost: (seed % 4) as u8 * 6,
            every: Some(ms(300 + 500 * (seed % 5))),
        };
        let mut world = World::new(seed, 4, faults);
        call_at_random(&mut world);
        world.run(ms(40_000));
        world.heal();
        world.run(ms(140_000));
        check_told(&world, seed);

        // Once all is well, every key can be settled by a resend.
        let calls = world.callers.made.len();
        for call in 0..calls {
            let mut terms = world.callers.terms(call);
            if let CallKind::Keyed(key) = &mut terms.kind {
                key.body_digest = Digest::of(&[&0_u64.to_le_bytes()]);
            }
            world.call(ms(200 * call as u64), terms);
        }
        world.run(ms(200 * calls as u64 + 30_000));
        check_told(&world, seed);
        check_ledger(&world, seed);
        let resent = &world.callers.made[calls..];
        assert!(resent.iter().all(|made| made.told.is_some()), "seed {seed}");
        for made in &world.callers.made {
            let ran = made.told.as_ref().map(|(_, answer)| answer.ran);
            told[0] += u32::from(ran == Some(Ran::Run));
            told[1] += u32::from(ran == Some(Ran::NotRun));
            told[2] += u32::from(ran == Some(Ran::Unknown));
        }
    }
    println!(
        "told run {}, not run {}, unknown {}",
        told[0], told[1], told[2]
    );
    if env::var("SEED").is_err() {
        assert!(
            told.iter().all(|n| 200 < *n),
            "the schedules miss something: {told:?}"
        );
    }
}

#[test]
fn a_thousand_calls_at_once_never_cross() {
    for seed in seeds(3) {
        let mut world = World::new(seed, 3, Faults::default());
        for n in 0..1_000 {
            // The same keys in several organisations.
            let wait = ms(world.rng.u64(0..50));
            world.call(wait, order(n % 10, n / 10, n, OutcomeQuery::Unsupported));
        }
        world.run(ms(5_000));
        check_told(&world, seed);
        check_ledger(&world, seed);
        for (call, made) in world.callers.made.iter().enumerate() {
            let (_, answer) = made.told.as_ref().expect("all were answered");
            let AnswerContent::Fresh(given) = &answer.content else {
                panic!("seed {seed}: {answer:?}");
            };
            let ((org, key), _) = place(&made.terms);
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
            world.call(ms(20 * n), order(n % 3, n, 0, OutcomeQuery::Unsupported));
            world.call(
                ms(20 * n + 2_000),
                order(n % 3, n, 0, OutcomeQuery::Unsupported),
            );
        }
        world.run(ms(20_000));
        check_told(&world, seed);
        for (call, made) in world.callers.made.iter().enumerate() {
            let (at, answer) = made.told.as_ref().expect("all were answered");
            assert_eq!(answer.ran, Ran::Run, "seed {seed}");
            let stored = matches!(answer.content, AnswerContent::Stored(_));
            assert_eq!(stored, call % 2 == 1, "seed {seed}: {answer:?}");
            assert!(
                at.since(made.opened_at) < ms(500),
                "seed {seed}: {}",
                Time(at.0)
            );
        }
    }
}
