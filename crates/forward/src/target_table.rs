//! The targets that an entry host knows, and the choice among them.
//!
//! A request goes to the target with the least load per slot; with equal load, a target in
//! the local data centre is preferred. A target that failed recently or has stalled is
//! excluded for a while. A plain service uses excluded targets if it has no others.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
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
use fleet::Intake;

/// How long a stalled target is excluded.
const STALL_EXCLUSION: Duration = Duration::from_millis(1_500);

/// Extra cost of a target in another data centre, in requests per slot.
const REMOTE_COST: f64 = 0.4;

/// Cost of one second of unread prompts, in requests per slot. Prompts are read one after
/// the other, so a new request waits for all of them before its first event.
const PROMPT_COST: f64 = 2.0;

/// The largest random cost added to each target, in requests per slot. All entry hosts see
/// the same outdated loads, so without it they would all choose the same target.
const RANDOM_COST: f64 = 0.2;

/// Requests that may queue at a full target, per slot.
const MAX_QUEUED_PER_SLOT: f64 = 0.25;

/// What a request needs of a target.
#[derive(Clone, Debug)]
pub struct TargetQuery<'a> {
    /// The service that the request is for.
    pub service: &'a ServiceName,
    /// The model that the request asks for, if any.
    pub model: Option<&'a ModelName>,
    /// Targets at which this request already failed.
    pub avoid: &'a BTreeSet<UpstreamId>,
    /// Targets that may get no request now.
    pub closed: &'a BTreeSet<UpstreamId>,
    /// Targets that asked for rest.
    pub resting: &'a RestingTargets,
    /// Whether failures speak against targets, and not against this host's way to them.
    pub trusts_health: bool,
    /// Whether targets that have answered before go first.
    pub prefers_proven: bool,
}

impl TargetQuery<'_> {
    /// Whether a target serves what the request asks for and takes new requests.
    pub fn fits(&self, target: &Target) -> bool {
        target.service == *self.service
            && target.intake == Intake::Open
            && (target.model.is_none() || target.model.as_ref() == self.model)
    }
}

/// Targets that asked for rest.
#[derive(Clone, Debug, Default)]
pub struct RestingTargets {
    /// Those that asked this host, and until when. They get no request.
    pub own: BTreeMap<UpstreamId, Time>,
    /// Those that asked another host. They get a request only if no other target takes it: they are
    /// probably overloaded, but said nothing to this host.
    pub elsewhere: BTreeSet<UpstreamId>,
}

/// Why no target could be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum ChooseError {
    /// No target of the service and model is known.
    #[display("no target is known")]
    NoneKnown,
    /// Every known target is full, excluded, or already failed this request.
    #[display("all targets are full")]
    AllFull,
    /// Every known target that has not failed this request asked for rest. The first is back at
    /// this time.
    #[display("all targets rest until {_0}")]
    AllResting(Time),
}

/// The load of all entry hosts together on a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests at the target.
    pub requests: u32,
    /// Time that the target needs to read all unread prompts, in seconds.
    pub backlog: f64,
}

/// The targets that an entry host knows, with their load and health.
#[derive(Clone, Debug)]
pub struct TargetTable {
    /// The data centre of this entry host.
    pub centre: CentreName,
    targets: BTreeMap<UpstreamId, Target>,
    rng: Rng,
}

impl TargetTable {
    /// Creates an empty table. `seed` is for the random part of the choice.
    pub fn new(centre: CentreName, seed: u64) -> Self {
        Self {
            centre,
            targets: BTreeMap::new(),
            rng: Rng::with_seed(seed),
        }
    }

    /// Replaces the known targets. A target that stays in the same incarnation keeps its load
    /// and health.
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
                target.longest_prompt_secs = known.longest_prompt_secs;
                target.other_prompt_secs = known.other_prompt_secs;
                target.other_requests = known.other_requests;
                target.recent_sends = known.recent_sends;
                target.health = known.health;
                target.last_output = known.last_output;
                target.busy_since = known.busy_since;
            }
            self.targets.insert(target.id.clone(), target);
        }
    }

    /// Sets the load of all entry hosts on each target, this one included.
    pub fn set_total_loads(&mut self, loads: &BTreeMap<UpstreamId, Load>) {
        for target in self.targets.values_mut() {
            let all = loads.get(&target.id).copied().unwrap_or_default();
            target.other_requests = all.requests.saturating_sub(target.own_requests);
            target.other_prompt_secs = (all.backlog - target.own_prompt_secs).max(0.0);
        }
    }

    /// Targets that have requests of this entry host or produced output since `since`.
    pub fn active_targets(&self, since: Time) -> impl Iterator<Item = &Target> {
        let targets = self.targets.values();
        targets.filter(move |target| 0 < target.own_requests || since <= target.last_output)
    }

    /// The target with this id, if it is known.
    pub fn get(&self, id: &UpstreamId) -> Option<&Target> {
        self.targets.get(id)
    }

    /// All known targets.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Chooses a target for a request.
    pub fn choose(&mut self, query: &TargetQuery<'_>, now: Time) -> Result<Target, ChooseError> {
        let candidates = candidates(&self.targets, query, now)?;
        let mut preferred = candidates.clone();
        preferred.retain(|target| !query.resting.elsewhere.contains(&target.id));
        let mut proven = preferred.clone();
        proven.retain(|target| query.prefers_proven && target.is_proven());
        let best = [proven, preferred, candidates]
            .into_iter()
            .find_map(|targets| best_of(targets, &self.centre, &mut self.rng, now));
        best.cloned().ok_or(ChooseError::AllFull)
    }

    /// Whether a target is left for a request that has not failed lately.
    pub fn has_healthy(&self, query: &TargetQuery<'_>, now: Time) -> bool {
        let candidates = candidates(&self.targets, query, now).unwrap_or_default();
        candidates
            .iter()
            .any(|target| !target.health.is_excluded(now))
    }

    /// The targets that take requests at this address. Several entries may name the same.
    pub fn targets_at(&self, addr: SocketAddr) -> impl Iterator<Item = &Target> {
        self.targets().filter(move |target| target.addr == addr)
    }

    /// Counts a request that is sent to a target. Reading its prompt takes `prompt_secs`
    /// seconds.
    pub fn record_sent(&mut self, id: &TargetId, prompt_secs: f64, now: Time) {
        if let Some(target) = self.known(id) {
            target.own_prompt_secs += prompt_secs;
            target.longest_prompt_secs = target.longest_prompt_secs.max(prompt_secs);
            target.recent_sends.record(prompt_secs, now);
            if target.own_requests == 0 {
                target.busy_since = now;
            }
            target.own_requests += 1;
        }
    }

    /// Removes a request that has ended from the target's count.
    pub fn record_ended(&mut self, id: &TargetId) {
        if let Some(target) = self.known(id) {
            target.own_requests = target.own_requests.saturating_sub(1);
        }
    }

    /// Subtracts the time of a prompt that was read, or that no longer has to be.
    pub fn record_prompt_read(&mut self, id: &TargetId, prompt_secs: f64) {
        if let Some(target) = self.known(id) {
            target.own_prompt_secs = (target.own_prompt_secs - prompt_secs).max(0.0);
            target.longest_prompt_secs = target.longest_prompt_secs.min(target.own_prompt_secs);
        }
    }

    /// Counts a stream that has produced its first event.
    pub fn record_stream_start(&mut self, id: &TargetId) {
        if let Some(target) = self.known(id) {
            target.streams += 1;
        }
    }

    /// Removes a stream that had produced events from the target's count.
    pub fn record_stream_end(&mut self, id: &TargetId) {
        if let Some(target) = self.known(id) {
            target.streams = target.streams.saturating_sub(1);
        }
    }

    /// Records that a target produced output.
    pub fn record_output(&mut self, id: &TargetId, now: Time) {
        if let Some(target) = self.known(id) {
            target.last_output = now;
        }
    }

    /// Records that a target answered.
    pub fn record_success(&mut self, id: &TargetId, now: Time) {
        if let Some(target) = self.known(id) {
            target.health.record_success();
            target.last_output = now;
        }
    }

    /// Records that a target failed.
    pub fn record_failure(&mut self, id: &TargetId, now: Time) {
        if let Some(target) = self.known(id) {
            target.health.record_failure(now);
        }
    }

    /// Records that nothing took a connection at the address of a target.
    pub fn record_unreachable(&mut self, id: &TargetId, now: Time) {
        let Some(addr) = self.known(id).map(|target| target.addr) else {
            return;
        };
        let targets = self.targets.values_mut();
        for target in targets.filter(|target| target.addr == addr) {
            target.health.record_failure(now);
        }
    }

    /// Excludes a target for a while if it has stalled, which means that it produced no output
    /// for any request of this entry host for longer than its work takes. Returns whether it has stalled, and
    /// true for an unknown target.
    pub fn exclude_if_stalled(&mut self, id: &TargetId, now: Time) -> bool {
        let Some(target) = self.known(id) else {
            return true;
        };
        let last_activity = target.last_output.max(target.busy_since);
        let silence = now.since(last_activity);
        let is_stalled = 0 < target.own_requests && target.longest_silence() <= silence;
        if is_stalled {
            target.health.exclude_until(now + STALL_EXCLUSION);
        }
        is_stalled
    }

    /// The target with this id, if it is known in this incarnation.
    fn known(&mut self, (id, incarnation): &TargetId) -> Option<&mut Target> {
        self.targets
            .get_mut(id)
            .filter(|t| t.incarnation == *incarnation)
    }
}

/// The targets among which a request's target is chosen: the healthy ones, or if none is, those of
/// a plain service and those that only this host may fail to reach.
fn candidates<'a>(
    targets: &'a BTreeMap<UpstreamId, Target>,
    query: &TargetQuery<'_>,
    now: Time,
) -> Result<Vec<&'a Target>, ChooseError> {
    let fitting: Vec<&Target> = targets.values().filter(|t| query.fits(t)).collect();
    if fitting.is_empty() {
        return Err(ChooseError::NoneKnown);
    }
    let mut allowed = fitting.clone();
    allowed.retain(|t| !query.avoid.contains(&t.id));
    let resting = &query.resting.own;
    let is_resting = |t: &&Target| resting.contains_key(&t.id);
    if !allowed.is_empty() && allowed.iter().all(is_resting) {
        let first_back = allowed.iter().filter_map(|t| resting.get(&t.id));
        let first_back = first_back.min().copied().unwrap_or(now);
        return Err(ChooseError::AllResting(first_back));
    }
    allowed.retain(|t| !query.closed.contains(&t.id) && !is_resting(t));
    let mut healthy = allowed.clone();
    healthy.retain(|t| !t.health.is_excluded(now));
    if !healthy.is_empty() {
        return Ok(healthy);
    }
    let is_plain_service = fitting.iter().all(|t| t.model.is_none());
    match (is_plain_service || !query.trusts_health) && !allowed.is_empty() {
        true => Ok(allowed),
        false => Err(ChooseError::AllFull),
    }
}

/// The target with the least cost of those that have room.
fn best_of<'a>(
    mut candidates: Vec<&'a Target>,
    centre: &CentreName,
    rng: &mut Rng,
    now: Time,
) -> Option<&'a Target> {
    candidates.retain(|target| has_room(target));
    let costs = candidates.into_iter().map(|target| {
        let random = rng.f64() * RANDOM_COST;
        (cost(target, centre, now) + random, target)
    });
    let (_, best) = costs.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
    Some(best)
}

/// Whether a target has a free slot, or may queue one more request.
fn has_room(target: &Target) -> bool {
    f64::from(target.load()) < f64::from(target.slots) * (1.0 + MAX_QUEUED_PER_SLOT)
}

/// The cost of sending a request from a data centre to a target, in requests per slot.
fn cost(target: &Target, centre: &CentreName, now: Time) -> f64 {
    let remote = match target.centre == *centre {
        true => 0.0,
        false => REMOTE_COST,
    };
    let fill = f64::from(target.load()) / f64::from(target.slots.max(1));
    let reading = PROMPT_COST * target.expected_backlog(now);
    fill * target.time_factor + reading + remote
}
