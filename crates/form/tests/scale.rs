//! A look at the replicas goes through all hosts a few times, not through all hosts for
//! each of them: it delays everything else that a control host does.

mod world;

use std::time::Duration;
use std::time::Instant;

use world::World;

use form::Config;

/// A look that grew with the square of the hosts would cost a hundred times as much for ten
/// times the hosts, one that grows with the hosts ten times.
const MOST: f64 = 60.0;

/// The longest step while a deployment of so many domains of ten hosts comes up, the best
/// of a few tries: other processes may only make it longer.
fn longest_step(domains: usize) -> Duration {
    let one = || {
        let mut world = World::new(Config::default(), 1, domains, 10);
        let steps = (0..100).map(|_| {
            let begun = Instant::now();
            world.run(Duration::from_millis(20));
            begun.elapsed()
        });
        steps.max().unwrap_or_default()
    };
    (0..3).map(|_| one()).min().unwrap_or_default()
}

#[test]
fn the_longest_look_grows_with_the_hosts_not_with_their_square() {
    let small = longest_step(30);
    let large = longest_step(300);
    let grown = large.as_secs_f64() / small.as_secs_f64();
    assert!(grown < MOST, "{small:?} to {large:?}: {grown:.0} times");
}
