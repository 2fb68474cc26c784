//! Seeded schedules, checked against a reference model: one holder at a time, with increasing
//! fencing numbers. `SEED=n` repeats a single seed.

mod world;

use std::time::Duration;

use crate::world::Clock;
use crate::world::Faults;
use crate::world::STEP;
use crate::world::World;
use base::Fence;
use base::Incarnation;
use base::NodeId;
use base::Time;
use lease::Claim;
use lease::Config;
use lease::Granter;
use lease::Holder;
use lease::MAX_LEASE_TIME;
use lease::Message;
use lease::PersistedState;
use lease::Promise;
use lease::Refusal;
use lease::WallTime;

/// Longest time without a controller once a majority communicates without message loss.
const MAX_WAIT: Duration = Duration::from_secs(13);

const FAULTS: Faults = Faults {
    loss_rate: 0.15,
    max_delay_ms: 400,
    max_drift: 0.0099,
    fault_rate: 0.003,
};

fn seeds(count: u64) -> Vec<u64> {
    match std::env::var("SEED") {
        Ok(seed) => vec![seed.parse().unwrap()],
        Err(_) => (1..=count).collect(),
    }
}

fn inject_fault(world: &mut World) {
    let size = world.nodes.len();
    let any = world.rng.usize(0..size);
    let index = world.holder().filter(|_| world.rng.bool()).unwrap_or(any);
    let span = Duration::from_millis(world.rng.u64(100..12_000));
    match world.rng.u8(0..14) {
        0..=2 => world.freeze(index, span, Clock::Runs),
        3..=4 => world.freeze(index, span, Clock::Stops),
        5..=6 => world.restart(index),
        7 => (0..size).for_each(|index| world.restart(index)),
        8..=10 => isolate(world, index, span),
        11 => cut_incoming(world, index, span),
        12 => {
            let outputs = world.nodes[index].lease.stop();
            world.send_all(index, outputs);
            world.restart(index);
        }
        _ => {
            let other = world.rng.u32(0..size as u32);
            world.cut_link(index as u32, other, span);
        }
    }
}

fn isolate(world: &mut World, index: usize, span: Duration) {
    for other in (0..world.nodes.len() as u32).filter(|other| *other as usize != index) {
        world.cut_link(index as u32, other, span);
        world.cut_link(other, index as u32, span);
    }
}

fn cut_incoming(world: &mut World, index: usize, span: Duration) {
    for other in (0..world.nodes.len() as u32).filter(|other| *other as usize != index) {
        world.cut_link(other, index as u32, span);
    }
}

fn run(world: &mut World, span: Duration) {
    for _ in 0..span.as_millis() / STEP.as_millis() {
        if world.rng.f64() < world.faults.fault_rate {
            inject_fault(world);
        }
        world.step();
    }
}

/// Runs the world until a node holds the lease, and returns how long that took.
fn run_until_held(world: &mut World, bound: Duration) -> Option<Duration> {
    let begun = world.now_us;
    while world.holder().is_none() {
        if bound.as_micros() as u64 <= world.now_us - begun {
            return None;
        }
        world.step();
    }
    Some(Duration::from_micros(world.now_us - begun))
}

fn run_schedule(seed: u64, faults: Faults) -> World {
    let size = [1, 2, 3, 3, 5][seed as usize % 5];
    let mut world = World::new(size, seed, faults);
    run(&mut world, Duration::from_secs(90));
    world
}

#[test]
fn no_two_tenures_hold_at_once_and_fences_grow() {
    let mut tenures = 0;
    let mut doubted = 0;
    let mut longest = Duration::ZERO;
    for seed in seeds(400) {
        println!("seed {seed}");
        let mut world = run_schedule(seed, FAULTS);
        world.heal();
        let wait = run_until_held(&mut world, MAX_WAIT);
        longest = longest.max(wait.expect("no controller within the bound"));
        run(&mut world, Duration::from_secs(10));
        assert!(world.holder().is_some(), "the lease was not kept");
        tenures += world.tenure_count;
        doubted += world.doubted_steps;
    }
    println!("{tenures} tenures, {doubted} steps in doubt, longest wait {longest:?}");
}

/// Cuts off a holder with a slow clock from granters with fast clocks, which grant the lease
/// to another node as soon as they may.
fn cut_off_slow_holder(seed: u64, drift: f64) {
    let cfg = Config {
        bid_stagger: Duration::ZERO,
        resend_interval: STEP,
        ..Config::with_granters((0..3).map(NodeId))
    };
    let mut world = World::with_config(cfg, seed, FAULTS);
    world.heal();
    world.faults.max_delay_ms = 0;
    run_until_held(&mut world, MAX_WAIT).unwrap();
    let pause = Duration::from_millis(world.rng.u64(1_000..5_000));
    let index = world.holder().unwrap();
    for node in &mut world.nodes {
        node.clock_speed = 1.0 + drift;
    }
    world.nodes[index].clock_speed = 1.0 - drift;
    run(&mut world, pause);
    isolate(&mut world, index, Duration::from_secs(60));
    run(&mut world, Duration::from_secs(15));
    assert!(world.holder().is_some_and(|holder| holder != index));
}

#[test]
fn the_margin_covers_the_worst_pair_of_clocks() {
    for seed in seeds(60) {
        println!("seed {seed}");
        cut_off_slow_holder(seed, FAULTS.max_drift);
    }
}

#[test]
fn the_model_sees_an_overlap_when_clocks_drift_beyond_the_margin() {
    let run = |seed| std::panic::catch_unwind(|| cut_off_slow_holder(seed, 0.05));
    let found = (1..=20).filter(|seed| run(*seed).is_err());
    assert!(0 < found.count());
}

#[test]
fn the_majority_side_gets_a_controller_within_the_bound() {
    for seed in seeds(40) {
        println!("seed {seed}");
        let mut world = World::new(5, seed, FAULTS);
        world.heal();
        let first = run_until_held(&mut world, MAX_WAIT).unwrap();
        assert!(
            Duration::from_secs(5) < first,
            "granted while granters without state must not grant"
        );
        let pause = Duration::from_millis(world.rng.u64(1_000..5_000));
        run(&mut world, pause);
        let cut_off = world.holder().unwrap();
        isolate(&mut world, cut_off, Duration::from_secs(60));
        run(&mut world, Duration::from_secs(7));
        let wait = run_until_held(&mut world, MAX_WAIT - Duration::from_secs(7));
        assert!(wait.is_some() && world.holder() != Some(cut_off));
    }
}

#[test]
fn a_stopping_holder_hands_over_at_once() {
    let mut world = World::new(3, 7, FAULTS);
    world.heal();
    run_until_held(&mut world, MAX_WAIT).unwrap();
    run(&mut world, Duration::from_secs(3));
    let index = world.holder().unwrap();
    let outputs = world.nodes[index].lease.stop();
    world.send_all(index, outputs);
    let wait = run_until_held(&mut world, MAX_WAIT).unwrap();
    assert!(wait < Duration::from_secs(1), "{wait:?}");
}

#[test]
fn a_holder_whose_clock_stood_still_is_in_doubt_until_it_is_told() {
    let mut world = World::new(3, 11, FAULTS);
    world.heal();
    run_until_held(&mut world, MAX_WAIT).unwrap();
    run(&mut world, Duration::from_secs(3));
    let old = world.holder().unwrap();
    world.freeze(old, Duration::from_secs(20), Clock::Stops);
    run(&mut world, Duration::from_secs(20));
    let new = world.holder().unwrap();
    assert_ne!(old, new);
    let before = world.doubted_steps;
    run(&mut world, Duration::from_secs(2));
    assert!(world.tenure(old).is_none(), "still believes in its tenure");
    assert!(before <= world.doubted_steps);
    assert_eq!(world.holder(), Some(new));
}

#[test]
fn a_node_that_hears_the_holders_number_from_hosts_first_grants_it_all_the_same() {
    let mut world = World::new(3, 11, FAULTS);
    world.heal();
    run_until_held(&mut world, MAX_WAIT).unwrap();
    run(&mut world, Duration::from_secs(3));
    let old = world.holder().unwrap();
    world.freeze(old, Duration::from_secs(20), Clock::Runs);
    run(&mut world, Duration::from_secs(19));
    let new = world.holder().unwrap();
    assert_ne!(old, new);
    let fence = world.tenure(new).unwrap().fence;
    world.nodes[old].lease.observe_fence(fence);
    run(&mut world, Duration::from_secs(5));
    let now = world.clock(old);
    let holder = world.nodes[old].lease.granter.holder(now);
    assert_eq!(holder.map(|holder| holder.node), Some(world.nodes[new].id));
    assert_eq!(world.tenure(new).unwrap().fence, fence);
}

#[test]
fn a_number_that_hosts_report_is_granted_to_nobody_who_does_not_hold_it() {
    let mut granter = Granter::new(
        PersistedState::Kept(Promise::default()),
        WallTime(0),
        Time(0),
    );
    let now = Time(0) + MAX_LEASE_TIME;
    granter.observe_fence(Fence(9));
    let holder = Holder {
        node: NodeId(1),
        incarnation: Incarnation(1),
    };
    let mut answer_to = |claim| {
        let request = Message::Request {
            holder,
            fence: Fence(9),
            claim,
            lease_time: Duration::from_secs(2),
            sent: now,
        };
        granter.receive(request, now).unwrap().message
    };
    let first = answer_to(Claim::Bids);
    let reason = |message| match message {
        Message::Refused { reason, .. } => Some(reason),
        _ => None,
    };
    assert_eq!(reason(first), Some(Refusal::StaleFence));
    assert!(matches!(answer_to(Claim::Holds), Message::Granted { .. }));
}

#[test]
fn a_granter_without_memory_knows_the_floor_of_its_wall_clock() {
    let wall = WallTime::since_1970(Duration::from_millis(1_790_000_000_999));
    let granter = Granter::new(PersistedState::Lost, wall, Time(5));
    assert_eq!(granter.highest_fence(), Fence(1_790_000_000 * 256));
    assert_eq!(granter.holder(Time(5)), None);
}

#[test]
fn a_promise_that_ended_names_no_holder() {
    let promise = Promise {
        fence: Fence(7),
        holder: Some(Holder {
            node: NodeId(1),
            incarnation: Incarnation(1),
        }),
    };
    let start = Time::from_millis(1_000);
    let granter = Granter::new(PersistedState::Kept(promise), WallTime(0), start);
    assert_eq!(granter.holder(start), promise.holder);
    assert_eq!(granter.holder(start + MAX_LEASE_TIME), None);
}
