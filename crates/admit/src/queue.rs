//! What waits and runs of one model at this node.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Config;
use crate::headroom::Headroom;
use crate::lane::Lane;
use crate::lane::Waiting;
use crate::length::Usual;
use crate::rate::Rate;
use crate::shares::Shares;
use base::Time;
use route::Length;
use route::ReplicaSlice;
use route::Standing;

/// Weight of one answer in the mean time that a request holds a slot.
const LEARN: f64 = 0.05;
/// Requests a second that are assumed at least, so that a wait is a finite time.
const SLOWEST: f64 = 1e-3;
/// Part of the slots that come free that work within contracts gets at least.
const LEAST_PART: f64 = 0.4;
/// Share of the slots that long lent work leaves below what lent work may fill.
const LONG_MARGIN: f64 = 0.25;
/// Time over which demand beyond the contracts is averaged.
const DEMAND: Duration = Duration::from_secs(2);

/// What waits and runs of one model at this node.
#[derive(Clone, Debug)]
pub(crate) struct Queue {
    lanes: BTreeMap<(Standing, Length), Lane>,
    running: BTreeMap<(Standing, Length), u32>,
    /// Seconds that a request of a length holds a slot.
    residence: BTreeMap<Length, f64>,
    /// Requests beyond the contracts sent a second, of late.
    flow: BTreeMap<(Standing, Length), Rate>,
    pub usual: Usual,
    /// Fair shares over all nodes.
    pub shares: Shares,
    /// This node's part of all nodes' long work.
    pub long_share: f64,
    /// Work beyond the contracts that is asked for a second, in generated tokens.
    beyond: Rate,
    /// The replicas that this node lends on.
    pub slice: Option<ReplicaSlice>,
    /// How far replicas are filled with lent work.
    pub lent: Headroom,
    /// How far replicas are filled with short work within contracts.
    pub within: Headroom,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            lanes: BTreeMap::new(),
            running: BTreeMap::new(),
            residence: BTreeMap::new(),
            flow: BTreeMap::new(),
            usual: Usual::default(),
            shares: Shares::default(),
            long_share: 1.0,
            beyond: Rate::default(),
            slice: None,
            lent: Headroom::lent(),
            within: Headroom::within(),
        }
    }
}

/// Time over which the flow of a length is averaged.
fn span(length: Length) -> Duration {
    match length {
        Length::Short => Duration::from_millis(500),
        Length::Long => Duration::from_secs(3),
    }
}

impl Queue {
    pub fn lane(&mut self, standing: Standing, length: Length) -> &mut Lane {
        self.lanes.entry((standing, length)).or_default()
    }

    pub fn lane_of(&mut self, waiting: &Waiting) -> &mut Lane {
        self.lane(waiting.standing, waiting.length)
    }

    /// Counts work beyond the contracts that was asked for.
    pub fn ask_beyond(&mut self, work: f64, now: Time) {
        self.beyond.add(work, DEMAND, now);
    }

    /// Work beyond the contracts that is asked for a second.
    pub fn beyond(&self, now: Time) -> f64 {
        self.beyond.get(DEMAND, now)
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.lanes.values().map(Lane::len).sum()
    }

    /// Requests of a length that wait.
    pub fn waiting(&self, length: Length) -> usize {
        let lanes = self.lanes.iter().filter(|((_, l), _)| *l == length);
        lanes.map(|(_, lane)| lane.len()).sum()
    }

    /// Requests of a length that run.
    pub fn running(&self, length: Length) -> u32 {
        let of_length = self.running.iter().filter(|((_, l), _)| *l == length);
        of_length.map(|(_, count)| *count).sum()
    }

    pub fn started(&mut self, waiting: &Waiting) {
        *self.running.entry(waiting.kind()).or_default() += 1;
    }

    pub fn ended(&mut self, waiting: &Waiting) {
        let running = self.running.entry(waiting.kind()).or_default();
        *running = running.saturating_sub(1);
    }

    /// Learns how long a request held its slot.
    pub fn held(&mut self, length: Length, span: Duration) {
        let seconds = span.as_secs_f64();
        let residence = self.residence.entry(length).or_insert(seconds);
        *residence += LEARN * (seconds - *residence);
    }

    /// Takes the part of the time allowed that a first token took.
    pub fn observe(&mut self, waiting: &Waiting, part: f64, cfg: &Config) {
        if waiting.kind() == (Standing::Within, Length::Short) {
            self.lent.observe(part, cfg.beyond_short.fill);
            self.within.observe(part, cfg.within_short.fill);
        }
    }

    /// Takes the refusal of a request within its contract.
    pub fn observe_refusal(&mut self, waiting: &Waiting, cfg: &Config) {
        if waiting.kind() == (Standing::Within, Length::Short) {
            self.lent.observe(1.0, cfg.beyond_short.fill);
        }
    }

    /// How full a replica may be for a request to go there.
    pub fn fill(&self, waiting: &Waiting, most: f64) -> f64 {
        match waiting.kind() {
            (Standing::Within, Length::Short) => self.within.fill(most),
            (Standing::Within, Length::Long) => most,
            (Standing::Beyond, Length::Short) => self.lent.fill(most),
            (Standing::Beyond, Length::Long) => (self.lent.fill(1.0) - LONG_MARGIN).min(most),
        }
    }

    /// Counts a request that was sent.
    pub fn sent(&mut self, waiting: &Waiting, now: Time) {
        self.shares.sent(waiting.work(), now);
        let flow = self.flow.entry(waiting.kind()).or_default();
        flow.add(1.0, span(waiting.length), now);
    }

    /// Requests that this node can start a second: as many as it started of late. Work
    /// within its contract may take every slot that comes free, by Little's law what runs
    /// over how long it runs, and gets a part of that at least.
    pub fn drain(&self, standing: Standing, length: Length, now: Time) -> f64 {
        let flow = self.flow.get(&(standing, length));
        let flow = flow.map_or(0.0, |flow| flow.get(span(length), now));
        let rate = match standing {
            Standing::Within => {
                let residence = self.residence.get(&length).copied().unwrap_or(1.0);
                let free = f64::from(self.running(length)).max(0.5) / residence.max(1e-3);
                flow.clamp(LEAST_PART * free, free)
            }
            Standing::Beyond => flow,
        };
        rate.max(SLOWEST)
    }

    /// Seconds until a new request would be sent.
    pub fn wait(&self, waiting: &Waiting, now: Time) -> f64 {
        let drain = self.drain(waiting.standing, waiting.length, now);
        let first = match waiting.standing {
            Standing::Within => 0.0,
            Standing::Beyond => self.len_within(waiting.length) + 1.0,
        };
        let lane = self.lanes.get(&(waiting.standing, waiting.length));
        let ahead = lane.map_or(0.0, |lane| lane.ahead(waiting));
        (first + ahead) / drain
    }

    fn len_within(&self, length: Length) -> f64 {
        let lane = self.lanes.get(&(Standing::Within, length));
        lane.map_or(0.0, |lane| lane.len() as f64)
    }

    /// Takes out the requests that can no longer be answered in time. `is_hopeless` is
    /// given the request and the seconds until it would be sent.
    pub fn take_hopeless(
        &mut self,
        now: Time,
        mut is_hopeless: impl FnMut(&Waiting, f64) -> bool,
    ) -> Vec<Waiting> {
        let mut taken = Vec::new();
        for length in [Length::Short, Length::Long] {
            let mut first = 0.0;
            for standing in [Standing::Within, Standing::Beyond] {
                let drain = self.drain(standing, length, now);
                let Some(lane) = self.lanes.get_mut(&(standing, length)) else {
                    continue;
                };
                let keep = |w: &Waiting, ahead: f64| !is_hopeless(w, (first + ahead) / drain);
                taken.extend(lane.retain(keep));
                first += lane.len() as f64 + 1.0;
            }
        }
        taken
    }
}
