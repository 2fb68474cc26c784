//! A request that has an engine for itself.

use std::time::Duration;

use super::engine::Engine;
use super::engine::Job;
use super::engine::Order;
use super::traffic::Request;
use super::world::NEAR;

/// Time of a request that has an engine for itself.
pub fn time_alone(request: &Request) -> Duration {
    let mut engine = Engine::open(Order::Fifo);
    engine.push(Job {
        request: 0,
        priority: 0,
        prompt: request.prompt,
        output: request.output,
    });
    let mut span = 2 * NEAR;
    while !engine.is_idle() {
        span += engine.step(&mut Vec::new());
    }
    span
}
