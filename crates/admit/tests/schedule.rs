//! Random schedules: every request ends exactly once, and nothing stays counted after it.

use std::collections::BTreeMap;
use std::time::Duration;

use admit::Arrival;
use admit::Config;
use admit::Decision;
use admit::Dispatcher;
use admit::ExcessPolicy;
use admit::Failure;
use base::Contract;
use base::Load;
use base::ModelName;
use base::Overflow;
use base::Priority;
use base::ReplicaId;
use base::RequestId;
use base::RequestRate;
use base::Time;
use base::TokenCount;
use base::TokenRate;
use route::Candidate;

const STEPS: u64 = 3_000;

/// The state of a request, as the code that drives the dispatcher sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waiting,
    Running,
    Over,
}

/// One random schedule.
struct Run {
    dispatcher: Dispatcher,
    rng: fastrand::Rng,
    states: BTreeMap<RequestId, State>,
    /// Tokens that the caller of each request has received.
    delivered: BTreeMap<RequestId, u32>,
    now: Time,
    seed: u64,
}

fn model(at: usize) -> ModelName {
    format!("m{at}").parse().unwrap()
}

fn contracts(rng: &mut fastrand::Rng) -> Vec<Contract> {
    let overflows = [
        Overflow::Refuse,
        Overflow::Wait(Duration::from_secs(2)),
        Overflow::Model(model(1)),
    ];
    let contract = |at: usize| Contract {
        name: format!("c{at}").parse().unwrap(),
        callers: vec![],
        org: format!("o{}", at % 3).parse().unwrap(),
        weight: 1 + at as u32,
        model: model(at % 2),
        first_token: Duration::from_millis(400),
        token_rate: TokenRate(10.0),
        request_rate: RequestRate(30.0),
        burst: 20,
        total_token_rate: TokenRate(3_000.0),
        overflow: overflows[at % 3].clone(),
        priority: Priority(at as u8),
    };
    (0..6).filter(|_| 0 < rng.u32(0..8)).map(contract).collect()
}

fn candidates(rng: &mut fastrand::Rng) -> Vec<Candidate> {
    let candidate = |id: u64| Candidate {
        replica: ReplicaId(id),
        load: Load {
            slots: 4,
            prefill_rate: TokenRate(10_000.0),
            token_rate: TokenRate(50.0),
            ..Load::default()
        },
        ..Candidate::default()
    };
    let count = rng.u64(0..8);
    (0..count).map(candidate).collect()
}

impl Run {
    fn open(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let cfg = Config {
            excess_policy: if rng.bool() {
                ExcessPolicy::Refuse
            } else {
                ExcessPolicy::UseSpare
            },
            silence_timeout: Duration::from_secs(5),
            ..Config::default()
        };
        let mut dispatcher = Dispatcher::new(cfg, seed);
        dispatcher.set_contracts(&contracts(&mut rng), Time::ZERO);
        Self {
            dispatcher,
            rng,
            states: BTreeMap::new(),
            delivered: BTreeMap::new(),
            now: Time::ZERO,
            seed,
        }
    }

    /// Checks a decision against the request's state and follows it.
    fn act(&mut self, id: RequestId, decision: &Decision) {
        let state = self.states.insert(id, State::Over);
        assert_ne!(
            state,
            Some(State::Over),
            "SEED={}: {id} {decision:?}",
            self.seed
        );
        let next = match decision {
            Decision::Send { delivered, .. } => {
                let expected = self.delivered.get(&id).copied().unwrap_or(0);
                assert_eq!(delivered.0, expected, "SEED={}: {id}", self.seed);
                State::Running
            }
            Decision::Queued => State::Waiting,
            Decision::Refuse { .. } => State::Over,
        };
        self.states.insert(id, next);
    }

    /// A random request in a state.
    fn any(&mut self, wanted: State) -> Option<RequestId> {
        let found = self.states.iter().filter(|(_, state)| **state == wanted);
        let found: Vec<_> = found.map(|(id, _)| *id).collect();
        self.rng.choice(found)
    }

    fn arrive(&mut self) {
        let id = RequestId(self.states.len() as u64);
        let arrival = Arrival {
            request: id,
            contract: format!("c{}", self.rng.u32(0..7)).parse().unwrap(),
            prompt: TokenCount(self.rng.u32(1..500)),
            max_tokens: TokenCount(self.rng.u32(1..2_000)),
            prefix: self.rng.bool().then(|| self.rng.u64(0..5)),
            now: self.now,
        };
        let decision = self.dispatcher.handle_arrival(arrival);
        self.act(id, &decision);
    }

    fn poll(&mut self) {
        for (id, decision) in self.dispatcher.poll(self.now) {
            self.act(id, &decision);
        }
    }

    fn token(&mut self) {
        let Some(id) = self.any(State::Running) else {
            return;
        };
        let delivered = self.delivered.entry(id).or_insert(0);
        if *delivered == 0 {
            self.dispatcher.record_first_token(id, self.now);
            *delivered = 1;
        } else {
            let count = self.rng.u32(1..60);
            self.dispatcher.record_tokens(id, count, self.now);
            *delivered += count;
        }
    }

    fn fail(&mut self) {
        if let Some(id) = self.any(State::Running)
            && let Some(decision) = self.dispatcher.handle_failure(id, Failure::Lost, self.now)
        {
            self.act(id, &decision);
        }
    }

    fn finish(&mut self, id: RequestId) {
        self.dispatcher.record_finished(id, self.now);
        self.states.insert(id, State::Over);
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(self.rng.u64(0..20));
        match self.rng.u32(0..100) {
            0..40 => self.arrive(),
            40..55 => self.token(),
            55..72 => {
                if let Some(id) = self.any(State::Running) {
                    self.finish(id);
                }
            }
            72..76 => self.fail(),
            76..80 => {
                let wanted = if self.rng.bool() {
                    State::Running
                } else {
                    State::Waiting
                };
                if let Some(id) = self.any(wanted) {
                    let is_at_replica = self.dispatcher.cancel(id, self.now);
                    assert_eq!(
                        is_at_replica,
                        wanted == State::Running,
                        "SEED={}",
                        self.seed
                    );
                    self.states.insert(id, State::Over);
                }
            }
            80..82 => {
                if let Some(id) = self.any(State::Over) {
                    self.dispatcher.record_first_token(id, self.now);
                    self.dispatcher.record_finished(id, self.now);
                    assert_eq!(
                        self.dispatcher.handle_failure(id, Failure::Lost, self.now),
                        None
                    );
                }
            }
            82..84 => {
                let contracts = contracts(&mut self.rng);
                self.dispatcher.set_contracts(&contracts, self.now);
            }
            84..90 => {
                let candidates = candidates(&mut self.rng);
                let at = self.rng.usize(0..2);
                self.dispatcher
                    .set_replicas(&model(at), candidates, self.now);
            }
            _ => self.poll(),
        }
    }

    /// Ends all requests and checks that nothing is left.
    fn settle(&mut self) {
        for _ in 0..2_000 {
            self.now += Duration::from_millis(10);
            self.poll();
            while let Some(id) = self.any(State::Running) {
                self.finish(id);
            }
        }
        let left = self.states.iter().find(|(_, state)| **state != State::Over);
        assert_eq!(left, None, "SEED={}", self.seed);
        assert_eq!(self.dispatcher.waiting_count(), 0, "SEED={}", self.seed);
        assert_eq!(self.dispatcher.in_flight_count(), 0, "SEED={}", self.seed);
        assert_eq!(
            self.dispatcher.router().in_flight_count(),
            0,
            "SEED={}",
            self.seed
        );
        assert_eq!(
            self.dispatcher.next_poll(),
            Time::NEVER,
            "SEED={}",
            self.seed
        );
    }
}

#[test]
fn every_request_ends_once_and_nothing_stays_held() {
    let seeds = match std::env::var("SEED")
        .ok()
        .and_then(|text| text.parse().ok())
    {
        Some(seed) => vec![seed],
        None => (1..=30).collect(),
    };
    for seed in seeds {
        println!("SEED={seed}");
        let mut run = Run::open(seed);
        for _ in 0..STEPS {
            run.step();
        }
        run.settle();
    }
}
