//! Offered configurations with version numbers: the highest version is in force.

use base::Version;
use state::Command;
use state::ConfigOffer;
use state::ConfigOfferReply;
use state::Limits;
use state::LogTime;
use state::Op;
use state::Reply;
use state::State;

fn offer(state: &mut State, index: u64, version: u64, text: &str) -> ConfigOfferReply {
    let op = Op::Offer(ConfigOffer {
        version: Version(version),
        text: text.into(),
    });
    match state.apply(index, &Command { at: LogTime(0), op }) {
        Reply::Offer(reply) => reply,
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_highest_version_is_in_force_in_whatever_order_they_come() {
    let mut state = State::default();
    let mut rng = fastrand::Rng::with_seed(3);
    let mut versions: Vec<u64> = (1..50).collect();
    rng.shuffle(&mut versions);
    let mut highest = 0;
    for (index, version) in (1..).zip(versions) {
        let reply = offer(&mut state, index, version, &version.to_string());
        assert_eq!(reply == ConfigOfferReply::InForce, highest < version);
        highest = highest.max(version);
        assert_eq!(state.config().version(), Version(highest));
        assert_eq!(&**state.config().text(), highest.to_string());
    }
}

#[test]
fn other_content_under_the_version_in_force_changes_nothing() {
    let mut state = State::default();
    assert_eq!(offer(&mut state, 1, 4, "first"), ConfigOfferReply::InForce);
    let current = Version(4);
    assert_eq!(
        offer(&mut state, 2, 4, "second"),
        ConfigOfferReply::Kept { current }
    );
    assert_eq!(&**state.config().text(), "first");
}

#[test]
fn a_text_that_is_too_large_is_refused() {
    let mut state = State::with_limits(Limits {
        text_bytes: 3,
        ..Limits::default()
    });
    let reply = offer(&mut state, 1, 1, "four");
    assert_eq!(reply, ConfigOfferReply::TooLarge { bytes: 4, max: 3 });
}
