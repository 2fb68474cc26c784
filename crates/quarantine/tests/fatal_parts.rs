//! Requests that end replicas, in simulated deployments with many seeds.

mod world;

use std::time::Duration;

use world::Outcome;
use world::Policy;
use world::Scenario;
use world::Service;
use world::World;

const SPAN: Duration = Duration::from_secs(40);

/// Requests with a fatal part that may reach replicas once entry hosts must know it.
const ALLOWED_LATE: usize = 3;

fn seeds(count: u64) -> Vec<u64> {
    match std::env::var("SEED") {
        Ok(seed) => vec![seed.parse().unwrap()],
        Err(_) => (1..=count).collect(),
    }
}

fn check(scenario: &Scenario, count: u64) -> Vec<Outcome> {
    let play = |seed| {
        let outcome = World::new(scenario.clone(), seed).run(SPAN);
        assert!(
            outcome.late_fatal <= ALLOWED_LATE,
            "seed {seed}: {} late requests, {outcome:?}",
            outcome.late_fatal
        );
        assert!(
            outcome.sound_later < 2 * outcome.sound_begun_later.max(10),
            "seed {seed}: sound requests are refused, {outcome:?}"
        );
        outcome
    };
    seeds(count).into_iter().map(play).collect()
}

#[test]
fn a_fatal_part_is_banned_in_time_whatever_the_number_of_entry_hosts() {
    for entries in [2, 9, 24, 64] {
        let scenario = Scenario {
            entries,
            ..Scenario::default()
        };
        for outcome in check(&scenario, 60) {
            assert_eq!(outcome.false_bans, [], "{outcome:?}");
        }
    }
}

#[test]
fn a_fatal_part_is_found_wherever_it_stands_and_however_seldom_it_comes() {
    let fatal = [
        vec!["fatal", "common", "kind1"],
        vec!["common", "fatal", "kind1"],
        vec!["common", "kind1", "fatal"],
        vec!["fatal"],
        vec!["common", "beside", "fatal"],
    ];
    for parts in fatal {
        for fatal_per_sec in [0.3, 1.0, 6.0, 30.0] {
            let scenario = Scenario {
                fatal: vec![parts.clone()],
                fatal_per_sec,
                ..Scenario::default()
            };
            check(&scenario, 20);
        }
    }
}

#[test]
fn two_fatal_parts_at_once_are_both_banned() {
    let scenario = Scenario {
        fatal: vec![vec!["common", "fatal"], vec!["common", "fatal2"]],
        fatal_parts: vec!["fatal", "fatal2"],
        ..Scenario::default()
    };
    for seed in seeds(100) {
        let outcome = World::new(scenario.clone(), seed).run(SPAN);
        // Each part is allowed its own ends.
        assert!(outcome.fatal_ends <= 20, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.false_bans, [], "seed {seed}: {outcome:?}");
    }
}

#[test]
fn a_sound_part_is_not_banned_for_the_fatal_one_that_it_came_with() {
    let scenario = Scenario {
        fatal: vec![vec!["common", "kind1", "fatal"], vec!["kind1", "fatal"]],
        ..Scenario::default()
    };
    for outcome in check(&scenario, 60) {
        assert_eq!(outcome.false_bans, [], "{outcome:?}");
    }
}

#[test]
fn ordinary_ends_of_replicas_and_domains_ban_nothing() {
    let scenario = Scenario {
        fatal_per_sec: 0.0,
        ordinary_ends: true,
        ..Scenario::default()
    };
    for seed in seeds(200) {
        let outcome = World::new(scenario.clone(), seed).run(SPAN);
        assert_eq!(outcome.false_bans, [], "seed {seed}: {outcome:?}");
    }
}

#[test]
fn bans_survive_changes_of_leader_and_restarts_of_entry_hosts() {
    let scenario = Scenario {
        ordinary_ends: true,
        restarts: true,
        loss: 0.1,
        ..Scenario::default()
    };
    check(&scenario, 200);
}

#[test]
fn simpler_policies_break_the_bound() {
    let mean = |policy, what: fn(&Outcome) -> usize| {
        let scenario = Scenario {
            policy,
            ..Scenario::default()
        };
        let outcomes: Vec<Outcome> = (1..=20)
            .map(|seed| World::new(scenario.clone(), seed).run(SPAN))
            .collect();
        outcomes.iter().map(what).sum::<usize>() / outcomes.len()
    };
    let answered = |outcome: &Outcome| 100 * outcome.sound_answered / outcome.sound;
    let begun = |outcome: &Outcome| 100 * outcome.sound_begun_later / outcome.sound_later.max(1);
    for policy in [
        Policy::Shared,
        Policy::Alone,
        Policy::NoRepeat,
        Policy::ByOrganisation,
    ] {
        println!(
            "{policy:?}: {} ends, {} late, sound answered {} %, begun later {} %",
            mean(policy, |outcome| outcome.fatal_ends),
            mean(policy, |outcome| outcome.late_fatal),
            mean(policy, answered),
            mean(policy, begun)
        );
    }
    assert!(ALLOWED_LATE < mean(Policy::Alone, |outcome| outcome.late_fatal));
    assert!(ALLOWED_LATE < mean(Policy::NoRepeat, |outcome| outcome.late_fatal));
}

/// A plain service and one request that ends each of its processes.
fn one_fatal_request() -> Scenario {
    Scenario {
        service: Service::Plain,
        is_one_request: true,
        allowed_ends: 3,
        fatal: vec![vec![]],
        fatal_parts: vec![],
        popular_share: 0.3,
        ..Scenario::default()
    }
}

#[test]
fn one_fatal_request_is_banned_in_time_however_many_processes_its_service_has() {
    for replicas in [2, 3, 8, 20] {
        for fatal_per_sec in [0.1, 1.0, 6.0, 30.0] {
            let scenario = Scenario {
                replicas,
                fatal_per_sec,
                ..one_fatal_request()
            };
            for outcome in check(&scenario, 20) {
                assert_eq!(outcome.false_bans, [], "{outcome:?}");
            }
        }
    }
}

#[test]
fn one_fatal_request_that_comes_to_several_entry_hosts_at_once_is_banned_in_time() {
    for (replicas, fatal_burst) in [(3, 3), (3, 8), (8, 5), (20, 12)] {
        let scenario = Scenario {
            replicas,
            fatal_burst,
            fatal_per_sec: 0.3,
            ..one_fatal_request()
        };
        for outcome in check(&scenario, 40) {
            assert_eq!(outcome.false_bans, [], "{outcome:?}");
        }
    }
}

#[test]
fn one_fatal_request_for_a_model_is_banned_beside_those_that_share_its_parts() {
    let scenario = Scenario {
        service: Service::Engine,
        fatal: vec![vec!["common", "kind1"]],
        ..one_fatal_request()
    };
    for outcome in check(&scenario, 60) {
        assert_eq!(outcome.false_bans, [], "{outcome:?}");
    }
}

#[test]
fn ordinary_ends_and_broken_connections_ban_no_request() {
    for service in [Service::Plain, Service::Engine] {
        let scenario = Scenario {
            service,
            fatal_per_sec: 0.0,
            ordinary_ends: true,
            breaks_per_sec: 5.0,
            popular_share: 0.3,
            ..Scenario::default()
        };
        for seed in seeds(100) {
            let outcome = World::new(scenario.clone(), seed).run(SPAN);
            assert_eq!(outcome.false_bans, [], "seed {seed}: {outcome:?}");
        }
    }
}

#[test]
fn the_ban_of_one_request_survives_changes_of_leader_and_restarts_of_entry_hosts() {
    let scenario = Scenario {
        replicas: 8,
        ordinary_ends: true,
        restarts: true,
        breaks_per_sec: 2.0,
        loss: 0.1,
        ..one_fatal_request()
    };
    check(&scenario, 200);
}
