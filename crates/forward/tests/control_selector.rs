//! Which control host an entry host follows, and when it returns to the nearest.

use base::NodeId;
use base::Time;
use forward::ControlSelector;

/// A node id whose high bits are the data centre, like the third octet of a host's address.
fn id(centre: u32, host: u32) -> NodeId {
    NodeId(centre << 8 | host)
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn seeds() -> Vec<NodeId> {
    vec![id(1, 1), id(2, 1), id(3, 1)]
}

#[test]
fn the_control_host_of_its_data_centre_is_followed() {
    for centre in 1..=3 {
        let selector = ControlSelector::new(id(centre, 10));
        assert_eq!(selector.current(&seeds()), Some(id(centre, 1)));
    }
}

#[test]
fn a_host_that_does_not_answer_is_left_and_gone_back_to() {
    let mut selector = ControlSelector::new(id(2, 10));
    selector.record_failure(at(1_000));
    let other = selector.current(&seeds());
    assert_ne!(other, Some(id(2, 1)));
    assert_eq!(
        selector.nearest_to_probe(&seeds(), at(2_000)),
        None,
        "too soon"
    );
    assert_eq!(
        selector.nearest_to_probe(&seeds(), at(4_000)),
        Some(id(2, 1))
    );
    assert_eq!(
        selector.nearest_to_probe(&seeds(), at(4_100)),
        None,
        "already probed"
    );
    assert_eq!(
        selector.current(&seeds()),
        other,
        "stays until the nearest answers"
    );
    selector.return_to_nearest();
    assert_eq!(selector.current(&seeds()), Some(id(2, 1)));
    assert_eq!(
        selector.nearest_to_probe(&seeds(), at(9_000)),
        None,
        "follows the nearest"
    );
}

#[test]
fn a_host_that_is_cut_off_from_the_majority_is_left() {
    let mut selector = ControlSelector::new(id(3, 10));
    selector.record_cut_off(at(5_000));
    assert_ne!(selector.current(&seeds()), Some(id(3, 1)));
}

#[test]
fn hosts_that_are_all_cut_off_are_not_left_at_each_answer() {
    let mut selector = ControlSelector::new(id(3, 10));
    selector.record_cut_off(at(5_000));
    let second = selector.current(&seeds());
    selector.record_cut_off(at(5_200));
    assert_eq!(selector.current(&seeds()), second);
    selector.record_cut_off(at(7_200));
    assert_ne!(selector.current(&seeds()), second);
}

#[test]
fn a_control_host_that_was_told_of_serves_when_the_seeds_are_gone() {
    let mut selector = ControlSelector::new(id(1, 10));
    selector.set_controls(vec![id(1, 7)]);
    let mut seen = Vec::new();
    for turn in 0..4 {
        seen.extend(selector.current(&seeds()));
        selector.record_failure(at(turn * 100));
    }
    assert!(seen.contains(&id(1, 7)), "{seen:?}");
    assert_eq!(ControlSelector::new(id(1, 10)).current(&[]), None);
}
