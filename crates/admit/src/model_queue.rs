//! The waiting and running requests of one model at one node.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Config;
use crate::fair_queue::FairQueue;
use crate::fair_queue::WaitingRequest;
use crate::fair_shares::FairShares;
use crate::fill_limit::FillLimit;
use crate::length::WorkMedian;
use crate::rate::Rate;
use base::Time;
use route::Length;
use route::ReplicaSlice;
use route::Standing;

/// Weight of one answer in the average time that a request holds a slot.
const RESIDENCE_WEIGHT: f64 = 0.05;
/// The lowest start rate that is assumed, in requests per second, so that expected waits are
/// finite.
const MIN_START_RATE: f64 = 1e-3;
/// The part of freed slots that requests within contracts get at least.
const MIN_WITHIN_SHARE: f64 = 0.4;
/// Long requests beyond contracts may fill replicas less than other work beyond contracts, by
/// this share of the slots.
const LONG_SPARE_MARGIN: f64 = 0.25;
/// Averaging time of the demand beyond contracts.
const EXCESS_AVERAGING_TIME: Duration = Duration::from_secs(2);

/// The waiting and running requests of one model at one node, with the figures by which
/// waiting times are predicted and capacity is divided.
#[derive(Clone, Debug)]
pub(crate) struct ModelQueue {
    queues: BTreeMap<(Standing, Length), FairQueue>,
    /// Number of running requests of each kind.
    /// Number of running requests of each kind.
    running: BTreeMap<(Standing, Length), u32>,
    /// Average time that a request of each length holds a slot, in seconds.
    residence_secs: BTreeMap<Length, f64>,
    /// Recent rate of requests sent of each kind, in requests per second.
    send_rates: BTreeMap<(Standing, Length), Rate>,
    pub work_median: WorkMedian,
    /// The organisations' fair shares of the capacity of all nodes.
    pub shares: FairShares,
    /// This node's part of the slots for long requests.
    pub long_share: f64,
    /// Demand beyond contracts, in generated tokens per second.
    excess: Rate,
    /// The replicas to which this node may send work beyond contracts, once divided.
    pub slice: Option<ReplicaSlice>,
    /// How far replicas may be filled with work beyond contracts.
    pub spare_fill: FillLimit,
    /// How far replicas may be filled with short requests within contracts.
    pub within_fill: FillLimit,
}

impl Default for ModelQueue {
    fn default() -> Self {
        Self {
            queues: BTreeMap::new(),
            running: BTreeMap::new(),
            residence_secs: BTreeMap::new(),
            send_rates: BTreeMap::new(),
            work_median: WorkMedian::default(),
            shares: FairShares::default(),
            long_share: 1.0,
            excess: Rate::default(),
            slice: None,
            spare_fill: FillLimit::for_spare(),
            within_fill: FillLimit::for_within(),
        }
    }
}

/// Averaging time of the send rate of requests of a length.
fn averaging_time(length: Length) -> Duration {
    match length {
        Length::Short => Duration::from_millis(500),
        Length::Long => Duration::from_secs(3),
    }
}

impl ModelQueue {
    pub fn fair_queue(&mut self, standing: Standing, length: Length) -> &mut FairQueue {
        self.queues.entry((standing, length)).or_default()
    }

    pub fn fair_queue_of(&mut self, waiting: &WaitingRequest) -> &mut FairQueue {
        self.fair_queue(waiting.standing, waiting.length)
    }

    /// Counts demand beyond contracts, in generated tokens.
    pub fn record_excess(&mut self, work: f64, now: Time) {
        self.excess.add(work, EXCESS_AVERAGING_TIME, now);
    }

    /// Demand beyond contracts, in generated tokens per second.
    pub fn excess_demand(&self, now: Time) -> f64 {
        self.excess.get(EXCESS_AVERAGING_TIME, now)
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.queues.values().map(FairQueue::len).sum()
    }

    /// Number of waiting requests of a length.
    pub fn waiting_count(&self, length: Length) -> usize {
        let queues = self.queues.iter().filter(|((_, l), _)| *l == length);
        queues.map(|(_, queue)| queue.len()).sum()
    }

    /// Number of running requests of a length.
    pub fn running_count(&self, length: Length) -> u32 {
        let of_length = self.running.iter().filter(|((_, l), _)| *l == length);
        of_length.map(|(_, count)| *count).sum()
    }

    /// Counts a request as running.
    pub fn record_started(&mut self, waiting: &WaitingRequest) {
        *self.running.entry(waiting.kind()).or_default() += 1;
    }

    /// No longer counts a request as running.
    pub fn record_ended(&mut self, waiting: &WaitingRequest) {
        let running = self.running.entry(waiting.kind()).or_default();
        *running = running.saturating_sub(1);
    }

    /// Records how long a request held its slot.
    pub fn record_residence(&mut self, length: Length, span: Duration) {
        let seconds = span.as_secs_f64();
        let residence_secs = self.residence_secs.entry(length).or_insert(seconds);
        *residence_secs += RESIDENCE_WEIGHT * (seconds - *residence_secs);
    }

    /// Records the time to a first token, as a fraction of the time allowed. Only short requests
    /// within contracts adjust the fill limits.
    pub fn record_first_token(&mut self, waiting: &WaitingRequest, fraction: f64, cfg: &Config) {
        if waiting.kind() == (Standing::Within, Length::Short) {
            self.spare_fill
                .record_first_token(fraction, cfg.beyond_short.fill);
            self.within_fill
                .record_first_token(fraction, cfg.within_short.fill);
        }
    }

    /// Records the refusal of a request. If it was short and within its contract, replicas are
    /// filled less with work beyond contracts.
    pub fn record_refusal(&mut self, waiting: &WaitingRequest, cfg: &Config) {
        if waiting.kind() == (Standing::Within, Length::Short) {
            self.spare_fill
                .record_first_token(1.0, cfg.beyond_short.fill);
        }
    }

    /// The largest fill of a replica to which a request may be sent, at most `config_max`.
    pub fn max_fill(&self, waiting: &WaitingRequest, config_max: f64) -> f64 {
        match waiting.kind() {
            (Standing::Within, Length::Short) => self.within_fill.get(config_max),
            (Standing::Within, Length::Long) => config_max,
            (Standing::Beyond, Length::Short) => self.spare_fill.get(config_max),
            (Standing::Beyond, Length::Long) => {
                (self.spare_fill.get(1.0) - LONG_SPARE_MARGIN).min(config_max)
            }
        }
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, waiting: &WaitingRequest, now: Time) {
        self.shares.record_sent(waiting.work(), now);
        let rate = self.send_rates.entry(waiting.kind()).or_default();
        rate.add(1.0, averaging_time(waiting.length), now);
    }

    /// Requests that this node can start per second, from the recent send rate. For requests
    /// within contracts it is at most the rate at which slots become free, which by Little's
    /// law is the number of running requests over the time that each holds its slot, and at
    /// least a part of that rate.
    pub fn start_rate(&self, standing: Standing, length: Length, now: Time) -> f64 {
        let sent = self.send_rates.get(&(standing, length));
        let sent = sent.map_or(0.0, |rate| rate.get(averaging_time(length), now));
        let rate = match standing {
            Standing::Within => {
                let residence_secs = self.residence_secs.get(&length).copied().unwrap_or(1.0);
                let freed_rate =
                    f64::from(self.running_count(length)).max(0.5) / residence_secs.max(1e-3);
                sent.clamp(MIN_WITHIN_SHARE * freed_rate, freed_rate)
            }
            Standing::Beyond => sent,
        };
        rate.max(MIN_START_RATE)
    }

    /// Expected time until a new request would be sent, in seconds.
    pub fn expected_wait(&self, waiting: &WaitingRequest, now: Time) -> f64 {
        let start_rate = self.start_rate(waiting.standing, waiting.length, now);
        let preceding = match waiting.standing {
            Standing::Within => 0.0,
            Standing::Beyond => self.len_within(waiting.length) + 1.0,
        };
        let queue = self.queues.get(&(waiting.standing, waiting.length));
        let ahead = queue.map_or(0.0, |queue| queue.count_ahead(waiting));
        (preceding + ahead) / start_rate
    }

    /// Number of waiting requests of a length within contracts.
    fn len_within(&self, length: Length) -> f64 {
        let queue = self.queues.get(&(Standing::Within, length));
        queue.map_or(0.0, |queue| queue.len() as f64)
    }

    /// Removes and returns the requests that can no longer be answered in time. `is_late` is
    /// given a request and the expected seconds until it would be sent.
    pub fn take_late(
        &mut self,
        now: Time,
        mut is_late: impl FnMut(&WaitingRequest, f64) -> bool,
    ) -> Vec<WaitingRequest> {
        let mut late = Vec::new();
        for length in [Length::Short, Length::Long] {
            let mut preceding = 0.0;
            for standing in [Standing::Within, Standing::Beyond] {
                let start_rate = self.start_rate(standing, length, now);
                let Some(queue) = self.queues.get_mut(&(standing, length)) else {
                    continue;
                };
                let keep =
                    |w: &WaitingRequest, ahead: f64| !is_late(w, (preceding + ahead) / start_rate);
                late.extend(queue.retain_in_order(keep));
                preceding += queue.len() as f64 + 1.0;
            }
        }
        late
    }
}
