//! A compact encoding of an engine's load.

use serde::Deserialize;
use serde::Serialize;

use base::Load;
use base::TokenCount;
use base::TokenRate;

/// An engine's load as a list of numbers: running and waiting requests, prompt tokens to
/// prefill, slots, prefill rate and token rate. The rates are in whole tokens per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CompactLoad([u32; 6]);

impl From<&Load> for CompactLoad {
    fn from(load: &Load) -> Self {
        Self([
            load.running,
            load.waiting,
            load.prefill.0,
            load.slots,
            load.prefill_rate.0 as u32,
            load.token_rate.0 as u32,
        ])
    }
}

impl From<CompactLoad> for Load {
    fn from(compact: CompactLoad) -> Self {
        let [running, waiting, prefill, slots, prefill_rate, token_rate] = compact.0;
        Self {
            running,
            waiting,
            prefill: TokenCount(prefill),
            slots,
            prefill_rate: TokenRate(f64::from(prefill_rate)),
            token_rate: TokenRate(f64::from(token_rate)),
        }
    }
}
