//! Tests the choice of a replica, also against a linear search with the same forecast.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

use base::Load;
use base::ModelName;
use base::ReplicaId;
use base::RequestId;
use base::Time;
use base::TokenCount;
use base::TokenRate;
use route::Candidate;
use route::Config;
use route::Length;
use route::NoChoice;
use route::ReplicaSlice;
use route::RouteRequest;
use route::Router;

fn seed() -> u64 {
    let seed = std::env::var("SEED")
        .ok()
        .and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(7);
    println!("SEED={seed}");
    seed
}

fn model() -> ModelName {
    "m".parse().unwrap()
}

fn candidate(id: u64, running: u32, link_ms: u64) -> Candidate {
    Candidate {
        replica: ReplicaId(id),
        load: Load {
            running,
            slots: 32,
            prefill_rate: TokenRate(10_000.0),
            token_rate: TokenRate(40.0),
            ..Load::default()
        },
        link_delay: Duration::from_millis(link_ms),
        ..Candidate::default()
    }
}

fn short_request() -> RouteRequest {
    RouteRequest {
        prompt_tokens: TokenCount(300),
        first_token_budget: Duration::from_millis(380),
        ..RouteRequest::default()
    }
}

fn router_with(candidates: Vec<Candidate>, cfg: Config) -> Router {
    let mut router = Router::new(cfg, seed());
    router.set_replicas(&model(), candidates, Time::ZERO);
    router
}

/// Chooses a replica, records the request as sent to it, and returns the replica.
fn choose_and_send(
    router: &mut Router,
    id: u64,
    request: &RouteRequest,
    now: Time,
) -> Result<ReplicaId, NoChoice> {
    let choice = router.choose_replica(&model(), request, now)?;
    router.record_sent(RequestId(id), &model(), request, &choice, now);
    Ok(choice.replica)
}

#[test]
fn sampled_choice_is_close_to_a_linear_search() {
    let seed = seed();
    let mut rng = fastrand::Rng::with_seed(seed);
    let loads: Vec<_> = (0..1_000)
        .map(|id| candidate(id, rng.u32(16..40), 1))
        .collect();
    let linear_cfg = Config {
        near_sample: 1_000,
        ..Config::default()
    };
    let mean = |cfg: Config| {
        let mut router = router_with(loads.clone(), cfg);
        let mut sum = 0.0;
        for id in 0..400 {
            let choice = router
                .choose_replica(&model(), &short_request(), Time::ZERO)
                .unwrap();
            sum += choice.forecast.first_token.as_secs_f64();
            router.record_sent(
                RequestId(id),
                &model(),
                &short_request(),
                &choice,
                Time::ZERO,
            );
        }
        sum / 400.0
    };
    let (sampled, searched) = (mean(Config::default()), mean(linear_cfg));
    assert!(
        sampled <= searched * 1.1,
        "SEED={seed}: {sampled} {searched}"
    );
}

#[test]
fn own_requests_count_before_the_report_shows_them() {
    let mut router = router_with(
        vec![candidate(0, 30, 0), candidate(1, 30, 0)],
        Config::default(),
    );
    let sent: Vec<_> = (0..5)
        .map(|id| choose_and_send(&mut router, id, &short_request(), Time::ZERO))
        .collect();
    assert_eq!(sent.iter().filter(|s| s.is_ok()).count(), 4);
    assert_eq!(sent[4], Err(NoChoice::Full));
}

#[test]
fn a_newer_report_takes_over_own_counts() {
    let mut router = router_with(vec![candidate(0, 31, 0)], Config::default());
    choose_and_send(&mut router, 0, &short_request(), Time::ZERO).unwrap();
    assert_eq!(
        choose_and_send(&mut router, 1, &short_request(), Time::ZERO),
        Err(NoChoice::Full)
    );
    let now = Time::from_millis(200);
    router.update_load(&model(), candidate(0, 20, 0), now);
    assert!(choose_and_send(&mut router, 1, &short_request(), now).is_ok());
}

#[test]
fn nearby_goes_first_and_far_is_used_when_near_is_full() {
    let near = candidate(0, 10, 0);
    let far = candidate(1, 0, 4);
    let mut router = router_with(vec![near, far.clone()], Config::default());
    assert_eq!(
        choose_and_send(&mut router, 0, &short_request(), Time::ZERO),
        Ok(ReplicaId(0))
    );
    let mut router = router_with(vec![candidate(0, 32, 0), far], Config::default());
    assert_eq!(
        choose_and_send(&mut router, 0, &short_request(), Time::ZERO),
        Ok(ReplicaId(1))
    );
}

#[test]
fn a_cached_prefix_wins_only_while_its_wait_is_shorter_than_what_it_saves() {
    let mut router = router_with(
        (0..8).map(|id| candidate(id, 4, 0)).collect(),
        Config::default(),
    );
    router.record_cached_prefix(&model(), ReplicaId(5), 99);
    let long_prompt = RouteRequest {
        prompt_tokens: TokenCount(2_000),
        prefix_hash: Some(99),
        ..short_request()
    };
    assert_eq!(
        choose_and_send(&mut router, 0, &long_prompt, Time::ZERO),
        Ok(ReplicaId(5))
    );
    let mut busy = candidate(5, 4, 0);
    busy.load.prefill = TokenCount(20_000);
    router.update_load(&model(), busy, Time::from_millis(1));
    let chosen = choose_and_send(&mut router, 1, &long_prompt, Time::from_millis(1));
    assert_ne!(chosen, Ok(ReplicaId(5)));
}

/// Sends a request every 10 ms to 20 replicas, of which some are ten times slower. Returns
/// the requests of each replica in each second, and the most replicas ejected at once.
fn run_with_slow(
    is_slow: impl Fn(ReplicaId, Time) -> bool,
    seconds: u64,
) -> (Vec<[u32; 20]>, usize) {
    let idle = || (0..20).map(|id| candidate(id, 4, 0)).collect();
    let mut router = router_with(idle(), Config::default());
    let mut due: BTreeMap<(Time, u64), bool> = BTreeMap::new();
    let mut counts = vec![[0; 20]; seconds as usize];
    let mut most_ejected = 0;
    for id in 0..seconds * 100 {
        let now = Time::from_millis(id * 10);
        while let Some((at, other)) = due.keys().next().copied().filter(|(at, _)| *at <= now) {
            if due.remove(&(at, other)) == Some(true) {
                router.record_first_token(RequestId(other), at);
            } else {
                router.record_finished(RequestId(other), at);
            }
        }
        if id % 20 == 0 {
            router.set_replicas(&model(), idle(), now);
        }
        most_ejected = most_ejected.max(router.ejected_replicas(&model(), now).len());
        let Ok(replica) = choose_and_send(&mut router, id, &short_request(), now) else {
            continue;
        };
        counts[(id / 100) as usize][replica.0 as usize] += 1;
        let took = Duration::from_millis(if is_slow(replica, now) { 600 } else { 60 });
        due.insert((now + took, id), true);
        due.insert((now + 2 * took, id), false);
    }
    (counts, most_ejected)
}

#[test]
fn a_replica_that_turns_ten_times_slower_is_left() {
    let slow_from = Time::from_millis(10_000);
    let (counts, _) = run_with_slow(
        |replica, now| replica == ReplicaId(3) && slow_from <= now,
        40,
    );
    let of = |seconds: Range<usize>| counts[seconds].iter().map(|c| c[3]).sum::<u32>();
    let (before, after) = (of(0..10), of(12..40));
    println!("10 s before {before}, 28 s after {after}");
    assert!(30 <= before);
    assert!(after <= 20);
}

#[test]
fn slow_replicas_are_left_out_only_up_to_a_share() {
    let (counts, ejected) = run_with_slow(|replica, _| replica.0 < 10, 40);
    assert!(ejected <= 4, "{ejected}");
    let served = |second: &[u32; 20]| second.iter().any(|count| 0 < *count);
    assert!(counts.iter().all(served));
}

#[test]
fn a_frozen_replica_is_left_before_any_token_tells() {
    let mut router = router_with(
        vec![candidate(0, 0, 0), candidate(1, 20, 0)],
        Config::default(),
    );
    assert_eq!(
        choose_and_send(&mut router, 0, &short_request(), Time::ZERO),
        Ok(ReplicaId(0))
    );
    let now = Time::from_millis(500);
    assert_eq!(
        choose_and_send(&mut router, 1, &short_request(), now),
        Ok(ReplicaId(1))
    );
}

#[test]
fn feedback_that_is_late_doubled_or_foreign_changes_nothing() {
    let mut router = router_with(vec![candidate(0, 31, 0)], Config::default());
    choose_and_send(&mut router, 0, &short_request(), Time::ZERO).unwrap();
    let now = Time::from_millis(100);
    router.record_first_token(RequestId(0), now);
    router.record_finished(RequestId(0), now);
    for id in [0, 0, 77] {
        router.record_first_token(RequestId(id), now);
        router.record_tokens(RequestId(id), 5, now);
        router.record_finished(RequestId(id), now);
        router.record_failed(RequestId(id), now);
    }
    assert_eq!(router.in_flight_count(), 0);
    assert!(choose_and_send(&mut router, 1, &short_request(), now).is_ok());
    assert_eq!(
        choose_and_send(&mut router, 2, &short_request(), now),
        Err(NoChoice::Full)
    );
}

#[test]
fn long_quotas_of_all_nodes_bound_the_long_requests_of_a_replica() {
    let long = RouteRequest {
        length: Length::Long,
        long_quota: 16.0 / 9.0,
        first_token_budget: Duration::from_secs(10),
        ..short_request()
    };
    let mut router = router_with(
        (0..60).map(|id| candidate(id, 0, 0)).collect(),
        Config::default(),
    );
    let mut counts = [0; 60];
    for id in 0.. {
        let Ok(replica) = choose_and_send(&mut router, id, &long, Time::ZERO) else {
            break;
        };
        counts[replica.0 as usize] += 1;
    }
    assert!(counts.iter().all(|count| *count <= 2), "{counts:?}");
    let sum: i32 = counts.iter().sum();
    assert!((90..=120).contains(&sum), "{sum}");
}

#[test]
fn slices_divide_the_replicas_without_overlap() {
    let mut owners = [0; 60];
    for node in 0..9 {
        let slice = ReplicaSlice {
            from: f64::from(node) / 9.0,
            until: f64::from(node + 1) / 9.0,
        };
        let sliced = RouteRequest {
            replica_slice: Some(slice),
            ..short_request()
        };
        let mut router = router_with(
            (0..60).map(|id| candidate(id, 0, 0)).collect(),
            Config::default(),
        );
        let mut seen = BTreeSet::new();
        for id in 0..600 {
            if let Ok(replica) = choose_and_send(&mut router, id, &sliced, Time::ZERO) {
                seen.insert(replica.0 as usize);
            }
        }
        seen.iter().for_each(|replica| owners[*replica] += 1);
    }
    assert_eq!(owners, [1; 60]);
}

// A request panicked when a host reported rates whose inverse no time can hold.
#[test]
fn odd_loads_of_a_host_end_no_request() {
    let odd = [
        0.0,
        -1.0,
        1e-320,
        1e-300,
        f64::MIN_POSITIVE,
        1e308,
        f64::MAX,
        f64::INFINITY,
        f64::NAN,
    ];
    for prefill_rate in odd {
        for token_rate in odd {
            let mut candidate = candidate(1, 3, 0);
            candidate.load = Load {
                running: u32::MAX,
                waiting: u32::MAX,
                prefill: TokenCount(u32::MAX),
                slots: 1,
                prefill_rate: TokenRate(prefill_rate),
                token_rate: TokenRate(token_rate),
            };
            let mut router = router_with(vec![candidate], Config::default());
            let now = Time::from_millis(2_000);
            // Whether it is chosen doesn't matter.
            let _ = router.choose_replica(&model(), &short_request(), now);
            let _ = router.min_first_token_time(&model(), TokenCount(u32::MAX));
        }
    }
}
