//! Decisions on requests at one entry node.

use std::collections::BTreeMap;
use std::time::Duration;

use admit::Arrival;
use admit::Config;
use admit::Decision;
use admit::Dispatcher;
use admit::ExcessPolicy;
use admit::Failure;
use admit::RefusalReason;
use base::Contract;
use base::Load;
use base::ModelName;
use base::Overflow;
use base::Priority;
use base::Ran;
use base::ReplicaId;
use base::RequestId;
use base::RequestRate;
use base::Time;
use base::TokenCount;
use base::TokenRate;
use route::Candidate;

const SLOTS: u32 = 4;

fn model(name: &str) -> ModelName {
    name.parse().unwrap()
}

fn contract(name: &str, weight: u32) -> Contract {
    Contract {
        name: name.parse().unwrap(),
        callers: vec![],
        org: name.parse().unwrap(),
        weight,
        model: model("m"),
        first_token: Duration::from_millis(400),
        token_rate: TokenRate(10.0),
        request_rate: RequestRate(1e6),
        burst: 1_000_000,
        total_token_rate: TokenRate(1e9),
        overflow: Overflow::Refuse,
        priority: Priority(1),
    }
}

fn candidate(id: u64) -> Candidate {
    Candidate {
        replica: ReplicaId(id),
        load: Load {
            slots: SLOTS,
            prefill_rate: TokenRate(10_000.0),
            token_rate: TokenRate(50.0),
            ..Load::default()
        },
        ..Candidate::default()
    }
}

fn open(contracts: &[Contract], replicas: u64, excess_policy: ExcessPolicy) -> Dispatcher {
    let cfg = Config {
        excess_policy,
        ..Config::default()
    };
    let mut dispatcher = Dispatcher::new(cfg, 1);
    dispatcher.set_contracts(contracts, Time::ZERO);
    dispatcher.set_replicas(
        &model("m"),
        (0..replicas).map(candidate).collect(),
        Time::ZERO,
    );
    dispatcher
}

fn arrival(id: u64, contract: &str, now: Time) -> Arrival {
    Arrival {
        request: RequestId(id),
        contract: contract.parse().unwrap(),
        prompt: TokenCount(100),
        max_tokens: TokenCount(50),
        prefix: None,
        now,
    }
}

fn refusal(decision: Decision) -> (RefusalReason, Duration) {
    match decision {
        Decision::Refuse {
            reason,
            retry_after,
        } => (reason, retry_after),
        other => panic!("{other:?}"),
    }
}

fn is_sent(decision: &Decision) -> bool {
    matches!(decision, Decision::Send { .. })
}

fn ms(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Sends `count` requests to fill the slots, so that the rate of sent requests is known.
fn fill(dispatcher: &mut Dispatcher, contract: &str, count: u64, now: Time) {
    for id in 1_000..1_000 + count {
        assert!(is_sent(
            &dispatcher.handle_arrival(arrival(id, contract, now))
        ));
    }
}

#[test]
fn an_unknown_contract_is_refused_as_not_run() {
    let mut dispatcher = open(&[], 1, ExcessPolicy::Refuse);
    let (reason, _) = refusal(dispatcher.handle_arrival(arrival(0, "a", ms(0))));
    assert_eq!(reason, RefusalReason::NoContract);
    assert_eq!(reason.ran(), Ran::NotRun);
}

#[test]
fn a_request_over_the_rate_may_come_back_when_told() {
    let mut limited = contract("a", 1);
    limited.request_rate = RequestRate(2.0);
    limited.burst = 1;
    let mut dispatcher = open(&[limited], 4, ExcessPolicy::Refuse);
    assert!(is_sent(&dispatcher.handle_arrival(arrival(0, "a", ms(0)))));
    let (reason, first) = refusal(dispatcher.handle_arrival(arrival(1, "a", ms(0))));
    let (_, second) = refusal(dispatcher.handle_arrival(arrival(2, "a", ms(0))));
    assert_eq!(reason, RefusalReason::RequestRate);
    assert_eq!(first, Duration::from_millis(500));
    assert_eq!(second, Duration::from_millis(1_000));
    assert!(is_sent(&dispatcher.handle_arrival(arrival(
        3,
        "a",
        ms(0) + first
    ))));
}

#[test]
fn tokens_that_were_not_generated_are_given_back() {
    let mut limited = contract("a", 1);
    limited.total_token_rate = TokenRate(10.0);
    let mut dispatcher = open(&[limited], 4, ExcessPolicy::Refuse);
    assert!(is_sent(&dispatcher.handle_arrival(arrival(0, "a", ms(0)))));
    let (reason, _) = refusal(dispatcher.handle_arrival(arrival(1, "a", ms(0))));
    assert_eq!(reason, RefusalReason::TokenRate);
    assert!(dispatcher.cancel(RequestId(0), ms(1)));
    assert!(is_sent(&dispatcher.handle_arrival(arrival(2, "a", ms(1)))));
}

#[test]
fn a_request_waits_only_while_its_turn_can_come_in_time() {
    let mut dispatcher = open(&[contract("a", 1)], 1, ExcessPolicy::Refuse);
    fill(&mut dispatcher, "a", 4, ms(0));
    for id in 1_000..1_004 {
        dispatcher.record_first_token(RequestId(id), ms(20));
    }
    let waiting = dispatcher.handle_arrival(arrival(1, "a", ms(50)));
    assert_eq!(waiting, Decision::Queued);
    assert!(dispatcher.next_poll() <= ms(60));
    dispatcher.record_finished(RequestId(1_000), ms(100));
    let decided = dispatcher.poll(ms(100));
    assert!(
        matches!(&decided[..], [(RequestId(1), sent)] if is_sent(sent)),
        "{decided:?}"
    );
    for id in 1_001..1_004 {
        assert_eq!(dispatcher.router().in_flight_count(), 4);
        let _ = id;
    }
}

#[test]
fn what_cannot_come_in_time_is_refused_at_once_and_with_the_queues_time() {
    let mut dispatcher = open(&[contract("a", 1)], 1, ExcessPolicy::Refuse);
    fill(&mut dispatcher, "a", 4, ms(0));
    for id in 1_000..1_004 {
        dispatcher.record_first_token(RequestId(id), ms(20));
    }
    // After one complete answer a request is expected to hold its slot for two seconds.
    dispatcher.record_finished(RequestId(1_000), ms(2_000));
    assert!(is_sent(&dispatcher.handle_arrival(arrival(
        0,
        "a",
        ms(2_000)
    ))));
    let mut refused = Vec::new();
    let mut queued = 0;
    for id in 1..8 {
        match dispatcher.handle_arrival(arrival(id, "a", ms(2_000))) {
            Decision::Queued => queued += 1,
            other => refused.push(refusal(other)),
        }
    }
    assert_eq!(queued, 1, "the first in the queue may still get a slot");
    assert_eq!(refused.len(), 6);
    for (reason, after) in refused {
        assert_eq!(reason, RefusalReason::Late);
        assert_eq!(reason.ran(), Ran::NotRun);
        let expected = Duration::from_millis(100)..Duration::from_secs(4);
        assert!(expected.contains(&after), "{after:?}");
    }
}

#[test]
fn a_queued_request_is_refused_once_its_chance_is_gone() {
    let mut dispatcher = open(&[contract("a", 1)], 1, ExcessPolicy::Refuse);
    fill(&mut dispatcher, "a", 4, ms(0));
    assert_eq!(
        dispatcher.handle_arrival(arrival(0, "a", ms(10))),
        Decision::Queued
    );
    let mut now = ms(10);
    let refused = loop {
        now = dispatcher.next_poll().max(now);
        if let Some((_, decision)) = dispatcher.poll(now).pop() {
            break refusal(decision);
        }
    };
    assert_eq!(refused.0, RefusalReason::Late);
    assert!(now <= ms(410), "{now}");
}

#[test]
fn the_other_model_serves_when_the_first_is_short() {
    let mut flexible = contract("a", 1);
    flexible.overflow = Overflow::Model(model("small"));
    let mut dispatcher = open(&[flexible], 0, ExcessPolicy::Refuse);
    dispatcher.set_replicas(&model("small"), vec![candidate(9)], ms(0));
    let decision = dispatcher.handle_arrival(arrival(0, "a", ms(0)));
    assert!(matches!(&decision, Decision::Send { model: m, .. } if *m == model("small")));
    dispatcher.record_finished(RequestId(0), ms(100));
    assert_eq!(dispatcher.in_flight_count(), 0);
}

#[test]
fn without_a_replica_the_refusal_says_so() {
    let mut dispatcher = open(&[contract("a", 1)], 0, ExcessPolicy::Refuse);
    let (reason, after) = refusal(dispatcher.handle_arrival(arrival(0, "a", ms(0))));
    assert_eq!(reason, RefusalReason::NoReplica);
    assert!(Duration::ZERO < after);
}

#[test]
fn a_failed_attempt_is_tried_elsewhere_and_continued_exactly() {
    let mut dispatcher = open(&[contract("a", 1)], 2, ExcessPolicy::Refuse);
    let Decision::Send {
        replica, delivered, ..
    } = dispatcher.handle_arrival(arrival(0, "a", ms(0)))
    else {
        panic!("not sent");
    };
    assert_eq!(delivered, TokenCount(0));
    let retried = dispatcher
        .handle_failure(RequestId(0), Failure::Lost, ms(10))
        .unwrap();
    let Decision::Send {
        replica: second,
        delivered,
        ..
    } = retried
    else {
        panic!("{retried:?}");
    };
    assert_ne!(replica, second);
    assert_eq!(delivered, TokenCount(0));
    dispatcher.record_first_token(RequestId(0), ms(50));
    dispatcher.record_tokens(RequestId(0), 6, ms(150));
    let continued = dispatcher
        .handle_failure(RequestId(0), Failure::Lost, ms(200))
        .unwrap();
    let Decision::Send {
        replica, delivered, ..
    } = continued
    else {
        panic!("{continued:?}");
    };
    assert_ne!(replica, second);
    assert_eq!(delivered, TokenCount(7));
    let ended = dispatcher
        .handle_failure(RequestId(0), Failure::Lost, ms(300))
        .unwrap();
    assert_eq!(refusal(ended).0, RefusalReason::Interrupted);
    assert_eq!(RefusalReason::Interrupted.ran(), Ran::Run);
}

#[test]
fn second_tries_end_with_the_budget() {
    let mut dispatcher = open(&[contract("a", 1)], 40, ExcessPolicy::Refuse);
    let mut tries = 0;
    for id in 0..100 {
        assert!(is_sent(&dispatcher.handle_arrival(arrival(
            id,
            "a",
            ms(id)
        ))));
        let decision = dispatcher
            .handle_failure(RequestId(id), Failure::Lost, ms(id))
            .unwrap();
        if !is_sent(&decision) {
            assert_eq!(refusal(decision).0, RefusalReason::Failed);
            continue;
        }
        tries += 1;
        dispatcher.cancel(RequestId(id), ms(id));
    }
    assert!((5..=20).contains(&tries), "{tries}");
}

#[test]
fn feedback_for_requests_that_are_over_is_ignored() {
    let mut dispatcher = open(&[contract("a", 1)], 1, ExcessPolicy::Refuse);
    fill(&mut dispatcher, "a", 4, ms(0));
    dispatcher.record_finished(RequestId(1_000), ms(10));
    for id in [1_000, 1_000, 5] {
        dispatcher.record_first_token(RequestId(id), ms(20));
        dispatcher.record_tokens(RequestId(id), 3, ms(20));
        dispatcher.record_finished(RequestId(id), ms(20));
        assert_eq!(
            dispatcher.handle_failure(RequestId(id), Failure::Lost, ms(20)),
            None
        );
        assert!(!dispatcher.cancel(RequestId(id), ms(20)));
    }
    assert_eq!(dispatcher.in_flight_count(), 3);
}

#[test]
fn an_attempt_that_fell_silent_is_lost() {
    let mut dispatcher = open(&[contract("a", 1)], 1, ExcessPolicy::Refuse);
    fill(&mut dispatcher, "a", 1, ms(0));
    assert!(dispatcher.poll(ms(29_000)).is_empty());
    let decided = dispatcher.poll(ms(31_000));
    assert!(matches!(
        &decided[..],
        [(
            _,
            Decision::Refuse {
                reason: RefusalReason::Failed,
                ..
            }
        )]
    ));
    assert_eq!(dispatcher.in_flight_count(), 0);
}

#[test]
fn a_caller_that_leaves_the_queue_makes_room() {
    let mut dispatcher = open(&[contract("a", 1)], 1, ExcessPolicy::Refuse);
    fill(&mut dispatcher, "a", 4, ms(0));
    assert_eq!(
        dispatcher.handle_arrival(arrival(0, "a", ms(10))),
        Decision::Queued
    );
    assert!(!dispatcher.cancel(RequestId(0), ms(11)));
    assert_eq!(dispatcher.waiting_count(), 0);
    dispatcher.record_finished(RequestId(1_000), ms(20));
    assert!(dispatcher.poll(ms(20)).is_empty());
}

/// Runs one node at full load with answers of 200 ms, and returns the number of answers of each
/// organisation. `demands` holds each organisation's name, weight and open-loop demand in
/// requests per second.
fn answers_at_full_load(demands: &[(&str, u32, f64)], seconds: u64) -> BTreeMap<String, u32> {
    let contracts: Vec<_> = demands
        .iter()
        .map(|(org, weight, _)| contract(org, *weight))
        .collect();
    let mut dispatcher = open(&contracts, 5, ExcessPolicy::Refuse);
    let mut ends: BTreeMap<(Time, u64), usize> = BTreeMap::new();
    let mut owners = BTreeMap::new();
    let mut answered = BTreeMap::new();
    let mut due = vec![0.0; demands.len()];
    let mut id = 0;
    for tick in 0..seconds * 1_000 {
        let now = ms(tick);
        let mut decided = Vec::new();
        while let Some(((at, request), org)) = ends.pop_first() {
            if now < at {
                ends.insert((at, request), org);
                break;
            }
            dispatcher.record_finished(RequestId(request), now);
            *answered.entry(demands[org].0.to_owned()).or_insert(0) += 1;
        }
        decided.extend(dispatcher.poll(now));
        for (org, (name, _, rate)) in demands.iter().enumerate() {
            due[org] += rate / 1_000.0;
            while 1.0 <= due[org] {
                due[org] -= 1.0;
                id += 1;
                owners.insert(RequestId(id), org);
                decided.push((
                    RequestId(id),
                    dispatcher.handle_arrival(arrival(id, name, now)),
                ));
            }
        }
        for (request, decision) in decided {
            if is_sent(&decision) {
                dispatcher.record_first_token(request, now);
                ends.insert(
                    (now + Duration::from_millis(200), request.0),
                    owners[&request],
                );
            }
        }
    }
    answered
}

#[test]
fn capacity_is_shared_by_weight_and_unused_shares_are_lent() {
    // Twenty slots with answers of 200 ms give 100 answers per second.
    let answered = answers_at_full_load(
        &[("large", 3, 400.0), ("small", 1, 15.0), ("other", 1, 200.0)],
        20,
    );
    println!("{answered:?}");
    let rate = |org: &str| f64::from(answered[org]) / 20.0;
    assert!(14.0 <= rate("small"), "within its share of 20");
    // What `small` leaves is divided 3 to 1: 63.75 for `large` and 21.25 for `other`.
    assert!((57.0..=70.0).contains(&rate("large")), "{answered:?}");
    assert!((18.0..=26.0).contains(&rate("other")), "{answered:?}");
    assert!(95.0 <= rate("large") + rate("small") + rate("other"));
}

#[test]
fn lent_work_never_takes_the_place_of_work_within_contract() {
    let mut limited = contract("greedy", 1);
    limited.request_rate = RequestRate(0.0);
    limited.burst = 1;
    let mut dispatcher = open(&[limited, contract("a", 1)], 10, ExcessPolicy::UseSpare);
    let mut spare_sent = 0;
    for id in 0..100 {
        spare_sent += u32::from(is_sent(&dispatcher.handle_arrival(arrival(
            id,
            "greedy",
            ms(0),
        ))));
    }
    assert!((20..40).contains(&spare_sent), "{spare_sent} of 40 slots");
    let first = dispatcher.handle_arrival(arrival(200, "a", ms(0)));
    let Decision::Send {
        priority: within, ..
    } = first
    else {
        panic!("{first:?}");
    };
    assert!(within < Priority(64));
}

#[test]
fn long_work_is_told_from_short_and_ranks_behind_it() {
    let mut dispatcher = open(&[contract("a", 1)], 20, ExcessPolicy::Refuse);
    for id in 0..20 {
        dispatcher.handle_arrival(arrival(id, "a", ms(id)));
        dispatcher.record_finished(RequestId(id), ms(id + 1));
    }
    let mut long_request = arrival(50, "a", ms(50));
    long_request.prompt = TokenCount(3_000);
    long_request.max_tokens = TokenCount(3_000);
    let long = dispatcher.handle_arrival(long_request);
    let short = dispatcher.handle_arrival(arrival(51, "a", ms(50)));
    let priority = |decision: &Decision| match decision {
        Decision::Send { priority, .. } => *priority,
        other => panic!("{other:?}"),
    };
    assert!(priority(&short) < priority(&long));
}

#[test]
fn long_work_keeps_its_share_while_short_work_floods() {
    let mut patient = contract("long", 1);
    patient.overflow = Overflow::Wait(Duration::from_secs(10));
    let mut dispatcher = open(&[contract("short", 1), patient], 10, ExcessPolicy::Refuse);
    let mut ends: BTreeMap<(Time, u64), ()> = BTreeMap::new();
    let mut long_sent = 0;
    let mut short_sent = 0;
    for tick in 0..10_000 {
        let now = ms(tick);
        while let Some(((at, id), ())) = ends.pop_first() {
            if now < at {
                ends.insert((at, id), ());
                break;
            }
            dispatcher.record_finished(RequestId(id), now);
        }
        let mut decided = dispatcher.poll(now);
        // Short requests ask for twice the slots.
        for copy in 0..2 {
            if tick % 5 == 0 {
                let id = tick * 10 + copy;
                decided.push((
                    RequestId(id),
                    dispatcher.handle_arrival(arrival(id, "short", now)),
                ));
            }
        }
        if tick % 400 == 399 {
            let mut long_request = arrival(tick * 10 + 9, "long", now);
            long_request.prompt = TokenCount(3_000);
            long_request.max_tokens = TokenCount(3_000);
            decided.push((
                long_request.request,
                dispatcher.handle_arrival(long_request),
            ));
        }
        for (request, decision) in decided {
            if !is_sent(&decision) {
                continue;
            }
            dispatcher.record_first_token(request, now);
            let is_long = request.0 % 10 == 9;
            long_sent += u32::from(is_long);
            short_sent += u32::from(!is_long);
            let span = if is_long { 4_000 } else { 200 };
            ends.insert((now + Duration::from_millis(span), request.0), ());
        }
    }
    println!("long {long_sent} of 25, short {short_sent}");
    assert!(20 <= long_sent, "{long_sent}");
    assert!(1_000 <= short_sent, "{short_sent}");
}
