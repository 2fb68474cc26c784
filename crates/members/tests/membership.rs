//! Who belongs to the system: join, death, refutation, return, leave.

mod world;

use std::time::Duration;

use crate::world::CALM;
use crate::world::World;

#[test]
fn all_join_by_settings() {
    for (centres, per_centre) in [(1, 1), (1, 3), (3, 3), (5, 8), (6, 17)] {
        let mut world = World::open(centres, per_centre, 1, CALM);
        let wait = world.until(Duration::from_secs(15), World::is_settled);
        println!("{centres} x {per_centre}: {wait:?}");
        assert!(wait.is_some());
    }
}
