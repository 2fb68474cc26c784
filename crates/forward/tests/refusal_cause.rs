//! Callers that were refused come back when they are probably served, not all at once.

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;

use forward::RefusalCause;

const AMPLE: Duration = Duration::from_secs(60);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Callers that are refused in one moment of a shortage that lasts for `lasts`, and come
/// back once. The part that is served then, if `places` come back in each 100 ms.
fn served(shortage: RefusalCause, lasts: Duration, left: Duration, places: usize) -> f64 {
    const CALLERS: usize = 400;
    let mut rng = Rng::with_seed(7);
    let mut arrivals: Vec<Duration> = (0..CALLERS)
        .map(|_| shortage.retry_after(left, &mut rng))
        .collect();
    arrivals.sort();
    let mut taken = BTreeMap::<u128, usize>::new();
    let mut count = 0;
    for back in arrivals {
        let slot = taken.entry(back.as_millis() / 100).or_default();
        *slot += 1;
        count += usize::from(lasts <= back && *slot <= places);
    }
    count as f64 / CALLERS as f64
}

#[test]
fn callers_refused_by_a_new_process_come_back_once_it_knows_where_to_send() {
    for ago in [0, 500, 1_000, 1_500] {
        let lasts = ms(1_700 - ago.min(1_700));
        let part = served(
            RefusalCause::Starting(ms(ago)),
            lasts,
            ms(6_000),
            usize::MAX,
        );
        assert!(0.9 <= part, "{ago} ms after the start: {part}");
    }
}

#[test]
fn callers_refused_together_do_not_come_back_together() {
    // 400 callers, and 50 places in each 100 ms once the shortage is over.
    let part = served(RefusalCause::Full, ms(700), ms(8_000), 50);
    assert!(0.8 <= part, "{part}");
}

#[test]
fn nobody_is_told_a_time_that_callers_do_not_wait() {
    let mut rng = Rng::with_seed(1);
    let all = [
        RefusalCause::Starting(Duration::ZERO),
        RefusalCause::NoTarget,
        RefusalCause::Full,
    ];
    for shortage in all {
        for left in [300, 1_500, 6_000] {
            let told = shortage.retry_after(ms(left), &mut rng);
            assert!(told <= ms(left / 3), "{shortage:?} with {left} ms left");
        }
    }
}

#[test]
fn what_another_host_can_serve_comes_back_soon() {
    let mut rng = Rng::with_seed(1);
    assert!(RefusalCause::ThisHost.retry_after(AMPLE, &mut rng) <= ms(100));
    assert!(RefusalCause::NotRun.retry_after(AMPLE, &mut rng) <= ms(200));
}
