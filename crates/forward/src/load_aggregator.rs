//! What a control host knows of all entry hosts' requests.
//!
//! Entry hosts tell the control host that they follow, control hosts tell the one that
//! leads, and it tells each of them what it heard from the others. So each entry host
//! learns of all requests, whichever control host it follows.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use crate::LoadReport;
use base::NodeId;
use base::Time;
use base::UpstreamId;

/// Requests that were told of count for this long.
const LOAD_LIFE: Duration = Duration::from_secs(3);

/// An entry host counts for this long after it told anything. Longer than callers' retries
/// are counted together: a part of what may be retried is still its own.
const SENDER_LIFE: Duration = Duration::from_secs(11);

/// What entry hosts choose by is summed at most this often.
const CHOICE_EVERY: Duration = Duration::from_millis(50);

/// Control hosts tell each other of requests at most this often.
const CONTROL_EVERY: Duration = Duration::from_millis(100);

/// Loads of targets that a control host tells its followers of in a second, all together:
/// each costs processor time to write and to read.
const LOADS_A_SECOND: f64 = 30_000.0;

/// What a control host knows of all entry hosts' requests.
#[derive(Clone, Debug, Default)]
pub struct LoadAggregator {
    /// What entry hosts, and control hosts for theirs, told this one.
    told: BTreeMap<NodeId, (LoadReport, Time)>,
    /// What the control host that leads heard from others.
    elsewhere: LoadReport,
    elsewhere_at: Time,
    /// What entry hosts choose by, summed at this time.
    choice: Rc<LoadReport>,
    choice_at: Time,
    /// When followers were last told of all requests.
    given: BTreeMap<NodeId, Time>,
}

impl LoadAggregator {
    /// Takes what an entry host, or a control host for those that follow it, has under way.
    pub fn record_report(&mut self, from: NodeId, tally: LoadReport, now: Time) {
        self.told.insert(from, (tally, now));
        self.told.retain(|_, (_, at)| now.since(*at) < SENDER_LIFE);
    }

    /// Takes what the control host that leads heard from others. While it is out of reach,
    /// as many entry hosts are counted as before: they go on sending.
    pub fn record_leader_report(&mut self, tally: LoadReport, now: Time) {
        self.elsewhere = tally;
        self.elsewhere_at = now;
    }

    /// Forgets what an earlier leader told, as this control host leads now and is told all.
    pub fn forget_old_leader_report(&mut self, now: Time) {
        let is_over = SENDER_LIFE <= now.since(self.elsewhere_at);
        if is_over {
            self.elsewhere = LoadReport::default();
        }
        self.elsewhere.loads.clear();
    }

    /// What this control host was told, for the one that leads.
    pub fn followers_total(&self, now: Time) -> LoadReport {
        self.sum(None, now)
    }

    /// Whether anybody told of work. Cheaper than the sum.
    pub fn has_offered_work(&self) -> bool {
        let told = self.told.values().map(|(tally, _)| tally);
        let mut all = told.chain([&self.elsewhere]);
        all.any(|tally| tally.work.iter().any(|work| 0.0 < work.offered))
    }

    /// How many follow this control host.
    pub fn follower_count(&self) -> u32 {
        u32::try_from(self.told.len()).unwrap_or(u32::MAX)
    }

    /// Everything.
    pub fn total(&self, now: Time) -> LoadReport {
        self.total_except(None, now)
    }

    /// Everything but what this control host told itself.
    pub fn total_without(&self, than: NodeId, now: Time) -> LoadReport {
        self.total_except(Some(than), now)
    }

    /// When a target last gave something to any entry host.
    pub fn last_output(&self, target: &UpstreamId) -> Option<Time> {
        let told = self.told.values().flat_map(|(tally, at)| {
            let loads = tally.loads.iter();
            loads.map(move |load| (at, load))
        });
        let of = told.filter(|(_, load)| load.id == *target);
        of.filter_map(|(at, load)| Some(*at - Duration::from_millis(load.last_output_ms_ago?)))
            .max()
    }

    /// What an entry host is to be told of all requests, if it is time again: a control
    /// host with many followers tells each of them less often.
    pub fn report_for_entry(&mut self, follower: NodeId, now: Time) -> Option<Rc<LoadReport>> {
        if CHOICE_EVERY <= now.since(self.choice_at) {
            self.choice = Rc::new(self.total(now).for_target_choice());
            self.choice_at = now;
        }
        let told = self.choice.loads.len() * self.told.len();
        let pause = Duration::from_secs_f64(told as f64 / LOADS_A_SECOND);
        self.is_due(follower, pause, now)
            .then(|| Rc::clone(&self.choice))
    }

    /// The same for a control host: what it did not tell itself.
    pub fn report_for_control(&mut self, follower: NodeId, now: Time) -> Option<Rc<LoadReport>> {
        let is_due = self.is_due(follower, CONTROL_EVERY, now);
        is_due.then(|| Rc::new(self.total_without(follower, now).for_target_choice()))
    }

    /// What this control host was told, if it is time to tell the one that leads again.
    pub fn report_for_leader(&mut self, leader: NodeId, now: Time) -> Option<LoadReport> {
        let is_due = self.is_due(leader, CONTROL_EVERY, now);
        is_due.then(|| self.followers_total(now))
    }

    fn is_due(&mut self, follower: NodeId, pause: Duration, now: Time) -> bool {
        let is_due = self
            .given
            .get(&follower)
            .is_none_or(|at| pause <= now.since(*at));
        if is_due {
            self.given.insert(follower, now);
            self.given.retain(|_, at| now.since(*at) < SENDER_LIFE);
        }
        is_due
    }

    fn total_except(&self, except: Option<NodeId>, now: Time) -> LoadReport {
        let own = self.sum(except, now);
        let mut elsewhere = self.elsewhere.clone();
        let ago = now.since(self.elsewhere_at);
        if LOAD_LIFE <= ago {
            elsewhere.loads.clear();
        }
        LoadReport::sum([(&own, Duration::ZERO), (&elsewhere, ago)])
    }

    fn sum(&self, except: Option<NodeId>, now: Time) -> LoadReport {
        let told = self.told.iter().filter(|(from, _)| Some(**from) != except);
        let fresh = told.map(|(_, (tally, at))| (tally, now.since(*at)));
        let (fresh, late): (Vec<_>, Vec<_>) = fresh.partition(|(_, ago)| *ago < LOAD_LIFE);
        let mut sum = LoadReport::sum(fresh);
        let late = late.into_iter().filter(|(_, ago)| *ago < SENDER_LIFE);
        sum.entries += late.map(|(tally, _)| tally.entries).sum::<usize>();
        sum
    }
}
