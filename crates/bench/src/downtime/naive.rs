//! Two simple rules: groups that never change, and first fit.
//!
//! Both detect a loss after the same time as the design and may load as many replicas at once.
//! They need neither withdraw routes nor release hosts.

use std::collections::VecDeque;
use std::time::Duration;

use crate::downtime::faults::DOMAINS;
use crate::downtime::faults::END;
use crate::downtime::faults::HOSTS;
use crate::downtime::faults::LOAD_TIME;
use crate::downtime::faults::MAX_CONCURRENT_LOADS;
use crate::downtime::faults::Schedule;
use crate::downtime::faults::TIME_STEP;
use crate::downtime::faults::WARM_UP_END;
use crate::downtime::faults::WIDTHS;
use crate::downtime::faults::domain;
use crate::downtime::faults::target_replicas;
use crate::downtime::score::Score;
use base::Time;

/// The time until the loss or the return of a host is detected.
const DETECTION_TIME: Duration = Duration::from_secs(5);

/// A rule for the assignment of hosts to groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Groups never change. A group loads again when all its hosts are back.
    Static,
    /// A group that loses a host ends. Its replacement takes the first hosts that fit.
    FirstFit,
}

/// The state of a group. The time in `Loading` is when loading started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GroupState {
    Waiting,
    Loading(Time),
    Serving,
}

/// A group of hosts that serves one replica.
#[derive(Clone, Debug)]
struct Group {
    width: usize,
    hosts: Vec<usize>,
    state: GroupState,
}

/// The groups of one data centre under a rule.
struct Fleet {
    rule: Rule,
    groups: VecDeque<Group>,
    /// For each host, whether it was up [`DETECTION_TIME`] ago.
    detected_up: Vec<bool>,
    score: Score,
}

/// Simulates a rule under the faults and returns its score.
pub fn run(schedule: &Schedule, rule: Rule) -> Score {
    let mut fleet = Fleet::open(rule);
    let mut now = Time::ZERO;
    while now < END {
        let up = schedule.up(now);
        fleet.detected_up = schedule.up(now - DETECTION_TIME);
        fleet.break_groups(&up);
        fleet.load_groups(&up, now);
        if WARM_UP_END <= now {
            fleet.add_to_score(&up);
        }
        now += TIME_STEP;
    }
    fleet.score
}

impl Fleet {
    fn open(rule: Rule) -> Self {
        let mut fleet = Self {
            rule,
            groups: VecDeque::new(),
            detected_up: vec![true; HOSTS],
            score: Score::default(),
        };
        for (index, width) in WIDTHS.into_iter().enumerate() {
            for _ in 0..target_replicas(index) {
                fleet.groups.push_back(Group {
                    width,
                    hosts: Vec::new(),
                    state: GroupState::Waiting,
                });
            }
        }
        fleet
    }

    /// Stops the service of groups that have lost a host. First fit frees their hosts as soon as
    /// the loss is detected.
    fn break_groups(&mut self, up: &[bool]) {
        let mut broken = VecDeque::new();
        let mut kept = VecDeque::new();
        for mut group in std::mem::take(&mut self.groups) {
            let is_complete = group.hosts.iter().all(|host| up[*host]);
            let has_detected_loss = group.hosts.iter().any(|host| !self.detected_up[*host]);
            if !is_complete && group.state != GroupState::Waiting {
                self.score.broken += 1;
                group.state = GroupState::Waiting;
            }
            if has_detected_loss && self.rule == Rule::FirstFit {
                group.hosts.clear();
                broken.push_back(group);
            } else {
                kept.push_back(group);
            }
        }
        kept.append(&mut broken);
        self.groups = kept;
    }

    fn load_groups(&mut self, up: &[bool], now: Time) {
        for index in 0..self.groups.len() {
            if let GroupState::Loading(loading_since) = self.groups[index].state
                && loading_since + LOAD_TIME <= now
            {
                self.groups[index].state = GroupState::Serving;
            }
            let is_empty = self.groups[index].hosts.is_empty();
            if self.groups[index].state != GroupState::Waiting || !self.has_free_load_slot() {
                continue;
            }
            if is_empty {
                self.groups[index].hosts = self.first_fit(self.groups[index].width);
            }
            let hosts = &self.groups[index].hosts;
            let is_up = hosts
                .iter()
                .all(|host| up[*host] && self.detected_up[*host]);
            if !hosts.is_empty() && is_up {
                self.groups[index].state = GroupState::Loading(now);
                self.score.loads += 1;
            }
        }
    }

    fn has_free_load_slot(&self) -> bool {
        let is_loading = |group: &&Group| matches!(group.state, GroupState::Loading(_));
        self.groups.iter().filter(is_loading).count() < MAX_CONCURRENT_LOADS
    }

    /// The first free hosts of the first domain that has enough of them, or an empty list.
    fn first_fit(&self, width: usize) -> Vec<usize> {
        let is_taken = |host: &usize| self.groups.iter().any(|g| g.hosts.contains(host));
        let free = (0..HOSTS).filter(|host| self.detected_up[*host] && !is_taken(host));
        let free: Vec<usize> = free.collect();
        for index in 0..DOMAINS {
            let of_domain = free
                .iter()
                .filter(|host| domain(**host).0 as usize == index);
            let hosts: Vec<usize> = of_domain.take(width).copied().collect();
            if hosts.len() == width {
                return hosts;
            }
        }
        Vec::new()
    }

    fn add_to_score(&mut self, up: &[bool]) {
        let mut serving = [0; WIDTHS.len()];
        let mut loading = [0; WIDTHS.len()];
        let mut busy = 0;
        for group in &self.groups {
            let index = WIDTHS.iter().position(|width| *width == group.width);
            let index = index.unwrap_or_default();
            match group.state {
                GroupState::Serving => serving[index] += 1,
                GroupState::Loading(_) => loading[index] += 1,
                GroupState::Waiting => continue,
            }
            busy += group.width;
        }
        let healthy = up.iter().filter(|up| **up).count();
        let idle = healthy.saturating_sub(busy);
        self.score
            .add_span(&serving, &loading, idle, TIME_STEP.as_secs_f64());
    }
}
