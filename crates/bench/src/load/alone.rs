//! The time of a request without any other load.

use std::time::Duration;

use super::engine::Engine;
use super::engine::Job;
use super::engine::QueueOrder;
use super::traffic::Request;
use super::world::LOCAL_LINK_DELAY;

/// The time until the last token of a request that is alone on an engine.
pub fn time_alone(request: &Request) -> Duration {
    let mut engine = Engine::open(QueueOrder::Fifo);
    engine.push(Job {
        request: 0,
        priority: 0,
        prompt: request.prompt,
        output: request.output,
    });
    let mut span = 2 * LOCAL_LINK_DELAY;
    while !engine.is_idle() {
        span += engine.step(&mut Vec::new());
    }
    span
}
