//! Two simple rules: groups that never change, and the first group that fits.
//!
//! Both know of a loss after the same time as the design, may load as many
//! replicas at once, and need neither withdraw routes nor release hosts.

use std::collections::VecDeque;
use std::time::Duration;

use crate::downtime::faults::DOMAINS;
use crate::downtime::faults::END;
use crate::downtime::faults::HOSTS;
use crate::downtime::faults::LOAD;
use crate::downtime::faults::LOADS_AT_ONCE;
use crate::downtime::faults::STEP;
use crate::downtime::faults::Schedule;
use crate::downtime::faults::WARM_UP;
use crate::downtime::faults::WIDTHS;
use crate::downtime::faults::domain;
use crate::downtime::faults::target;
use crate::downtime::score::Score;
use base::Time;

/// How long a loss or a return stays unnoticed.
const DETECT: Duration = Duration::from_secs(5);

/// Which rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Groups never change. A group loads again once all its hosts are back.
    Static,
    /// A broken group ends. The next one takes the first hosts that fit.
    FirstFit,
}

/// Where a group is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    Loading(Time),
    Serving,
}

#[derive(Clone, Debug)]
struct Group {
    width: usize,
    hosts: Vec<usize>,
    stage: Stage,
}

struct Fleet {
    rule: Rule,
    groups: VecDeque<Group>,
    seen_up: Vec<bool>,
    score: Score,
}

/// Scores a rule under the schedule.
pub fn run(schedule: &Schedule, rule: Rule) -> Score {
    let mut fleet = Fleet::open(rule);
    let mut now = Time::ZERO;
    while now < END {
        let up = schedule.up(now);
        fleet.seen_up = schedule.up(now - DETECT);
        fleet.break_groups(&up);
        fleet.load(&up, now);
        if WARM_UP <= now {
            fleet.count(&up);
        }
        now += STEP;
    }
    fleet.score
}

impl Fleet {
    fn open(rule: Rule) -> Self {
        let mut fleet = Self {
            rule,
            groups: VecDeque::new(),
            seen_up: vec![true; HOSTS],
            score: Score::default(),
        };
        for (at, width) in WIDTHS.into_iter().enumerate() {
            for _ in 0..target(at) {
                fleet.groups.push_back(Group {
                    width,
                    hosts: Vec::new(),
                    stage: Stage::Waiting,
                });
            }
        }
        fleet
    }

    /// A lost host ends service at once. First fit gives the hosts up once it is noticed.
    fn break_groups(&mut self, up: &[bool]) {
        let mut broken = VecDeque::new();
        let mut kept = VecDeque::new();
        for mut group in std::mem::take(&mut self.groups) {
            let is_whole = group.hosts.iter().all(|host| up[*host]);
            let is_lost = group.hosts.iter().any(|host| !self.seen_up[*host]);
            if !is_whole && group.stage != Stage::Waiting {
                self.score.broken += 1;
                group.stage = Stage::Waiting;
            }
            if is_lost && self.rule == Rule::FirstFit {
                group.hosts.clear();
                broken.push_back(group);
            } else {
                kept.push_back(group);
            }
        }
        kept.append(&mut broken);
        self.groups = kept;
    }

    fn load(&mut self, up: &[bool], now: Time) {
        for at in 0..self.groups.len() {
            if let Stage::Loading(since) = self.groups[at].stage
                && since + LOAD <= now
            {
                self.groups[at].stage = Stage::Serving;
            }
            let is_empty = self.groups[at].hosts.is_empty();
            if self.groups[at].stage != Stage::Waiting || !self.may_load() {
                continue;
            }
            if is_empty {
                self.groups[at].hosts = self.first_fit(self.groups[at].width);
            }
            let hosts = &self.groups[at].hosts;
            let is_ready = hosts.iter().all(|host| up[*host] && self.seen_up[*host]);
            if !hosts.is_empty() && is_ready {
                self.groups[at].stage = Stage::Loading(now);
                self.score.loads += 1;
            }
        }
    }

    fn may_load(&self) -> bool {
        let is_loading = |group: &&Group| matches!(group.stage, Stage::Loading(_));
        self.groups.iter().filter(is_loading).count() < LOADS_AT_ONCE
    }

    /// The first hosts of the first domain with enough free ones, or none.
    fn first_fit(&self, width: usize) -> Vec<usize> {
        let is_taken = |host: &usize| self.groups.iter().any(|g| g.hosts.contains(host));
        let free = (0..HOSTS).filter(|host| self.seen_up[*host] && !is_taken(host));
        let free: Vec<usize> = free.collect();
        for at in 0..DOMAINS {
            let of_domain = free.iter().filter(|host| domain(**host).0 as usize == at);
            let hosts: Vec<usize> = of_domain.take(width).copied().collect();
            if hosts.len() == width {
                return hosts;
            }
        }
        Vec::new()
    }

    fn count(&mut self, up: &[bool]) {
        let mut serving = [0; WIDTHS.len()];
        let mut loading = [0; WIDTHS.len()];
        let mut busy = 0;
        for group in &self.groups {
            let at = WIDTHS.iter().position(|width| *width == group.width);
            let at = at.unwrap_or_default();
            match group.stage {
                Stage::Serving => serving[at] += 1,
                Stage::Loading(_) => loading[at] += 1,
                Stage::Waiting => continue,
            }
            busy += group.width;
        }
        let healthy = up.iter().filter(|up| **up).count();
        let idle = healthy.saturating_sub(busy);
        self.score
            .count(&serving, &loading, idle, STEP.as_secs_f64());
    }
}
