//! A roster holds the latest announcement of each upstream, in whatever order they arrive.
//! A configuration finds the route of a request.

use std::time::Duration;

use base::Incarnation;
use base::Time;
use base::UpstreamId;
use fleet::Announcement;
use fleet::Configuration;
use fleet::RequestKind;
use fleet::Revision;
use fleet::Roster;
use fleet::Route;
use fleet::ServiceShare;
use fleet::UpdateOutcome;

fn announcement(id: &str, incarnation: u64, sequence: u64, port: u16) -> Announcement {
    Announcement {
        id: id.parse().unwrap(),
        incarnation: Incarnation(incarnation),
        sequence,
        service: "orders".parse().unwrap(),
        addr: ([127, 0, 0, 1], port).into(),
        centre: "c".parse().unwrap(),
        slots: 6,
        leaving: false,
        cold_left: Duration::ZERO,
        engine: None,
    }
}

fn id(text: &str) -> UpstreamId {
    text.parse().unwrap()
}

#[test]
fn a_late_word_of_an_earlier_life_or_number_changes_nothing() {
    let mut roster = Roster::default();
    assert_eq!(
        roster.record_announcement(announcement("a", 5, 3, 1), Time::ZERO),
        UpdateOutcome::Changed
    );
    assert_eq!(
        roster.record_announcement(announcement("a", 5, 4, 1), Time::ZERO),
        UpdateOutcome::Refreshed
    );
    assert_eq!(
        roster.record_announcement(announcement("a", 5, 3, 2), Time::ZERO),
        UpdateOutcome::Ignored
    );
    assert_eq!(
        roster.record_announcement(announcement("a", 4, 9, 2), Time::ZERO),
        UpdateOutcome::Ignored
    );
    assert_eq!(
        roster.record_announcement(announcement("a", 6, 1, 2), Time::ZERO),
        UpdateOutcome::Changed
    );
}

#[test]
fn a_late_word_of_a_process_whose_address_has_another_holder_is_passed_over() {
    let mut roster = Roster::default();
    roster.record_announcement(announcement("new", 9, 1, 1), Time::ZERO);
    assert_eq!(
        roster.record_announcement(announcement("old", 4, 7, 1), Time::ZERO),
        UpdateOutcome::Ignored
    );
}

#[test]
fn a_process_that_is_gone_comes_back_only_in_a_later_life() {
    let mut roster = Roster::default();
    roster.record_announcement(announcement("a", 5, 3, 1), Time::ZERO);
    assert_eq!(
        roster.record_departure(&id("a"), Incarnation(5), Time::ZERO),
        UpdateOutcome::Changed
    );
    assert_eq!(
        roster.record_announcement(announcement("a", 5, 4, 1), Time::ZERO),
        UpdateOutcome::Ignored
    );
    assert!(roster.get(&id("a")).is_none());
    assert_eq!(
        roster.record_announcement(announcement("a", 6, 1, 1), Time::ZERO),
        UpdateOutcome::Changed
    );
}

/// Guards against a late announcement that brings back a process whose departure came first.
#[test]
fn the_departure_of_an_unknown_process_or_life_is_kept_and_passed_on() {
    let mut known_before = Roster::default();
    known_before.record_announcement(announcement("a", 4, 9, 1), Time::ZERO);
    for mut roster in [Roster::default(), known_before] {
        let since = roster.revision();
        let departed = roster.record_departure(&id("a"), Incarnation(5), Time::ZERO);
        assert_eq!(departed, UpdateOutcome::Changed);
        let again = roster.record_departure(&id("a"), Incarnation(5), Time::ZERO);
        assert_eq!(again, UpdateOutcome::Ignored);
        assert!(roster.get(&id("a")).is_none());
        assert_eq!(roster.latest_incarnation(&id("a")), Some(Incarnation(5)));
        let mut follower = Roster::default();
        for change in roster.changes_since(since) {
            follower.apply_change(change, Time::ZERO);
        }
        for roster in [&mut roster, &mut follower] {
            let late = roster.record_announcement(announcement("a", 5, 7, 1), Time::ZERO);
            assert_eq!(late, UpdateOutcome::Ignored);
            let born_anew = roster.record_announcement(announcement("a", 6, 1, 1), Time::ZERO);
            assert_eq!(born_anew, UpdateOutcome::Changed);
            let late = roster.record_departure(&id("a"), Incarnation(5), Time::ZERO);
            assert_eq!(late, UpdateOutcome::Ignored);
            assert!(roster.get(&id("a")).is_some());
        }
    }
}

#[test]
fn the_departure_of_an_unknown_process_is_forgotten_after_a_long_silence() {
    let mut roster = Roster::default();
    roster.record_departure(&id("a"), Incarnation(5), Time::ZERO);
    roster.remove_silent(Time::ZERO + Duration::from_secs(59));
    assert_eq!(roster.departures().count(), 1);
    roster.remove_silent(Time::ZERO + Duration::from_secs(61));
    assert_eq!(roster.departures().count(), 0);
}

#[test]
fn a_follower_that_takes_the_changes_knows_the_same() {
    let mut roster = Roster::default();
    let mut follower = Roster::default();
    let mut known = Revision::default();
    for round in 1..20 {
        let name = format!("p{}", round % 4);
        roster.record_announcement(
            announcement(&name, 1, round, 1 + (round % 4) as u16),
            Time::ZERO,
        );
        if round % 5 == 0 {
            roster.record_departure(&id(&name), Incarnation(1), Time::ZERO);
        }
        for change in roster.changes_since(known) {
            follower.apply_change(change, Time::ZERO);
        }
        known = roster.revision();
        let ids = |roster: &Roster| -> Vec<UpstreamId> {
            roster
                .present_entries()
                .map(|entry| entry.announcement.id.clone())
                .collect()
        };
        assert_eq!(ids(&roster), ids(&follower));
    }
}

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.parse().unwrap(),
        host: "Stall.Example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RequestKind::Once,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        event_gap_target: None,
        priority: 1,
        shares: vec![ServiceShare {
            service: "orders".parse().unwrap(),
            weight: 3,
        }],
        attempts: 1,
        public: true,
    }
}

#[test]
fn the_longest_prefix_of_the_host_decides() {
    let mut configuration = Configuration::default();
    for (name, prefix) in [("a", "/x/"), ("b", "/"), ("c", "/x/y/")] {
        configuration.add_route(route(name, prefix));
    }
    let found = |host: &str, path: &str| {
        let route = configuration.route(host, path)?;
        Some(route.name.as_str().to_owned())
    };
    assert_eq!(found("stall.example:80", "/x/y/1").as_deref(), Some("c"));
    assert_eq!(found("stall.example", "/x/z").as_deref(), Some("a"));
    assert_eq!(found("stall.example", "/x").as_deref(), Some("b"));
    assert_eq!(found("other.example", "/x/"), None);
}
