//! Entries for services that are in no configuration change nothing that is recorded of other
//! processes. Guards against drains that were acknowledged and ignored because such an entry named
//! the replica's address (review/14). `SEED=7 cargo test -p fleet --test odd_claims` repeats one seed.

use std::collections::BTreeSet;
use std::time::Duration;

use fastrand::Rng;

use base::Incarnation;
use base::ServiceName;
use base::Time;
use base::UpstreamId;
use fleet::Announcement;
use fleet::IgnoreReason;
use fleet::Roster;
use fleet::RosterChange;
use fleet::UpdateOutcome;

const SEED_COUNT: u64 = 300;

fn announcement(id: &str, incarnation: u64, sequence: u64) -> Announcement {
    Announcement {
        id: id.parse().unwrap(),
        incarnation: Incarnation(incarnation),
        sequence,
        service: "orders".parse().unwrap(),
        addr: ([127, 0, 0, 1], 1).into(),
        centre: "c".parse().unwrap(),
        slots: 6,
        leaving: false,
        cold_left: Duration::ZERO,
        engine: None,
    }
}

fn odd_service() -> ServiceName {
    "no-such-service".parse().unwrap()
}

fn odd(id: &str, incarnation: u64, sequence: u64) -> Announcement {
    Announcement {
        service: odd_service(),
        ..announcement(id, incarnation, sequence)
    }
}

fn leaving(announcement: Announcement) -> Announcement {
    Announcement {
        leaving: true,
        ..announcement
    }
}

fn services(names: &[&str]) -> BTreeSet<ServiceName> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

fn roster() -> Roster {
    let mut roster = Roster::default();
    roster.set_known_services(services(&["orders", "chats"]));
    roster
}

fn id(text: &str) -> UpstreamId {
    text.parse().unwrap()
}

fn is_leaving(roster: &Roster, name: &str) -> bool {
    let entry = roster.get(&id(name));
    entry.is_some_and(|entry| entry.announcement.leaving)
}

#[test]
fn a_drain_is_recorded_after_an_entry_for_an_unknown_service_took_the_address() {
    let later = [0, 1, 5_000];
    let rows = later.into_iter().flat_map(|later| {
        let own_id = odd("other", 5 + later, 1);
        let same_id = odd("a", 5 + later, 1_000_000);
        [(later, own_id), (later, same_id)]
    });
    for (later, odd) in rows {
        for is_odd_first in [false, true] {
            let mut roster = roster();
            let first = announcement("a", 5, 1);
            let entries = match is_odd_first {
                true => [odd.clone(), first],
                false => [first, odd.clone()],
            };
            for entry in entries {
                roster.record_announcement(entry, Time::ZERO);
            }
            let drain = leaving(announcement("a", 5, 2));
            let outcome = roster.record_announcement(drain, Time::ZERO);
            assert_eq!(
                outcome,
                UpdateOutcome::Changed,
                "{later} {is_odd_first} {odd:?}"
            );
            assert!(is_leaving(&roster, "a"), "{later} {is_odd_first} {odd:?}");
        }
    }
}

#[test]
fn a_late_announcement_of_an_ended_process_takes_no_address_back_but_its_drain_is_kept() {
    let mut roster = roster();
    roster.record_announcement(announcement("old", 4, 1), Time::ZERO);
    roster.record_announcement(announcement("new", 9, 1), Time::ZERO);
    let late = announcement("old", 4, 7);
    let reason = roster.reason_to_ignore(&late);
    assert_eq!(reason, Some(IgnoreReason::AddressTaken));
    let outcome = roster.record_announcement(late, Time::ZERO);
    assert_eq!(outcome, UpdateOutcome::Ignored);
    let drain = leaving(announcement("old", 4, 8));
    let outcome = roster.record_announcement(drain, Time::ZERO);
    assert_eq!(outcome, UpdateOutcome::Changed);
    assert!(is_leaving(&roster, "old") && !is_leaving(&roster, "new"));
}

#[test]
fn a_service_that_comes_into_the_configuration_later_has_its_processes() {
    let mut roster = roster();
    let early = odd("a", 5, 1);
    let outcome = roster.record_announcement(early.clone(), Time::ZERO);
    assert_eq!(outcome, UpdateOutcome::Changed);
    roster.set_known_services(services(&["orders", "no-such-service"]));
    let late = announcement("ended", 4, 9);
    let reason = roster.reason_to_ignore(&late);
    assert_eq!(reason, Some(IgnoreReason::AddressTaken));
    let present: Vec<_> = roster.present_entries().collect();
    assert_eq!(present[0].announcement, early);
}

#[test]
fn a_roster_that_follows_another_takes_what_that_one_took() {
    let mut followed = roster();
    let mut follower = Roster::default();
    followed.record_announcement(odd("a-other", 9, 1), Time::ZERO);
    followed.record_announcement(announcement("b", 5, 1), Time::ZERO);
    for change in followed.changes_since(fleet::Revision::default()) {
        follower.follow_change(change, Time::ZERO);
    }
    assert!(follower.get(&id("b")).is_some());
    let drain = leaving(announcement("b", 5, 2));
    let outcome = follower.follow_change(RosterChange::Announced(drain), Time::ZERO);
    assert_eq!(outcome, UpdateOutcome::Changed);
}

/// An announcement of a process of a known service, sound and possibly late or repeated.
fn sound_announcement(rng: &mut Rng) -> Announcement {
    let number = rng.u64(1..6);
    let name = ["a", "b", "c", "d", "e"][number as usize - 1];
    let service = ["orders", "chats"][rng.usize(..2)];
    Announcement {
        service: service.parse().unwrap(),
        addr: ([127, 0, 0, 1], rng.u16(1..4)).into(),
        leaving: rng.u8(..4) == 0,
        ..announcement(name, number * 10 + rng.u64(..3), rng.u64(..20))
    }
}

/// An entry for an unknown service under any id, at any address, in any order.
fn odd_announcement(rng: &mut Rng) -> Announcement {
    let name = ["a", "b", "c", "d", "e", "x", "y"][rng.usize(..7)];
    Announcement {
        addr: ([127, 0, 0, 1], rng.u16(1..4)).into(),
        leaving: rng.bool(),
        ..odd(name, rng.u64(..100), rng.u64(..1_000))
    }
}

#[test]
fn no_entry_for_an_unknown_service_changes_what_is_known_of_other_processes() {
    let seeds = match std::env::var("SEED") {
        Ok(seed) => vec![seed.parse().unwrap()],
        Err(_) => (0..SEED_COUNT).collect(),
    };
    for seed in seeds {
        let mut rng = Rng::with_seed(seed);
        let (mut undisturbed, mut disturbed) = (roster(), roster());
        for step in 0..60 {
            if rng.bool() {
                disturbed.record_announcement(odd_announcement(&mut rng), Time::ZERO);
                continue;
            }
            let sound = sound_announcement(&mut rng);
            let outcome = undisturbed.record_announcement(sound.clone(), Time::ZERO);
            let disturbed_outcome = disturbed.record_announcement(sound.clone(), Time::ZERO);
            let is_taken = |outcome| outcome != UpdateOutcome::Ignored;
            assert_eq!(
                is_taken(outcome),
                is_taken(disturbed_outcome),
                "seed {seed}, step {step}: {sound:?}"
            );
            let known = |roster: &Roster| {
                let entry = roster.get(&sound.id);
                let announcement = entry.map(|entry| entry.announcement.clone());
                announcement.filter(|known| known.service != odd_service())
            };
            assert_eq!(
                known(&undisturbed),
                known(&disturbed),
                "seed {seed}, step {step}"
            );
        }
    }
}
