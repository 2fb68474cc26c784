//! Load that entry hosts report to control hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use base::ModelName;
use base::NodeId;
use base::UpstreamId;

/// Steps per second to which reported prompt times are rounded. More digits only cost bytes.
const PROMPT_TIME_STEPS: f64 = 1_000.0;

/// Load of some entry hosts on a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target's id.
    pub id: UpstreamId,
    /// Requests at the target.
    pub requests: u32,
    /// Time that the target needs to read the unread prompts, in seconds.
    #[serde(default, rename = "reading", skip_serializing_if = "is_nothing")]
    pub unread_prompt_secs: f64,
    /// How long ago the target last produced output, in milliseconds, if it did recently.
    #[serde(
        default,
        rename = "moved_ms_ago",
        skip_serializing_if = "Option::is_none"
    )]
    pub last_output_ms_ago: Option<u64>,
}

/// Recent offered load of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelWork {
    /// The model's name.
    pub model: ModelName,
    /// Number of replicas that the requests keep busy, by reading prompts and by occupying
    /// slots for answers.
    pub offered: f64,
}

/// An entry host whose load a report includes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncludedEntry {
    /// The entry host.
    pub node: NodeId,
    /// How long ago its own report was received, in milliseconds.
    pub heard_ms_ago: u64,
}

/// Load of one or several entry hosts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of entry hosts that the report covers.
    pub entries: usize,
    /// The entry hosts' load on targets.
    pub loads: Vec<TargetLoad>,
    /// Recent offered load of each model.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub work: Vec<ModelWork>,
    /// Entry hosts that the report covers: all of them in reports to the leader, and in those of
    /// the leader the ones that left the receiver. An entry host names itself while it is new at a
    /// control host and another one may count it still. Earlier releases name none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub included: Vec<IncludedEntry>,
}

impl LoadReport {
    /// The sum of reports, each with its age.
    pub fn sum<'a>(reports: impl IntoIterator<Item = (&'a Self, Duration)>) -> Self {
        let mut entries = 0;
        let mut loads: BTreeMap<&UpstreamId, TargetLoad> = BTreeMap::new();
        let mut work: BTreeMap<&ModelName, f64> = BTreeMap::new();
        for (report, age) in reports {
            entries += report.entries;
            for load in &report.loads {
                let known = loads.entry(&load.id).or_insert_with(|| load.without_load());
                known.add(load, age);
            }
            for model in &report.work {
                *work.entry(&model.model).or_default() += model.offered;
            }
        }
        let work = work.into_iter().map(|(model, offered)| ModelWork {
            model: model.clone(),
            offered,
        });
        Self {
            entries,
            loads: loads.into_values().collect(),
            work: work.collect(),
            included: Vec::new(),
        }
    }

    /// The report without `count` of its entry hosts. What each of them sends isn't known, so all
    /// count as equal.
    pub fn without_entries(&self, count: usize) -> Self {
        let entries = self.entries.saturating_sub(count);
        let share = entries as f64 / self.entries.max(1) as f64;
        let mut rest = self.clone();
        rest.entries = entries;
        for load in &mut rest.loads {
            load.requests = (f64::from(load.requests) * share).round() as u32;
            load.unread_prompt_secs *= share;
        }
        for work in &mut rest.work {
            work.offered *= share;
        }
        rest
    }

    /// The report without the parts that only the controller needs: the times of output, the
    /// offered load, and targets without requests.
    pub fn for_target_choice(mut self) -> Self {
        self.loads.retain(|load| 0 < load.requests);
        for load in &mut self.loads {
            load.last_output_ms_ago = None;
        }
        self.work.clear();
        self
    }
}

impl TargetLoad {
    fn without_load(&self) -> Self {
        Self {
            id: self.id.clone(),
            requests: 0,
            unread_prompt_secs: 0.0,
            last_output_ms_ago: None,
        }
    }

    fn add(&mut self, other: &Self, age: Duration) {
        self.requests += other.requests;
        let prompt_secs = self.unread_prompt_secs + other.unread_prompt_secs;
        self.unread_prompt_secs = (prompt_secs * PROMPT_TIME_STEPS).round() / PROMPT_TIME_STEPS;
        let last_output = other
            .last_output_ms_ago
            .map(|ms| ms + age.as_millis() as u64);
        self.last_output_ms_ago = [self.last_output_ms_ago, last_output]
            .into_iter()
            .flatten()
            .min();
    }
}

fn is_nothing(amount: &f64) -> bool {
    *amount == 0.0
}
