//! Refused callers are told to retry when they are probably served, and not all at once.

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;

use forward::RefusalCause;

const LONG_TIME_LEFT: Duration = Duration::from_secs(60);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The fraction of callers that are served when all are refused at the same moment and each
/// retries once. After `shortage_time`, `slots` callers are served in each 100 ms.
fn served_fraction(
    cause: RefusalCause,
    shortage_time: Duration,
    left: Duration,
    slots: usize,
) -> f64 {
    const CALLERS: usize = 400;
    let mut rng = Rng::with_seed(7);
    let mut arrivals: Vec<Duration> = (0..CALLERS)
        .map(|_| cause.retry_after(left, &mut rng))
        .collect();
    arrivals.sort();
    let mut taken_slots = BTreeMap::<u128, usize>::new();
    let mut served = 0;
    for arrival in arrivals {
        let taken = taken_slots.entry(arrival.as_millis() / 100).or_default();
        *taken += 1;
        served += usize::from(shortage_time <= arrival && *taken <= slots);
    }
    served as f64 / CALLERS as f64
}

#[test]
fn callers_refused_by_a_new_process_come_back_once_it_knows_where_to_send() {
    for ago in [0, 500, 1_000, 1_500] {
        let shortage_time = ms(1_700 - ago.min(1_700));
        let fraction = served_fraction(
            RefusalCause::Starting(ms(ago)),
            shortage_time,
            ms(6_000),
            usize::MAX,
        );
        assert!(0.9 <= fraction, "{ago} ms after the start: {fraction}");
    }
}

#[test]
fn callers_refused_together_do_not_come_back_together() {
    // 400 callers, and 50 free slots in each 100 ms after the shortage.
    let fraction = served_fraction(RefusalCause::Full, ms(700), ms(8_000), 50);
    assert!(0.8 <= fraction, "{fraction}");
}

#[test]
fn nobody_is_told_a_time_that_callers_do_not_wait() {
    let mut rng = Rng::with_seed(1);
    let causes = [
        RefusalCause::Starting(Duration::ZERO),
        RefusalCause::NoTarget,
        RefusalCause::Full,
    ];
    for cause in causes {
        for left in [300, 1_500, 6_000] {
            let delay = cause.retry_after(ms(left), &mut rng);
            assert!(delay <= ms(left / 3), "{cause:?} with {left} ms left");
        }
    }
}

#[test]
fn what_another_host_can_serve_comes_back_soon() {
    let mut rng = Rng::with_seed(1);
    assert!(RefusalCause::ThisHost.retry_after(LONG_TIME_LEFT, &mut rng) <= ms(100));
    assert!(RefusalCause::NotRun.retry_after(LONG_TIME_LEFT, &mut rng) <= ms(200));
}
