//! What callers get from several entry hosts that choose targets by loads that are old.
//!
//! Replicas read prompts one after the other. The load is three quarters of what they can
//! read, as after a loss or in a burst. A request is on time if its prompt has been read soon
//! enough after it came.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use fastrand::Rng;

use base::Incarnation;
use base::Time;
use base::UpstreamId;
use forward::Health;
use forward::Load;
use forward::RecentSends;
use forward::Target;
use forward::TargetQuery;
use forward::TargetTable;

const CENTRES: [&str; 3] = ["a", "b", "c"];
const HOSTS_PER_CENTRE: usize = 2;
const REPLICAS: usize = 8;
const STEP: Duration = Duration::from_millis(1);
const LENGTH: Duration = Duration::from_secs(60);

/// How long a replica takes to read a prompt on average, in milliseconds. Prompts differ: the
/// longest take twice as long.
const READING_MS: u64 = 60;

/// The prompts that come each second, of all entry hosts.
const ARRIVALS_PER_SEC: f64 = 0.75 * 1_000.0 / READING_MS as f64 * REPLICAS as f64;

/// A request is on time if its prompt was read this soon.
const LATENCY_TARGET: Duration = Duration::from_millis(200);

/// How entry hosts choose.
#[derive(Clone, Copy)]
enum Choice {
    /// By the loads that they know, which are this old.
    ByLoad(Duration),
    /// In turn, each for itself.
    RoundRobin,
}

/// A request at a replica.
struct Queued {
    entry_host: usize,
    arrived: Time,
    reading_ms: u64,
}

#[derive(Default)]
struct Replica {
    queue: Vec<Queued>,
    reading_until: Option<Time>,
}

fn target(at: usize) -> Target {
    Target {
        id: format!("r{at}").parse().unwrap(),
        incarnation: Incarnation(1),
        addr: "127.0.0.1:1".parse().unwrap(),
        service: "s".parse().unwrap(),
        model: Some("wide".parse().unwrap()),
        centre: CENTRES[at % CENTRES.len()].parse().unwrap(),
        slots: 26,
        time_factor: 1.0,
        recent_sends: RecentSends::default(),
        own_requests: 0,
        other_requests: 0,
        own_prompt_secs: 0.0,
        other_prompt_secs: 0.0,
        streams: 0,
        health: Health::default(),
        last_output: Time::ZERO,
        busy_since: Time::ZERO,
    }
}

fn secs(ms: u64) -> f64 {
    ms as f64 / 1_000.0
}

/// The share of the requests that are on time.
fn share_on_time(choice: Choice, seed: u64) -> f64 {
    let mut rng = Rng::with_seed(seed);
    let hosts = CENTRES.len() * HOSTS_PER_CENTRE;
    let mut tables: Vec<TargetTable> = (0..hosts)
        .map(|host| {
            let centre = CENTRES[host / HOSTS_PER_CENTRE].parse().unwrap();
            let mut table = TargetTable::new(centre, rng.u64(..));
            table.set_targets((0..REPLICAS).map(target).collect());
            table
        })
        .collect();
    let mut replicas: Vec<Replica> = (0..REPLICAS).map(|_| Replica::default()).collect();
    let ids: Vec<UpstreamId> = (0..REPLICAS).map(|at| target(at).id).collect();
    let (service, model) = ("s".parse().unwrap(), "wide".parse().unwrap());
    let nothing_to_avoid = BTreeSet::new();
    let (mut all, mut on_time) = (0_u32, 0_u32);
    let mut turns: Vec<usize> = (0..hosts).map(|_| rng.usize(..REPLICAS)).collect();
    let mut now = Time::from_millis(1_000);
    let end = now + LENGTH;
    let mut reports: Vec<(Time, BTreeMap<UpstreamId, Load>)> = Vec::new();
    while now < end {
        now = now + STEP;
        if let Choice::ByLoad(age) = choice {
            let known = |id: &UpstreamId| Load {
                requests: tables.iter().map(|t| t.get(id).unwrap().own_requests).sum(),
                backlog: tables
                    .iter()
                    .map(|t| t.get(id).unwrap().own_prompt_secs)
                    .sum(),
            };
            let loads = ids.iter().map(|id| (id.clone(), known(id))).collect();
            reports.push((now + age, loads));
            while reports.first().is_some_and(|(at, _)| *at <= now) {
                let (_, loads) = reports.remove(0);
                tables.iter_mut().for_each(|t| t.set_total_loads(&loads));
            }
        }
        if rng.f64() < ARRIVALS_PER_SEC * STEP.as_secs_f64() {
            let host = rng.usize(..hosts);
            let chosen = match choice {
                Choice::ByLoad(_) => {
                    let query = TargetQuery {
                        service: &service,
                        model: Some(&model),
                        avoid: &nothing_to_avoid,
                    };
                    let chosen = tables[host].choose(&query, now).ok();
                    chosen.and_then(|target| ids.iter().position(|id| *id == target.id))
                }
                Choice::RoundRobin => {
                    turns[host] = (turns[host] + 1) % REPLICAS;
                    Some(turns[host])
                }
            };
            all += 1;
            if let Some(at) = chosen {
                let id = (ids[at].clone(), Incarnation(1));
                let reading_ms = rng.u64(0..2 * READING_MS);
                tables[host].record_sent(&id, secs(reading_ms), now);
                replicas[at].queue.push(Queued {
                    entry_host: host,
                    arrived: now,
                    reading_ms,
                });
            }
        }
        for (at, replica) in replicas.iter_mut().enumerate() {
            if replica.reading_until.is_some_and(|until| until <= now) {
                let read = replica.queue.remove(0);
                let id = (ids[at].clone(), Incarnation(1));
                tables[read.entry_host].record_prompt_read(&id, secs(read.reading_ms));
                tables[read.entry_host].record_ended(&id);
                on_time += u32::from(now.since(read.arrived) <= LATENCY_TARGET);
                replica.reading_until = None;
            }
            if replica.reading_until.is_none()
                && let Some(next) = replica.queue.first()
            {
                replica.reading_until = Some(now + Duration::from_millis(next.reading_ms));
            }
        }
    }
    f64::from(on_time) / f64::from(all)
}

fn mean(choice: Choice) -> f64 {
    const SEEDS: u64 = 5;
    let shares = (1..=SEEDS).map(|seed| share_on_time(choice, seed));
    shares.sum::<f64>() / SEEDS as f64
}

#[test]
fn callers_are_served_in_time_though_loads_are_old() {
    let in_turn = mean(Choice::RoundRobin);
    for age_ms in [60, 90, 150, 350] {
        let by_load = mean(Choice::ByLoad(Duration::from_millis(age_ms)));
        println!("on time: {by_load:.3} with loads {age_ms} ms old, {in_turn:.3} in turn");
        // Choosing by loads must not be worse than ignoring them.
        assert!(
            in_turn < by_load,
            "{age_ms} ms: {by_load:.3}, in turn {in_turn:.3}"
        );
    }
}

#[test]
fn fresher_loads_serve_more_callers_in_time() {
    let fresh = mean(Choice::ByLoad(Duration::from_millis(90)));
    let stale = mean(Choice::ByLoad(Duration::from_millis(350)));
    assert!(stale < fresh, "fresh {fresh:.3}, stale {stale:.3}");
}
