//! Revoked keys stop working within the time limit, also if the entry host is frozen or cut
//! off. Keys stay trusted while updates arrive.

use std::time::Duration;

use fastrand::Rng;

use base::Time;
use forward::KeyFreshness;

const REVOKE_WITHIN: Duration = Duration::from_secs(5);
/// The longest time from the arrival of a request until it runs.
const MAX_START_DELAY: Duration = Duration::from_millis(500);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn nothing_is_believed_before_the_first_news() {
    assert!(!KeyFreshness::new(REVOKE_WITHIN).is_fresh(Time::from_millis(10)));
}

#[test]
fn keys_are_believed_while_there_is_news_and_for_a_while_after() {
    let mut freshness = KeyFreshness::new(REVOKE_WITHIN);
    for at in (1_000..20_000).step_by(200) {
        freshness.confirm(Time::from_millis(at), ms(300));
        assert!(freshness.is_fresh(Time::from_millis(at + 200)));
    }
    assert!(freshness.is_fresh(Time::from_millis(22_000)));
}

#[test]
fn an_answer_that_was_on_its_way_while_the_host_was_frozen_confirms_the_past_only() {
    let mut freshness = KeyFreshness::new(REVOKE_WITHIN);
    freshness.confirm(Time::from_millis(1_000), Duration::ZERO);
    // The host is frozen from 1.2 s to 9 s, then receives the answer to its call of 1.2 s.
    freshness.confirm(Time::from_millis(1_200), Duration::ZERO);
    assert!(!freshness.is_fresh(Time::from_millis(9_000)));
}

#[test]
fn a_control_host_that_is_cut_off_itself_prolongs_nothing() {
    let mut freshness = KeyFreshness::new(REVOKE_WITHIN);
    for at in (1_000..9_000).step_by(200) {
        // The control host answers at once, but its last contact with a majority was at 1 s.
        freshness.confirm(Time::from_millis(at), ms(at - 1_000));
    }
    assert!(!freshness.is_fresh(Time::from_millis(6_000)));
}

#[test]
fn no_request_with_a_revoked_key_runs_after_the_bound() {
    for seed in 0..5_000 {
        let mut rng = Rng::with_seed(seed);
        let mut freshness = KeyFreshness::new(REVOKE_WITHIN);
        // A majority revokes the key at this time, in milliseconds.
        let revoked = rng.u64(2_000..8_000);
        let mut now = 0;
        let mut knows_revocation = false;
        while now < 30_000 {
            // The host asks, may be frozen or cut off for a while, and then may get the answer.
            let asked = now;
            now += rng.u64(10..400);
            if rng.u32(0..12) == 0 {
                now += rng.u64(0..9_000);
            }
            let is_answered = rng.u32(0..3) != 0;
            let confirmed_ago = rng.u64(0..2_000).min(asked);
            if is_answered {
                freshness.confirm(Time::from_millis(asked), ms(confirmed_ago));
                knows_revocation |= revoked <= asked - confirmed_ago;
            }
            let trusts = !knows_revocation && freshness.is_fresh(Time::from_millis(now));
            let runs = Time::from_millis(now) + MAX_START_DELAY;
            let deadline = Time::from_millis(revoked) + REVOKE_WITHIN;
            assert!(
                !trusts || runs <= deadline,
                "seed {seed}: request at {now} ms, key revoked at {revoked} ms"
            );
        }
    }
}
