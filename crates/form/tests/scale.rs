//! A tick of the controller delays everything else that a control host does, so its time must
//! grow with the number of hosts, not with the square of it.

mod world;

use std::time::Duration;
use std::time::Instant;

use world::World;

use form::Config;

/// Largest accepted growth of the longest step for ten times the hosts. It would be 10 if the
/// time grew linearly, and 100 if it grew with the square.
const MAX_GROWTH: f64 = 60.0;

/// The longest step while a deployment of `domains` domains of ten hosts starts. The shortest
/// of three runs counts, as other processes can only make a run longer.
fn longest_step(domains: usize) -> Duration {
    let run = || {
        let mut world = World::new(Config::default(), 1, domains, 10);
        let steps = (0..100).map(|_| {
            let begun = Instant::now();
            world.run(Duration::from_millis(20));
            begun.elapsed()
        });
        steps.max().unwrap_or_default()
    };
    (0..3).map(|_| run()).min().unwrap_or_default()
}

#[test]
fn the_longest_look_grows_with_the_hosts_not_with_their_square() {
    let small = longest_step(30);
    let large = longest_step(300);
    let growth = large.as_secs_f64() / small.as_secs_f64();
    assert!(
        growth < MAX_GROWTH,
        "{small:?} to {large:?}: {growth:.0} times"
    );
}
