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
    #[serde(rename = "pace")]
    pub time_factor: f64,
    /// How long loading it from the weight store takes.
    #[serde(rename = "load")]
    pub load_time: Duration,
    /// How long a host that keeps it staged takes to join.
    #[serde(rename = "warm")]
    pub join_time: Duration,
}

/// A service's model engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineConfig {
    /// Requests that a replica runs at once.
    pub slots: u32,
    /// Tokens of context that a replica has room for.
    #[serde(rename = "context_room")]
    pub context_tokens: u64,
    /// The models.
    pub models: Vec<EngineModel>,
    /// Time of one token step without any request.
    #[serde(rename = "step")]
    pub step_time: Duration,
    /// What each running request adds to a step.
    #[serde(rename = "step_each")]
    pub step_time_per_request: Duration,
    /// Prompt tokens read a second.
    #[serde(rename = "read_rate")]
    pub prefill_rate: f64,
    /// Mean tokens of a prompt.
    #[serde(rename = "usual_prompt")]
    pub mean_prompt_tokens: f64,
    /// Mean tokens of an answer.
    #[serde(rename = "usual_answer")]
    pub mean_answer_tokens: f64,
    /// Loads from the weight store that may begin in a second.
    pub load_rate: f64,
    /// Loads at once beyond which each takes longer.
    #[serde(rename = "loads_at_once")]
    pub max_parallel_loads: usize,
    /// Models that a host keeps staged.
    #[serde(rename = "staged_kept")]
    pub max_staged_models: usize,
    /// From the order to open until a replica serves.
    pub open_time: Duration,
}

impl EngineConfig {
    /// What is known of a model.
    pub fn model(&self, model: &ModelName) -> Option<&EngineModel> {
        self.models.iter().find(|known| known.model == *model)
    }
}
