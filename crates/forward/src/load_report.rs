//! What entry hosts have under way, as they tell it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use base::ModelName;
use base::UpstreamId;

/// Steps of a second in which prompts are told. More digits only cost bytes.
const READING_STEPS: f64 = 1_000.0;

/// Requests at a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target.
    pub id: UpstreamId,
    /// How many.
    pub requests: u32,
    /// What the prompts take that have not been read, in seconds.
    #[serde(default, rename = "reading", skip_serializing_if = "is_nothing")]
    pub unread_prompt_secs: f64,
    /// How long ago it gave something, in milliseconds, where it has lately.
    #[serde(
        default,
        rename = "moved_ms_ago",
        skip_serializing_if = "Option::is_none"
    )]
    pub last_output_ms_ago: Option<u64>,
}

/// How much a model was asked for lately.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelWork {
    /// The model.
    pub model: ModelName,
    /// Replicas that it keeps busy: reading prompts, and the places that answers hold.
    pub offered: f64,
}

/// What some entry hosts have under way together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// How many entry hosts these are.
    pub entries: usize,
    /// Their requests at targets.
    pub loads: Vec<TargetLoad>,
    /// What they were asked for lately.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub work: Vec<ModelWork>,
}

impl LoadReport {
    /// The sum of what was told, each some time ago.
    pub fn sum<'a>(of: impl IntoIterator<Item = (&'a Self, Duration)>) -> Self {
        let mut entries = 0;
        let mut loads: BTreeMap<&UpstreamId, TargetLoad> = BTreeMap::new();
        let mut work: BTreeMap<&ModelName, f64> = BTreeMap::new();
        for (tally, ago) in of {
            entries += tally.entries;
            for load in &tally.loads {
                let known = loads.entry(&load.id).or_insert_with(|| load.nothing());
                known.add(load, ago);
            }
            for model in &tally.work {
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
        }
    }

    /// The same without what only the controller wants to know.
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
    fn nothing(&self) -> Self {
        Self {
            id: self.id.clone(),
            requests: 0,
            unread_prompt_secs: 0.0,
            last_output_ms_ago: None,
        }
    }

    fn add(&mut self, other: &Self, ago: Duration) {
        self.requests += other.requests;
        let reading = self.unread_prompt_secs + other.unread_prompt_secs;
        self.unread_prompt_secs = (reading * READING_STEPS).round() / READING_STEPS;
        let moved = other
            .last_output_ms_ago
            .map(|ms| ms + ago.as_millis() as u64);
        self.last_output_ms_ago = [self.last_output_ms_ago, moved].into_iter().flatten().min();
    }
}

fn is_nothing(amount: &f64) -> bool {
    *amount == 0.0
}
