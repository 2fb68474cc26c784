//! The settings of a service's model engines.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use base::ModelName;

/// A model that a service's engines can serve.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineModel {
    /// The model.
    pub model: ModelName,
    /// How many hosts form a replica.
    pub width: usize,
    /// The model's share of the hosts before its demand is known, relative to other models.
    pub share: f64,
    /// The factor by which the engine's times are multiplied for this model.
    #[serde(rename = "pace")]
    pub time_factor: f64,
    /// How long a load of the model from the weight store takes.
    #[serde(rename = "load")]
    pub load_time: Duration,
    /// How long a host that keeps the model staged takes to join a replica.
    #[serde(rename = "warm")]
    pub join_time: Duration,
}

/// The settings of a service's model engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineConfig {
    /// How many requests a replica runs concurrently.
    pub slots: u32,
    /// How many tokens of context a replica can hold.
    #[serde(rename = "context_room")]
    pub context_tokens: u64,
    /// The models that the engines can serve.
    pub models: Vec<EngineModel>,
    /// Base time of a step that generates one token for each running request.
    #[serde(rename = "step")]
    pub step_time: Duration,
    /// Time that each running request adds to a step.
    #[serde(rename = "step_each")]
    pub step_time_per_request: Duration,
    /// Prompt tokens processed per second.
    #[serde(rename = "read_rate")]
    pub prefill_rate: f64,
    /// Time that a million pairs of a prompt token and an earlier one add to the prefill.
    #[serde(rename = "read_pairs", default)]
    pub prefill_pairs_time: Duration,
    /// Mean length of a prompt, in tokens.
    #[serde(rename = "usual_prompt")]
    pub mean_prompt_tokens: f64,
    /// Mean length of an answer, in tokens.
    #[serde(rename = "usual_answer")]
    pub mean_answer_tokens: f64,
    /// How many loads from the weight store may begin per second.
    pub load_rate: f64,
    /// The number of parallel loads beyond which each load takes longer.
    #[serde(rename = "loads_at_once")]
    pub max_parallel_loads: usize,
    /// How many models a host keeps staged.
    #[serde(rename = "staged_kept")]
    pub max_staged_models: usize,
    /// Time from the order to open a replica until it serves.
    pub open_time: Duration,
}

impl EngineConfig {
    /// The settings of a model.
    pub fn model(&self, model: &ModelName) -> Option<&EngineModel> {
        self.models.iter().find(|known| known.model == *model)
    }

    /// How long an otherwise idle replica of a model needs to read a prompt, in seconds.
    pub fn prompt_secs(&self, model: &EngineModel, tokens: f64) -> f64 {
        let million_pairs = tokens * tokens / 2.0 / 1e6;
        let pairs_secs = million_pairs * self.prefill_pairs_time.as_secs_f64();
        (tokens / self.prefill_rate.max(1.0) + pairs_secs) * model.time_factor
    }
}
