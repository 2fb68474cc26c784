//! What a configuration says of a service's model engines.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use base::ModelName;

/// A model that a service's engines can hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineModel {
    /// The model.
    pub model: ModelName,
    /// Hosts of one replica.
    pub width: usize,
    /// Its part of the work at the start, relative to the others.
    pub share: f64,
    /// Factor on all times of the engine.
    pub pace: f64,
    /// How long loading it from the weight store takes.
    pub load: Duration,
    /// How long a host that keeps it staged takes to join.
    pub warm: Duration,
}

/// A service's model engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that a replica runs at once.
    pub slots: u32,
    /// Tokens of context that a replica has room for.
    pub context_room: u64,
    /// The models.
    pub models: Vec<EngineModel>,
    /// Time of one token step without any request.
    pub step: Duration,
    /// What each running request adds to a step.
    pub step_each: Duration,
    /// Prompt tokens read a second.
    pub read_rate: f64,
    /// Mean tokens of a prompt.
    pub usual_prompt: f64,
    /// Mean tokens of an answer.
    pub usual_answer: f64,
    /// Loads from the weight store that may begin in a second.
    pub load_rate: f64,
    /// Loads at once beyond which each takes longer.
    pub loads_at_once: usize,
    /// Models that a host keeps staged.
    pub staged_kept: usize,
    /// From the order to open until a replica serves.
    pub open_time: Duration,
}

impl Engine {
    /// What is known of a model.
    pub fn model(&self, model: &ModelName) -> Option<&EngineModel> {
        self.models.iter().find(|known| known.model == *model)
    }
}
