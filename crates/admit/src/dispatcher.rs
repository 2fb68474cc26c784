//! The dispatcher of one entry node: its settings, arrivals and polls.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Arrival;
use crate::Config;
use crate::Decision;
use crate::ExcessPolicy;
use crate::RefusalReason;
use crate::Standing;
use crate::contract_state::ContractState;
use crate::fair_queue::Charge;
use crate::fair_queue::WaitingRequest;
use crate::in_flight::InFlight;
use crate::model_queue::ModelQueue;
use crate::report_round::ReportRound;
use crate::retry::RetryBudget;
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

/// The queue that a waiting request is in.
#[derive(Clone, Debug)]
pub(crate) struct QueueKey {
    pub model: ModelName,
    pub org: base::OrgName,
    pub standing: Standing,
    pub length: Length,
}

/// Decides on the requests that arrive at one entry node.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    pub(crate) cfg: Config,
    pub(crate) router: Router,
    pub(crate) contracts: BTreeMap<ContractName, ContractState>,
    pub(crate) queues: BTreeMap<ModelName, ModelQueue>,
    /// Requests in queues.
    pub(crate) waiting: BTreeMap<RequestId, QueueKey>,
    /// Requests at replicas.
    pub(crate) in_flight: BTreeMap<RequestId, InFlight>,
    pub(crate) retry_budget: RetryBudget,
    /// Decisions that the next poll returns.
    pub(crate) decided: Vec<(RequestId, Decision)>,
    pub(crate) last_poll: Time,
    /// When silent attempts were last searched for.
    pub(crate) last_sweep: Time,
    pub(crate) last_exchange: Time,
    pub(crate) round: ReportRound,
    /// Sequence number of the last demand report.
    pub(crate) sequence: u64,
}

impl Dispatcher {
    /// Creates a dispatcher without contracts and replicas.
    pub fn new(cfg: Config, seed: u64) -> Self {
        let router = Router::new(cfg.route.clone(), seed);
        Self {
            cfg,
            router,
            contracts: BTreeMap::new(),
            queues: BTreeMap::new(),
            waiting: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            retry_budget: RetryBudget::default(),
            decided: Vec::new(),
            last_poll: Time::ZERO,
            last_sweep: Time::ZERO,
            last_exchange: Time::ZERO,
            round: ReportRound::default(),
            sequence: 0,
        }
    }

    /// Replaces the contracts. A contract that stays keeps its usage, and requests that were
    /// already accepted keep the old terms.
    pub fn set_contracts(&mut self, contracts: &[Contract], now: Time) {
        let scale = self.isolated_scale();
        let mut old = std::mem::take(&mut self.contracts);
        for contract in contracts {
            let state = match old.remove(&contract.name) {
                Some(mut state) => {
                    state.set_contract(contract.clone(), now);
                    state
                }
                None => ContractState::new(contract.clone(), scale, now),
            };
            self.contracts.insert(contract.name.clone(), state);
        }
    }

    /// Replaces the replicas that serve a model.
    pub fn set_replicas(&mut self, model: &ModelName, candidates: Vec<Candidate>, now: Time) {
        self.router.set_replicas(model, candidates, now);
    }

    /// Applies a newer load report of a known replica.
    pub fn update_load(&mut self, model: &ModelName, candidate: Candidate, now: Time) {
        self.router.update_load(model, candidate, now);
    }

    /// The router, for figures and for feedback that the dispatcher has no method for.
    pub fn router(&mut self) -> &mut Router {
        &mut self.router
    }

    /// Decides on a new request. If this leads to decisions on other requests, the next poll
    /// returns them.
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
        self.process_queue(&model, now);
        let own = self.decided.iter().position(|(id, _)| *id == request);
        match own {
            Some(at) => self.decided.remove(at).1,
            None => Decision::Queued,
        }
    }

    /// Checks a request against its contract's limits and prepares it for the queue.
    fn accept(&mut self, arrival: &Arrival) -> Result<WaitingRequest, Decision> {
        let now = arrival.now;
        let Some(state) = self.contracts.get_mut(&arrival.contract) else {
            return Err(refuse(RefusalReason::NoContract, Duration::ZERO));
        };
        let contract = &state.contract;
        let queue = self.queues.entry(contract.model.clone()).or_default();
        let estimated_tokens = state.estimated_tokens(arrival.max_tokens);
        let work = crate::length::work(arrival.prompt, estimated_tokens);
        queue.work_median.add(work);
        let length = queue.work_median.classify(work, self.cfg.long_factor);
        let charge = match take_limits(state, estimated_tokens, now) {
            Ok(()) => Charge::Counted,
            Err(refusal) => match self.cfg.excess_policy {
                ExcessPolicy::Refuse => return Err(refusal),
                ExcessPolicy::UseSpare => Charge::Uncounted,
            },
        };
        let contract = &state.contract;
        let weight = f64::from(contract.weight.max(1));
        let is_within_share =
            charge == Charge::Counted && queue.shares.take_share(&contract.org, weight, work, now);
        let standing = if is_within_share {
            Standing::Within
        } else {
            queue.record_excess(work, now);
            Standing::Beyond
        };
        Ok(WaitingRequest {
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
            estimated_tokens,
            token_rate: contract.token_rate,
            arrived: now,
            due: now + state.first_token_limit(),
            queue_until: now + state.max_queue_time(standing),
            delivered: TokenCount(0),
            avoid: None,
            failed_attempts: 0,
        })
    }

    /// Adds a request to its queue, ordered by the time its first token is due.
    pub(crate) fn enqueue(&mut self, waiting: WaitingRequest) {
        self.record_queue_key(&waiting);
        let queue = self.queues.entry(waiting.model.clone()).or_default();
        queue.fair_queue_of(&waiting).push(waiting);
    }

    /// Puts a request at the head of its organisation's queue.
    pub(crate) fn enqueue_first(&mut self, waiting: WaitingRequest) {
        self.record_queue_key(&waiting);
        let queue = self.queues.entry(waiting.model.clone()).or_default();
        queue.fair_queue_of(&waiting).push_front(waiting);
    }

    fn record_queue_key(&mut self, waiting: &WaitingRequest) {
        let key = QueueKey {
            model: waiting.model.clone(),
            org: waiting.org.clone(),
            standing: waiting.standing,
            length: waiting.length,
        };
        self.waiting.insert(waiting.request, key);
    }

    /// Decides on waiting requests, treats silent attempts as lost, and returns all decisions
    /// since the last poll.
    pub fn poll(&mut self, now: Time) -> Vec<(RequestId, Decision)> {
        self.last_poll = now;
        self.isolate_if_stale(now);
        self.fail_silent_attempts(now);
        let models: Vec<_> = self.queues.keys().cloned().collect();
        for model in models {
            self.process_queue(&model, now);
        }
        std::mem::take(&mut self.decided)
    }

    /// When the next poll is due.
    pub fn next_poll(&self) -> Time {
        if !self.decided.is_empty() {
            return self.last_poll;
        }
        if !self.waiting.is_empty() {
            return self.last_poll + self.cfg.poll_interval;
        }
        if !self.in_flight.is_empty() {
            return self.last_sweep + SWEEP_INTERVAL;
        }
        Time::NEVER
    }

    /// Number of requests that wait at this node.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Number of requests that this node has at replicas.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// The fallback model of a contract, if it has one.
    pub(crate) fn fallback_model(&self, contract: &ContractName) -> Option<ModelName> {
        let state = self.contracts.get(contract)?;
        match &state.contract.overflow {
            Overflow::Model(model) => Some(model.clone()),
            Overflow::Refuse | Overflow::Wait(_) => None,
        }
    }
}

/// Time between two searches for silent attempts.
pub(crate) const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Counts a request against the limits of its contract.
fn take_limits(
    state: &mut ContractState,
    estimated_tokens: f64,
    now: Time,
) -> Result<(), Decision> {
    if !state.requests.take(1.0, now) {
        let wait = state.requests.wait();
        return Err(refuse(
            RefusalReason::RequestRate,
            state.retry_after(wait, now),
        ));
    }
    if !state.tokens.take(estimated_tokens, now) {
        state.requests.charge(-1.0);
        let wait = state.tokens.wait();
        return Err(refuse(
            RefusalReason::TokenRate,
            state.retry_after(wait, now),
        ));
    }
    Ok(())
}

/// A decision to refuse a request.
pub(crate) fn refuse(reason: RefusalReason, retry_after: Duration) -> Decision {
    Decision::Refuse {
        reason,
        retry_after,
    }
}

/// Added to the priority value of long requests. A lower value is more urgent.
const LONG_PRIORITY_OFFSET: u8 = 128;
/// Added to the priority value of requests beyond their contracts.
const BEYOND_PRIORITY_OFFSET: u8 = 64;

/// The priority at the engine: short requests before long ones, then requests within their
/// contracts before those beyond, then by the contract's priority.
pub(crate) fn engine_priority(contract: Priority, standing: Standing, length: Length) -> Priority {
    let long = match length {
        Length::Short => 0,
        Length::Long => LONG_PRIORITY_OFFSET,
    };
    let beyond = match standing {
        Standing::Within => 0,
        Standing::Beyond => BEYOND_PRIORITY_OFFSET,
    };
    Priority(contract.0.min(BEYOND_PRIORITY_OFFSET - 1) + long + beyond)
}
