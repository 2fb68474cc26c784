//! A host that did not answer is lost until it is heard after the probe.

use std::time::Duration;

use base::Incarnation;
use base::Time;
use base::UpstreamId;
use fleet::ProbeOutcome;
use fleet::Probes;

const LIFE: Incarnation = Incarnation(1);
const NEXT_LIFE: Incarnation = Incarnation(2);

fn id() -> UpstreamId {
    "h".parse().unwrap()
}

fn ms(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

/// Probes of which one, begun at 1 s, found the host lost.
fn with_lost_host() -> Probes {
    let mut probes = Probes::default();
    assert!(probes.begin(&id(), LIFE, ms(1_000)));
    probes.end(&id(), LIFE, ProbeOutcome::Lost);
    probes
}

#[test]
fn a_host_is_probed_once_at_a_time() {
    let mut probes = Probes::default();
    assert!(probes.begin(&id(), LIFE, ms(0)));
    assert!(!probes.begin(&id(), LIFE, ms(100)));
    probes.end(&id(), LIFE, ProbeOutcome::Alive);
    assert!(probes.begin(&id(), LIFE, ms(200)));
}

#[test]
fn a_lost_host_is_not_probed_until_it_is_heard() {
    let mut probes = with_lost_host();
    assert!(!probes.begin(&id(), LIFE, ms(2_000)));
}

#[test]
fn a_host_that_was_lost_and_is_heard_again_can_be_lost_once_more() {
    let mut probes = with_lost_host();
    assert!(!probes.record_heard(&id(), LIFE, ms(2_000)));
    assert!(probes.begin(&id(), LIFE, ms(5_000)));
}

#[test]
fn a_host_that_started_again_after_it_was_lost_can_be_lost_once_more() {
    let mut probes = with_lost_host();
    assert!(!probes.record_heard(&id(), NEXT_LIFE, ms(900)));
    assert!(probes.begin(&id(), NEXT_LIFE, ms(5_000)));
}

#[test]
fn an_announcement_that_was_heard_before_the_probe_does_not_return_a_lost_host() {
    let mut probes = with_lost_host();
    assert!(probes.record_heard(&id(), LIFE, ms(900)));
    assert!(!probes.begin(&id(), LIFE, ms(2_000)));
}

#[test]
fn a_host_that_an_earlier_term_lost_is_probed_in_the_next() {
    let mut probes = with_lost_host();
    assert!(!probes.begin(&id(), LIFE, ms(2_000)));
    probes.forget_losses();
    assert!(probes.begin(&id(), LIFE, ms(2_100)));
}
