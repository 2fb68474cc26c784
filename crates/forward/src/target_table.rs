//! The targets that an entry host knows, and the choice among them.
//!
//! A request goes to the target with the least load for its slots, of two that are
//! equal to one in this data centre. One that failed lately, or that stands still, is
//! left out while there is another.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use derive_more::Display;
use fastrand::Rng;

use crate::Target;
use crate::TargetId;
use base::CentreName;
use base::ModelName;
use base::ServiceName;
use base::Time;
use base::UpstreamId;

/// A target whose own streams gave nothing for this long stands still: steps between
/// events take less, also with long prompts between them.
const STILL_AFTER: Duration = Duration::from_millis(350);

/// The same while none of them has begun: they may wait for a place.
const UNBEGUN_STILL_AFTER: Duration = Duration::from_millis(1_300);

/// How long a target that stands still is left out.
const STILL_BAN: Duration = Duration::from_millis(1_500);

/// What a target in another data centre counts as more, in requests for each slot.
const FAR_COST: f64 = 0.15;

/// What a second of prompts that are still to be read counts, in requests for each slot:
/// they are read one after the other, before the first event of the next one.
const READING_COST: f64 = 2.0;

/// Loads of other entry hosts are known late, and to all alike. Differences below this, in
/// requests for each slot, are left to chance, so that not all choose the same target.
const BLUR: f64 = 0.2;

/// Requests beyond its slots that a target may be given, for each slot.
const QUEUE_SHARE: f64 = 0.25;

/// What a request needs.
#[derive(Clone, Debug)]
pub struct TargetQuery<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The model, if it asks for one.
    pub model: Option<&'a ModelName>,
    /// Targets that failed this request.
    pub avoid: &'a BTreeSet<UpstreamId>,
}

/// Why there is no target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum ChooseError {
    /// None is known.
    #[display("no target is known")]
    NoneKnown,
    /// All that are known have as many requests as they may.
    #[display("all targets are full")]
    AllFull,
}

/// The load of all entry hosts on a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests.
    pub requests: u32,
    /// What the prompts take that have not been read, in seconds.
    pub backlog: f64,
}

/// The targets that an entry host knows.
#[derive(Clone, Debug)]
pub struct TargetTable {
    /// The data centre of this entry host.
    pub centre: CentreName,
    targets: BTreeMap<UpstreamId, Target>,
    rng: Rng,
}

impl TargetTable {
    /// A board without targets.
    pub fn new(centre: CentreName, seed: u64) -> Self {
        Self {
            centre,
            targets: BTreeMap::new(),
            rng: Rng::with_seed(seed),
        }
    }

    /// Takes the targets that there are now. What is known of one that stays is kept.
    pub fn set_targets(&mut self, targets: Vec<Target>) {
        let mut old = std::mem::take(&mut self.targets);
        for mut target in targets {
            let known = old
                .remove(&target.id)
                .filter(|t| t.incarnation == target.incarnation);
            if let Some(known) = known {
                target.own_requests = known.own_requests;
                target.streams = known.streams;
                target.own_prompt_secs = known.own_prompt_secs;
                target.other_prompt_secs = known.other_prompt_secs;
                target.other_requests = known.other_requests;
                target.health = known.health;
                target.last_output = known.last_output;
                target.busy_since = known.busy_since;
            }
            self.targets.insert(target.id.clone(), target);
        }
    }

    /// Takes how many requests all entry hosts have at each target, this one included.
    pub fn set_total_loads(&mut self, loads: &BTreeMap<UpstreamId, Load>) {
        for target in self.targets.values_mut() {
            let all = loads.get(&target.id).copied().unwrap_or_default();
            target.other_requests = all.requests.saturating_sub(target.own_requests);
            target.other_prompt_secs = (all.backlog - target.own_prompt_secs).max(0.0);
        }
    }

    /// Targets that have own requests, or gave something lately.
    pub fn active_targets(&self, lately: Time) -> impl Iterator<Item = &Target> {
        let targets = self.targets.values();
        targets.filter(move |target| 0 < target.own_requests || lately <= target.last_output)
    }

    /// A target that is known.
    pub fn get(&self, id: &UpstreamId) -> Option<&Target> {
        self.targets.get(id)
    }

    /// All targets.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Chooses a target.
    pub fn choose(&mut self, want: &TargetQuery<'_>, now: Time) -> Result<Target, ChooseError> {
        let of = self.targets.values().filter(|t| {
            t.service == *want.service && (t.model.is_none() || t.model.as_ref() == want.model)
        });
        let all: Vec<&Target> = of.collect();
        let fresh = |t: &&&Target| !want.avoid.contains(&t.id);
        let well: Vec<&&Target> = all
            .iter()
            .filter(fresh)
            .filter(|t| !t.health.is_excluded(now))
            .collect();
        let any: Vec<&&Target> = all.iter().filter(fresh).collect();
        let among = match (well.is_empty(), any.is_empty()) {
            (false, _) => well,
            (true, false) if all.iter().all(|t| t.model.is_none()) => any,
            _ => {
                return Err(if all.is_empty() {
                    ChooseError::NoneKnown
                } else {
                    ChooseError::AllFull
                });
            }
        };
        let rng = &mut self.rng;
        let cost = |t: &Target, drawn: f64| {
            let far = if t.centre == self.centre {
                0.0
            } else {
                FAR_COST
            };
            let full = f64::from(t.load()) / f64::from(t.slots.max(1));
            let reading = READING_COST * (t.own_prompt_secs + t.other_prompt_secs);
            full * t.time_factor + reading + far + drawn * BLUR
        };
        let best = among
            .iter()
            .map(|t| (cost(t, rng.f64()), t))
            .min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, best)) = best else {
            return Err(ChooseError::NoneKnown);
        };
        let most = f64::from(best.slots) * (1.0 + QUEUE_SHARE);
        match f64::from(best.load()) < most {
            true => Ok((***best).clone()),
            false => Err(ChooseError::AllFull),
        }
    }

    /// Counts a request that goes to a target, with what its prompt takes in seconds.
    pub fn record_sent(&mut self, id: &TargetId, prompt_secs: f64, now: Time) {
        if let Some(target) = self.known(id) {
            target.own_prompt_secs += prompt_secs;
            if target.own_requests == 0 {
                target.busy_since = now;
            }
            target.own_requests += 1;
        }
    }

    /// Counts a request out that was at a target.
    pub fn record_ended(&mut self, id: &TargetId) {
        if let Some(target) = self.known(id) {
            target.own_requests = target.own_requests.saturating_sub(1);
        }
    }

    /// Counts out a prompt that was read, or will not be any more.
    pub fn record_prompt_read(&mut self, id: &TargetId, prompt_secs: f64) {
        if let Some(target) = self.known(id) {
            target.own_prompt_secs = (target.own_prompt_secs - prompt_secs).max(0.0);
        }
    }

    /// Counts a stream that has given its first event.
    pub fn record_stream_start(&mut self, id: &TargetId) {
        if let Some(target) = self.known(id) {
            target.streams += 1;
        }
    }

    /// Counts a stream out that had given events.
    pub fn record_stream_end(&mut self, id: &TargetId) {
        if let Some(target) = self.known(id) {
            target.streams = target.streams.saturating_sub(1);
        }
    }

    /// Takes that a target gave something.
    pub fn record_output(&mut self, id: &TargetId, now: Time) {
        if let Some(target) = self.known(id) {
            target.last_output = now;
        }
    }

    /// Takes that a target answered.
    pub fn record_success(&mut self, id: &TargetId, now: Time) {
        if let Some(target) = self.known(id) {
            target.health.record_success();
            target.last_output = now;
        }
    }

    /// Takes that a target failed.
    pub fn record_failure(&mut self, id: &TargetId, now: Time) {
        if let Some(target) = self.known(id) {
            target.health.record_failure(now);
        }
    }

    /// Whether a target gave nothing to any own request for too long. It is then left
    /// out for a while.
    pub fn exclude_if_stalled(&mut self, id: &TargetId, now: Time) -> bool {
        let Some(target) = self.known(id) else {
            return true;
        };
        let since = target.last_output.max(target.busy_since);
        let silent = now.since(since);
        let still = match (target.own_requests, target.streams) {
            (0, _) => false,
            (_, 0) => UNBEGUN_STILL_AFTER <= silent,
            _ => STILL_AFTER <= silent,
        };
        if still {
            target.health.exclude_until(now + STILL_BAN);
        }
        still
    }

    fn known(&mut self, (id, incarnation): &TargetId) -> Option<&mut Target> {
        self.targets
            .get_mut(id)
            .filter(|t| t.incarnation == *incarnation)
    }
}
