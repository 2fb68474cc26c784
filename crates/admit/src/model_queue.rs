//! What waits and runs of one model at this node.

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
use route::Slice;
use route::Standing;

/// Weight of one answer in the mean time that a request holds a slot.
const RESIDENCE_WEIGHT: f64 = 0.05;
/// Requests a second that are assumed at least, so that a wait is a finite time.
const MIN_START_RATE: f64 = 1e-3;
/// Part of the slots that come free that work within contracts gets at least.
const MIN_WITHIN_SHARE: f64 = 0.4;
/// Share of the slots that long lent work leaves below what lent work may fill.
const LONG_SPARE_MARGIN: f64 = 0.25;
/// Time over which demand beyond the contracts is averaged.
const EXCESS_AVERAGING_TIME: Duration = Duration::from_secs(2);

/// What waits and runs of one model at this node.
#[derive(Clone, Debug)]
pub(crate) struct ModelQueue {
    queues: BTreeMap<(Standing, Length), FairQueue>,
    running: BTreeMap<(Standing, Length), u32>,
    /// Seconds that a request of a length holds a slot.
    residence_secs: BTreeMap<Length, f64>,
    /// Requests beyond the contracts sent a second, of late.
    send_rates: BTreeMap<(Standing, Length), Rate>,
    pub work_median: WorkMedian,
    /// Fair shares over all nodes.
    pub shares: FairShares,
    /// This node's part of all nodes' long work.
    pub long_share: f64,
    /// Work beyond the contracts that is asked for a second, in generated tokens.
    excess: Rate,
    /// The replicas that this node lends on.
    pub slice: Option<Slice>,
    /// How far replicas are filled with lent work.
    pub spare_fill: FillLimit,
    /// How far replicas are filled with short work within contracts.
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

/// Time over which the send_rates of a length is averaged.
fn averaging_time(length: Length) -> Duration {
    match length {
        Length::Short => Duration::from_millis(500),
        Length::Long => Duration::from_secs(3),
    }
}

impl ModelQueue {
    pub fn queue(&mut self, standing: Standing, length: Length) -> &mut FairQueue {
        self.queues.entry((standing, length)).or_default()
    }

    pub fn queue_of(&mut self, waiting: &WaitingRequest) -> &mut FairQueue {
        self.queue(waiting.standing, waiting.length)
    }

    /// Counts work beyond the contracts that was asked for.
    pub fn record_excess(&mut self, work: f64, now: Time) {
        self.excess.add(work, EXCESS_AVERAGING_TIME, now);
    }

    /// Work beyond the contracts that is asked for a second.
    pub fn excess_demand(&self, now: Time) -> f64 {
        self.excess.get(EXCESS_AVERAGING_TIME, now)
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.queues.values().map(FairQueue::len).sum()
    }

    /// Requests of a length that wait.
    pub fn waiting_count(&self, length: Length) -> usize {
        let queues = self.queues.iter().filter(|((_, l), _)| *l == length);
        queues.map(|(_, queue)| queue.len()).sum()
    }

    /// Requests of a length that run.
    pub fn running_count(&self, length: Length) -> u32 {
        let of_length = self.running.iter().filter(|((_, l), _)| *l == length);
        of_length.map(|(_, count)| *count).sum()
    }

    pub fn record_started(&mut self, waiting: &WaitingRequest) {
        *self.running.entry(waiting.kind()).or_default() += 1;
    }

    pub fn record_ended(&mut self, waiting: &WaitingRequest) {
        let running = self.running.entry(waiting.kind()).or_default();
        *running = running.saturating_sub(1);
    }

    /// Learns how long a request held its slot.
    pub fn record_residence(&mut self, length: Length, span: Duration) {
        let seconds = span.as_secs_f64();
        let residence_secs = self.residence_secs.entry(length).or_insert(seconds);
        *residence_secs += RESIDENCE_WEIGHT * (seconds - *residence_secs);
    }

    /// Takes the part of the time allowed that a first token took.
    pub fn record_first_token(&mut self, waiting: &WaitingRequest, part: f64, cfg: &Config) {
        if waiting.kind() == (Standing::Within, Length::Short) {
            self.spare_fill
                .record_first_token(part, cfg.beyond_short.fill);
            self.within_fill
                .record_first_token(part, cfg.within_short.fill);
        }
    }

    /// Takes the refusal of a request within its contract.
    pub fn record_refusal(&mut self, waiting: &WaitingRequest, cfg: &Config) {
        if waiting.kind() == (Standing::Within, Length::Short) {
            self.spare_fill
                .record_first_token(1.0, cfg.beyond_short.fill);
        }
    }

    /// How full a replica may be for a request to go there.
    pub fn max_fill(&self, waiting: &WaitingRequest, most: f64) -> f64 {
        match waiting.kind() {
            (Standing::Within, Length::Short) => self.within_fill.get(most),
            (Standing::Within, Length::Long) => most,
            (Standing::Beyond, Length::Short) => self.spare_fill.get(most),
            (Standing::Beyond, Length::Long) => {
                (self.spare_fill.get(1.0) - LONG_SPARE_MARGIN).min(most)
            }
        }
    }

    /// Counts a request that was sent.
    pub fn record_sent(&mut self, waiting: &WaitingRequest, now: Time) {
        self.shares.record_sent(waiting.work(), now);
        let rate = self.send_rates.entry(waiting.kind()).or_default();
        rate.add(1.0, averaging_time(waiting.length), now);
    }

    /// Requests that this node can start a second: as many as it started of late. Work
    /// within its contract may take every slot that comes free, by Little's law what runs
    /// over how long it runs, and gets a part of that at least.
    pub fn start_rate(&self, standing: Standing, length: Length, now: Time) -> f64 {
        let sent = self.send_rates.get(&(standing, length));
        let sent = sent.map_or(0.0, |rate| rate.get(averaging_time(length), now));
        let rate = match standing {
            Standing::Within => {
                let residence_secs = self.residence_secs.get(&length).copied().unwrap_or(1.0);
                let free =
                    f64::from(self.running_count(length)).max(0.5) / residence_secs.max(1e-3);
                sent.clamp(MIN_WITHIN_SHARE * free, free)
            }
            Standing::Beyond => sent,
        };
        rate.max(MIN_START_RATE)
    }

    /// Seconds until a new request would be sent.
    pub fn expected_wait(&self, waiting: &WaitingRequest, now: Time) -> f64 {
        let start_rate = self.start_rate(waiting.standing, waiting.length, now);
        let first = match waiting.standing {
            Standing::Within => 0.0,
            Standing::Beyond => self.len_within(waiting.length) + 1.0,
        };
        let queue = self.queues.get(&(waiting.standing, waiting.length));
        let ahead = queue.map_or(0.0, |queue| queue.count_ahead(waiting));
        (first + ahead) / start_rate
    }

    fn len_within(&self, length: Length) -> f64 {
        let queue = self.queues.get(&(Standing::Within, length));
        queue.map_or(0.0, |queue| queue.len() as f64)
    }

    /// Takes out the requests that can no longer be answered in time. `is_late` is
    /// given the request and the seconds until it would be sent.
    pub fn take_late(
        &mut self,
        now: Time,
        mut is_late: impl FnMut(&WaitingRequest, f64) -> bool,
    ) -> Vec<WaitingRequest> {
        let mut taken = Vec::new();
        for length in [Length::Short, Length::Long] {
            let mut first = 0.0;
            for standing in [Standing::Within, Standing::Beyond] {
                let start_rate = self.start_rate(standing, length, now);
                let Some(queue) = self.queues.get_mut(&(standing, length)) else {
                    continue;
                };
                let keep =
                    |w: &WaitingRequest, ahead: f64| !is_late(w, (first + ahead) / start_rate);
                taken.extend(queue.retain_in_order(keep));
                first += queue.len() as f64 + 1.0;
            }
        }
        taken
    }
}
