//! The time that a dispatch decision takes, by number of replicas.

use std::time::Duration;
use std::time::Instant;

use crate::load::Mix;
use crate::load::contracts;
use crate::load::model;
use crate::report::Table;
use admit::Arrival;
use admit::Dispatcher;
use base::CentreId;
use base::Load;
use base::ReplicaId;
use base::RequestId;
use base::Time;
use base::TokenCount;
use base::TokenRate;
use route::Candidate;
use route::Config;
use route::RouteRequest;
use route::Router;

/// The numbers of replicas that are measured.
const REPLICA_COUNTS: [usize; 3] = [60, 1_000, 12_000];
/// The number of decisions that are timed.
const DECISIONS: u64 = 20_000;

/// The time of a dispatch decision for several numbers of replicas, compared with a linear search.
pub fn table(seed: u64) -> Table {
    let columns = [
        "replicas",
        "whole decision us",
        "choice us",
        "linear search us",
        "replace all us",
    ];
    let mut table = Table::new(
        "time of a decision and the feedback of one answer",
        &columns,
    );
    for size in REPLICA_COUNTS {
        let sampled = Config::default();
        let linear = Config {
            near_sample: size,
            far_sample: size,
            ..Config::default()
        };
        let (choice_us, replace_us) = measure_router(sampled, size, DECISIONS, seed);
        let (search_us, _) = measure_router(linear, size, DECISIONS / 20, seed);
        table.row([
            size.to_string(),
            format!("{:.2}", measure_dispatcher(size, seed)),
            format!("{choice_us:.2}"),
            format!("{search_us:.2}"),
            format!("{replace_us:.0}"),
        ]);
    }
    table
}

/// The times to choose a replica and to replace all replicas, in microseconds.
fn measure_router(cfg: Config, size: usize, choices: u64, seed: u64) -> (f64, f64) {
    let model = model();
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut router = Router::new(cfg, seed);
    let start = Instant::now();
    router.set_replicas(&model, candidates(size, &mut rng), Time::ZERO);
    let replace_us = start.elapsed().as_secs_f64() * 1e6;
    let request_terms = RouteRequest {
        prompt_tokens: TokenCount(300),
        first_token_budget: Duration::from_millis(380),
        max_fill: 1.06,
        ..RouteRequest::default()
    };
    let start = Instant::now();
    for request in 0..choices {
        let now = Time::from_millis(request);
        let id = RequestId(request);
        if let Ok(choice) = router.choose_replica(&model, &request_terms, now) {
            router.record_sent(id, &model, &request_terms, &choice, now);
        }
        if let Some(ended) = request.checked_sub(100) {
            router.record_first_token(RequestId(ended), now);
            router.record_finished(RequestId(ended), now);
        }
    }
    (
        start.elapsed().as_secs_f64() * 1e6 / choices as f64,
        replace_us,
    )
}

/// The time of a whole decision in microseconds: limits, queue, choice, and the feedback of its
/// answer.
fn measure_dispatcher(size: usize, seed: u64) -> f64 {
    let model = model();
    let contracts = contracts(Mix::Lantern, 1e6);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut dispatcher = Dispatcher::new(admit::Config::default(), seed);
    dispatcher.set_contracts(&contracts, Time::ZERO);
    dispatcher.set_replicas(&model, candidates(size, &mut rng), Time::ZERO);
    let start = Instant::now();
    for request in 0..DECISIONS {
        let now = Time::from_millis(request);
        dispatcher.handle_arrival(Arrival {
            request: RequestId(request),
            contract: contracts[request as usize % contracts.len()].name.clone(),
            prompt: TokenCount(300),
            max_tokens: TokenCount(100),
            prefix: None,
            now,
        });
        if let Some(ended) = request.checked_sub(100) {
            dispatcher.record_first_token(RequestId(ended), now);
            dispatcher.record_finished(RequestId(ended), now);
        }
    }
    start.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64
}

fn candidates(size: usize, rng: &mut fastrand::Rng) -> Vec<Candidate> {
    let candidate = |index: usize| Candidate {
        replica: ReplicaId(index as u64),
        centre: CentreId((index % 20) as u32),
        load: Load {
            running: rng.u32(20..32),
            slots: 32,
            prefill: TokenCount(rng.u32(0..2_000)),
            prefill_rate: TokenRate(16_000.0),
            token_rate: TokenRate(40.0),
            ..Load::default()
        },
        load_age: Duration::from_millis(100),
        link_delay: Duration::from_micros(300 + 2_000 * (index % 20) as u64),
    };
    (0..size).map(candidate).collect()
}
