//! The dispatcher of one entry node: arrivals and the calls around them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Arrival;
use crate::Config;
use crate::Decision;
use crate::ExcessPolicy;
use crate::RefusalReason;
use crate::Standing;
use crate::flight::Flight;
use crate::lane::Charge;
use crate::lane::Waiting;
use crate::queue::Queue;
use crate::retry::RetryBudget;
use crate::round::Round;
use crate::terms::Terms;
use base::Contract;
use base::ContractName;
use base::ModelName;
use base::Overflow;
use base::Priority;
use base::RequestId;
use base::Time;
use base::TokenCount;
use route::Candidate;
use route::Length;
use route::Router;

/// Where a request that waits stands.
#[derive(Clone, Debug)]
pub(crate) struct Spot {
    pub model: ModelName,
    pub org: base::OrgName,
    pub standing: Standing,
    pub length: Length,
}

/// The dispatcher of one entry node.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    pub(crate) cfg: Config,
    pub(crate) router: Router,
    pub(crate) terms: BTreeMap<ContractName, Terms>,
    pub(crate) queues: BTreeMap<ModelName, Queue>,
    pub(crate) spots: BTreeMap<RequestId, Spot>,
    pub(crate) flights: BTreeMap<RequestId, Flight>,
    pub(crate) retries: RetryBudget,
    /// Decisions that wait for the next poll.
    pub(crate) decided: Vec<(RequestId, Decision)>,
    pub(crate) polled: Time,
    pub(crate) swept: Time,
    pub(crate) exchanged: Time,
    pub(crate) round: Round,
    pub(crate) sequence: u64,
}

impl Dispatcher {
    /// A dispatcher that knows no contract and no replica yet.
    pub fn new(cfg: Config, seed: u64) -> Self {
        let router = Router::open(cfg.route.clone(), seed);
        Self {
            cfg,
            router,
            terms: BTreeMap::new(),
            queues: BTreeMap::new(),
            spots: BTreeMap::new(),
            flights: BTreeMap::new(),
            retries: RetryBudget::default(),
            decided: Vec::new(),
            polled: Time::ZERO,
            swept: Time::ZERO,
            exchanged: Time::ZERO,
            round: Round::default(),
            sequence: 0,
        }
    }

    /// Puts a version of the contracts in force. What was used of a contract that stays
    /// remains used, and requests already taken keep their terms.
    pub fn set_contracts(&mut self, contracts: &[Contract], now: Time) {
        let scale = self.alone_scale();
        let mut old = std::mem::take(&mut self.terms);
        for contract in contracts {
            let terms = match old.remove(&contract.name) {
                Some(mut terms) => {
                    terms.set(contract.clone(), now);
                    terms
                }
                None => Terms::open(contract.clone(), scale, now),
            };
            self.terms.insert(contract.name.clone(), terms);
        }
    }

    /// Replaces the replicas that serve a model.
    pub fn set_replicas(&mut self, model: &ModelName, candidates: Vec<Candidate>, now: Time) {
        self.router.replicas(model, candidates, now);
    }

    /// Takes one newer load report of a known replica.
    pub fn update_load(&mut self, model: &ModelName, candidate: Candidate, now: Time) {
        self.router.report(model, candidate, now);
    }

    /// The router, for its feedback that has no other way in and for figures.
    pub fn router(&mut self) -> &mut Router {
        &mut self.router
    }

    /// Decides on a request. Decisions on others that this brings about come with the
    /// next poll.
    pub fn handle_arrival(&mut self, arrival: Arrival) -> Decision {
        let now = arrival.now;
        self.isolate_if_stale(now);
        let waiting = match self.accept(&arrival) {
            Ok(waiting) => waiting,
            Err(refusal) => return refusal,
        };
        let request = waiting.request;
        let model = waiting.model.clone();
        self.enqueue(waiting);
        self.pump(&model, now);
        let mine = self.decided.iter().position(|(id, _)| *id == request);
        match mine {
            Some(at) => self.decided.remove(at).1,
            None => Decision::Queued,
        }
    }

    /// Checks the contract and its limits.
    fn accept(&mut self, arrival: &Arrival) -> Result<Waiting, Decision> {
        let now = arrival.now;
        let Some(terms) = self.terms.get_mut(&arrival.contract) else {
            return Err(refuse(RefusalReason::NoContract, Duration::ZERO));
        };
        let contract = &terms.contract;
        let queue = self.queues.entry(contract.model.clone()).or_default();
        let estimate = terms.estimate(arrival.max_tokens);
        let work = crate::length::work(arrival.prompt, estimate);
        queue.usual.add(work);
        let length = queue.usual.classify(work, self.cfg.long_factor);
        let charge = match take_limits(terms, estimate, now) {
            Ok(()) => Charge::Counted,
            Err(refusal) => match self.cfg.excess_policy {
                ExcessPolicy::Refuse => return Err(refusal),
                ExcessPolicy::UseSpare => Charge::Free,
            },
        };
        let contract = &terms.contract;
        let weight = f64::from(contract.weight.max(1));
        let is_fair =
            charge == Charge::Counted && queue.shares.ask(&contract.org, weight, work, now);
        let standing = if is_fair {
            Standing::Within
        } else {
            queue.ask_beyond(work, now);
            Standing::Beyond
        };
        Ok(Waiting {
            request: arrival.request,
            contract: arrival.contract.clone(),
            org: contract.org.clone(),
            weight,
            model: contract.model.clone(),
            standing,
            charge,
            length,
            priority: engine_priority(contract.priority, standing, length),
            prompt: arrival.prompt,
            max_tokens: arrival.max_tokens,
            prefix: arrival.prefix,
            estimate,
            token_rate: contract.token_rate,
            arrived: now,
            due: now + terms.allowed(),
            leaves: now + terms.patience(standing),
            from: TokenCount(0),
            avoid: None,
            attempts: 0,
        })
    }

    /// Puts a request at the end of its line.
    pub(crate) fn enqueue(&mut self, waiting: Waiting) {
        self.note_spot(&waiting);
        let queue = self.queues.entry(waiting.model.clone()).or_default();
        queue.lane_of(&waiting).push(waiting);
    }

    /// Puts a request at the head of its line.
    pub(crate) fn enqueue_first(&mut self, waiting: Waiting) {
        self.note_spot(&waiting);
        let queue = self.queues.entry(waiting.model.clone()).or_default();
        queue.lane_of(&waiting).push_front(waiting);
    }

    fn note_spot(&mut self, waiting: &Waiting) {
        let spot = Spot {
            model: waiting.model.clone(),
            org: waiting.org.clone(),
            standing: waiting.standing,
            length: waiting.length,
        };
        self.spots.insert(waiting.request, spot);
    }

    /// Decides on requests that wait, and finds attempts that fell silent.
    pub fn poll(&mut self, now: Time) -> Vec<(RequestId, Decision)> {
        self.polled = now;
        self.isolate_if_stale(now);
        self.sweep_if_due(now);
        let models: Vec<_> = self.queues.keys().cloned().collect();
        for model in models {
            self.pump(&model, now);
        }
        std::mem::take(&mut self.decided)
    }

    /// When the next poll is due.
    pub fn next_poll(&self) -> Time {
        if !self.decided.is_empty() {
            return self.polled;
        }
        if !self.spots.is_empty() {
            return self.polled + self.cfg.poll_interval;
        }
        if !self.flights.is_empty() {
            return self.swept + SWEEP;
        }
        Time::NEVER
    }

    /// Requests that wait at this node.
    pub fn waiting_count(&self) -> usize {
        self.spots.len()
    }

    /// Requests at replicas.
    pub fn in_flight_count(&self) -> usize {
        self.flights.len()
    }

    /// The model that a request falls back on.
    pub(crate) fn other_model(&self, contract: &ContractName) -> Option<ModelName> {
        let terms = self.terms.get(contract)?;
        match &terms.contract.overflow {
            Overflow::Model(model) => Some(model.clone()),
            Overflow::Refuse | Overflow::Wait(_) => None,
        }
    }
}

/// Time between two looks for attempts that fell silent.
pub(crate) const SWEEP: Duration = Duration::from_secs(1);

/// Counts a request against the limits of its contract.
fn take_limits(terms: &mut Terms, estimate: f64, now: Time) -> Result<(), Decision> {
    if !terms.requests.take(1.0, now) {
        let wait = terms.requests.wait();
        return Err(refuse(
            RefusalReason::RequestRate,
            terms.come_back(wait, now),
        ));
    }
    if !terms.tokens.take(estimate, now) {
        terms.requests.charge(-1.0);
        let wait = terms.tokens.wait();
        return Err(refuse(RefusalReason::TokenRate, terms.come_back(wait, now)));
    }
    Ok(())
}

pub(crate) fn refuse(reason: RefusalReason, retry_after: Duration) -> Decision {
    Decision::Refuse {
        reason,
        retry_after,
    }
}

/// The band of priorities for long requests.
const LONG_BAND: u8 = 128;
/// The band of priorities for requests beyond their contracts.
const BEYOND_BAND: u8 = 64;

/// Short goes before long, within before beyond, then by the contract.
pub(crate) fn engine_priority(contract: Priority, standing: Standing, length: Length) -> Priority {
    let long = match length {
        Length::Short => 0,
        Length::Long => LONG_BAND,
    };
    let beyond = match standing {
        Standing::Within => 0,
        Standing::Beyond => BEYOND_BAND,
    };
    Priority(contract.0.min(BEYOND_BAND - 1) + long + beyond)
}
