//! Keys that were taken away stop to count within the bound, whatever happens to the entry
//! host, and go on being believed while there is news.

use std::time::Duration;

use fastrand::Rng;

use base::Time;
use forward::KeyFreshness;

const BOUND: Duration = Duration::from_secs(5);
/// Time from a request's arrival here until it runs, at most.
const ON_ITS_WAY: Duration = Duration::from_millis(500);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn nothing_is_believed_before_the_first_news() {
    assert!(!KeyFreshness::new(BOUND).is_fresh(Time::from_millis(10)));
}

#[test]
fn keys_are_believed_while_there_is_news_and_for_a_while_after() {
    let mut life = KeyFreshness::new(BOUND);
    for at in (1_000..20_000).step_by(200) {
        life.confirm(Time::from_millis(at), ms(300));
        assert!(life.is_fresh(Time::from_millis(at + 200)));
    }
    assert!(life.is_fresh(Time::from_millis(22_000)));
}

#[test]
fn an_answer_that_was_on_its_way_while_the_host_was_frozen_confirms_the_past_only() {
    let mut life = KeyFreshness::new(BOUND);
    life.confirm(Time::from_millis(1_000), Duration::ZERO);
    // It sleeps from 1.2 s to 9 s, and finds the answer to what it had asked at 1.2 s.
    life.confirm(Time::from_millis(1_200), Duration::ZERO);
    assert!(!life.is_fresh(Time::from_millis(9_000)));
}

#[test]
fn a_control_host_that_is_cut_off_itself_prolongs_nothing() {
    let mut life = KeyFreshness::new(BOUND);
    for at in (1_000..9_000).step_by(200) {
        // It answers at once, but a majority stood behind it at 1 s only.
        life.confirm(Time::from_millis(at), ms(at - 1_000));
    }
    assert!(!life.is_fresh(Time::from_millis(6_000)));
}

#[test]
fn no_request_with_a_revoked_key_runs_after_the_bound() {
    for seed in 0..5_000 {
        let mut rng = Rng::with_seed(seed);
        let mut life = KeyFreshness::new(BOUND);
        // At this time the key is taken away, with a majority's word.
        let revoked = rng.u64(2_000..8_000);
        let mut now = 0;
        let mut knows = false;
        while now < 30_000 {
            // It asks, is frozen or cut off for some time, and may get an answer from then.
            let asked = now;
            now += rng.u64(10..400);
            if rng.u32(0..12) == 0 {
                now += rng.u64(0..9_000);
            }
            let is_answered = rng.u32(0..3) != 0;
            let behind = rng.u64(0..2_000).min(asked);
            if is_answered {
                life.confirm(Time::from_millis(asked), ms(behind));
                knows |= revoked <= asked - behind;
            }
            let believes = !knows && life.is_fresh(Time::from_millis(now));
            let runs = Time::from_millis(now) + ON_ITS_WAY;
            let bound = Time::from_millis(revoked) + BOUND;
            assert!(
                !believes || runs <= bound,
                "seed {seed}: at {now} of {revoked}"
            );
        }
    }
}
