//! The leader's choice of the entry hosts that share each limit.

use std::collections::BTreeMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use crate::LimitChange;
use crate::LimitReport;
use crate::LimitedProcess;
use crate::ShareHolder;
use crate::ShareList;
use crate::share_list::WEIGHTS_PER_REQUEST;
use base::Incarnation;
use base::NodeId;
use base::RequestRate;
use base::Time;
use base::UpstreamId;

/// The holders of a limit: at most as many as requests a second, and these more. Each may have
/// saved up a turn, so together they must stay far below what the bound allows beyond the rate.
const MORE_HOLDERS: usize = 3;

/// Holders are added until they have this many times the requests that the limit allows.
const ENOUGH_REQUESTS: f64 = 1.5;

/// Weight of the newest report in the moving average of the requests that an entry host has.
const NEWEST_WEIGHT: f64 = 0.5;

/// An entry host that doesn't say for this long that it has requests for a process loses its
/// share. Several times the interval of its reports.
const WANT_TTL: Duration = Duration::from_secs(3);

/// A limit of a process that the leader doesn't hear is forgotten if no entry host reports it for
/// this long.
const UNHEARD_TTL: Duration = Duration::from_secs(60);

/// Reports that were made before a limit ended may come this much later.
const ENDED_TTL: Duration = Duration::from_secs(10);

/// How long a new leader collects what entry hosts know before it publishes.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Time between two lists, so that changes at many processes are published together.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// A process in one of its incarnations.
type ProcessKey = (UpstreamId, Incarnation);

/// A limit in force.
#[derive(Clone, Debug)]
struct Limit {
    rate: RequestRate,
    named_at: Time,
    /// When an entry host last reported the limit.
    reported_at: Time,
    /// How many requests a second entry hosts have for the process, and when each last said so.
    wanted_by: BTreeMap<NodeId, (RequestRate, Time)>,
    holders: Vec<ShareHolder>,
}

/// The limits and the holders of their shares, as one control host knows them.
#[derive(Clone, Debug, Default)]
pub struct Allotment {
    limits: BTreeMap<ProcessKey, Limit>,
    ended_at: BTreeMap<ProcessKey, Time>,
    term: Option<u64>,
    /// Until then the leader takes over limits that others only know.
    settled_at: Time,
    publish_from: Time,
    published: ShareList,
}

impl Allotment {
    /// The list that is in force.
    pub fn published(&self) -> &ShareList {
        &self.published
    }

    /// Takes over the list of the leader, if it is newer.
    pub fn follow(&mut self, list: ShareList) {
        self.published.follow(list);
    }

    /// What this control host knows from the list that it followed, for a leader that has begun
    /// lately.
    pub fn known_reports(&self) -> Vec<LimitReport> {
        let limited = self.published.items.iter();
        limited.flat_map(LimitedProcess::known_reports).collect()
    }

    /// Begins or ends a term as leader. A new leader begins with the limits that it followed.
    pub fn set_term(&mut self, term: Option<u64>, now: Time) {
        if self.term == term {
            return;
        }
        self.term = term;
        self.limits.clear();
        self.ended_at.clear();
        if term.is_some() {
            self.settled_at = now + SETTLE_TIME;
            self.publish_from = self.settled_at;
            for known in self.published.items.clone() {
                let holders = known.holders.iter().map(|holder| {
                    let wanted = f64::from(holder.weight) / WEIGHTS_PER_REQUEST;
                    (holder.entry, (RequestRate(wanted), now))
                });
                let limit = Limit {
                    rate: known.rate,
                    named_at: now,
                    reported_at: now,
                    wanted_by: holders.collect(),
                    holders: known.holders,
                };
                self.limits
                    .insert((known.process, known.incarnation), limit);
            }
        }
    }

    /// Records what an entry host reports.
    pub fn record(&mut self, report: LimitReport, now: Time) {
        let key = (report.process, report.incarnation);
        let at = now - Duration::from_millis(report.ms_ago);
        let rate = match report.change {
            LimitChange::Ended => {
                if self
                    .limits
                    .get(&key)
                    .is_some_and(|limit| limit.named_at <= at)
                {
                    self.limits.remove(&key);
                }
                self.ended_at.insert(key, at);
                return;
            }
            LimitChange::Named(rate) | LimitChange::Known(rate) => rate,
        };
        if self.ended_at.get(&key).is_some_and(|ended| at <= *ended) {
            return;
        }
        let is_named = matches!(report.change, LimitChange::Named(_));
        if !is_named && self.settled_at <= now && !self.limits.contains_key(&key) {
            return;
        }
        let limit = self.limits.entry(key).or_insert_with(|| Limit {
            rate,
            named_at: at,
            reported_at: now,
            wanted_by: BTreeMap::new(),
            holders: Vec::new(),
        });
        limit.reported_at = now;
        if is_named && limit.named_at <= at {
            limit.rate = rate;
            limit.named_at = at;
        }
        if 0.0 < report.wanted.0 {
            limit.record_wanted(report.from, report.wanted, now);
        }
    }

    /// Forgets the limits of processes that have ended. `heard` is the incarnation in which a
    /// process is known to run.
    pub fn forget_ended_processes(
        &mut self,
        heard: impl Fn(&UpstreamId) -> Option<Incarnation>,
        now: Time,
    ) {
        self.limits
            .retain(|(process, incarnation), limit| match heard(process) {
                Some(heard) => heard <= *incarnation,
                // A leader that has just started hasn't heard all processes yet.
                None => now.since(limit.reported_at) < UNHEARD_TTL,
            });
    }

    /// Decides anew. Returns whether there is a newer list to publish.
    pub fn tick(&mut self, now: Time) -> bool {
        let Some(term) = self.term else {
            return false;
        };
        if now < self.publish_from {
            return false;
        }
        self.ended_at.retain(|_, at| now.since(*at) < ENDED_TTL);
        for (key, limit) in &mut self.limits {
            limit.choose_holders(key, now);
        }
        let limited = self.limits.iter().map(|(key, limit)| LimitedProcess {
            process: key.0.clone(),
            incarnation: key.1,
            rate: limit.rate,
            holders: limit.holders.clone(),
        });
        let is_changed = self.published.publish(term, limited.collect());
        if is_changed {
            self.publish_from = now + PUBLISH_INTERVAL;
        }
        is_changed
    }
}

impl Limit {
    /// Records how many requests a second an entry host has for the process.
    fn record_wanted(&mut self, entry: NodeId, wanted: RequestRate, now: Time) {
        let known = self
            .wanted_by
            .get(&entry)
            .map_or(wanted.0, |known| known.0.0);
        let mean = NEWEST_WEIGHT * wanted.0 + (1.0 - NEWEST_WEIGHT) * known;
        self.wanted_by.insert(entry, (RequestRate(mean), now));
    }

    /// Chooses entry hosts at random, those with many requests more often, until they have enough
    /// to use the limit.
    fn choose_holders(&mut self, key: &ProcessKey, now: Time) {
        self.wanted_by
            .retain(|_, (_, at)| now.since(*at) < WANT_TTL);
        let wanting = self.wanted_by.iter();
        let mut wanting: Vec<ShareHolder> = wanting
            .map(|(entry, (wanted, _))| ShareHolder {
                entry: *entry,
                weight: weight_of(*wanted),
            })
            .collect();
        wanting.sort_by(|a, b| draw(key, a).total_cmp(&draw(key, b)));
        let most = self.rate.0.floor() as usize + MORE_HOLDERS;
        let enough = ENOUGH_REQUESTS * self.rate.0 * WEIGHTS_PER_REQUEST;
        let mut chosen = 0;
        let mut total = 0.0;
        for holder in wanting.iter().take(most) {
            if enough <= total {
                break;
            }
            total += f64::from(holder.weight);
            chosen += 1;
        }
        wanting.truncate(chosen);
        wanting.sort_by_key(|holder| holder.entry);
        self.holders = wanting;
    }
}

/// The weight of an entry host's requests: a power of two, so that it seldom changes.
fn weight_of(wanted: RequestRate) -> u32 {
    let steps = (wanted.0 * WEIGHTS_PER_REQUEST).clamp(1.0, 65_536.0);
    (steps as u32).next_power_of_two()
}

/// A draw for an entry host that differs from process to process. The smallest draws win, and
/// each wins as often as its weight says.
fn draw((process, _): &ProcessKey, holder: &ShareHolder) -> f64 {
    let mut hasher = DefaultHasher::new();
    process.hash(&mut hasher);
    holder.entry.0.hash(&mut hasher);
    let part = (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64;
    -part.max(f64::MIN_POSITIVE).ln() / f64::from(holder.weight)
}
