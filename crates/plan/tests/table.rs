//! An entry node's routes expire by its own clock, and old grants change nothing.

use std::time::Duration;

use base::CentreId;
use base::Fence;
use base::HostId;
use base::Incarnation;
use base::NodeId;
use base::ReplicaId;
use base::Time;
use plan::GrantId;
use plan::GrantOutcome;
use plan::Route;
use plan::RouteGrant;
use plan::RoutePoll;
use plan::RouteTable;

fn table() -> RouteTable {
    RouteTable::new(NodeId(1), Incarnation(1))
}

fn route(replica: u64) -> Route {
    Route {
        replica: ReplicaId(replica),
        fence: Fence(1),
        model: "small".parse().unwrap(),
        hosts: vec![HostId(replica as u32)],
        addr: "127.0.0.1:1".parse().unwrap(),
    }
}

fn grant(poll: &RoutePoll, fence: u64, sequence: u64, added: &[u64]) -> RouteGrant {
    RouteGrant {
        centre: CentreId(1),
        id: GrantId {
            fence: Fence(fence),
            sequence,
        },
        poll: poll.number,
        base: poll.taken,
        added: added.iter().map(|id| route(*id)).collect(),
        removed: Vec::new(),
        valid_for: Duration::from_secs(1),
        shorter: Vec::new(),
        hold_for: Duration::ZERO,
        heard_within: Duration::ZERO,
    }
}

fn count(table: &RouteTable, ms: u64) -> usize {
    let model = "small".parse().unwrap();
    table.valid_routes(&model, Time::from_millis(ms)).len()
}

#[test]
fn a_route_counts_from_when_the_poll_was_sent_not_from_its_answer() {
    let mut table = table();
    let poll = table.next_poll(CentreId(1), Time::from_millis(0));
    assert_eq!(
        table.apply_grant(&grant(&poll, 1, 1, &[7])),
        GrantOutcome::Applied
    );
    assert_eq!(count(&table, 999), 1);
    assert_eq!(count(&table, 1_000), 0);
    assert!(!table.allows_route(ReplicaId(7), Fence(1), Time::from_millis(60_000)));
    assert!(!table.allows_route(ReplicaId(7), Fence(2), Time::from_millis(10)));
}

#[test]
fn an_answer_to_an_older_poll_or_of_an_older_tenure_changes_nothing() {
    let mut table = table();
    let first = table.next_poll(CentreId(1), Time::from_millis(0));
    let second = table.next_poll(CentreId(1), Time::from_millis(500));
    assert_eq!(
        table.apply_grant(&grant(&second, 2, 1, &[7])),
        GrantOutcome::Applied
    );
    assert_eq!(
        table.apply_grant(&grant(&first, 2, 2, &[8])),
        GrantOutcome::Stale
    );
    let third = table.next_poll(CentreId(1), Time::from_millis(900));
    assert_eq!(
        table.apply_grant(&grant(&third, 1, 9, &[8])),
        GrantOutcome::Stale
    );
    assert_eq!(count(&table, 1_000), 1);
}

#[test]
fn a_grant_on_a_base_that_is_not_held_is_passed_over() {
    let mut table = table();
    let first = table.next_poll(CentreId(1), Time::from_millis(0));
    table.apply_grant(&grant(&first, 1, 1, &[7]));
    let poll = table.next_poll(CentreId(1), Time::from_millis(500));
    let mut other = grant(&poll, 1, 3, &[8]);
    other.base = Some(GrantId {
        fence: Fence(1),
        sequence: 2,
    });
    assert_eq!(table.apply_grant(&other), GrantOutcome::MissingBase);
    assert_eq!(count(&table, 600), 1);
}

#[test]
fn a_withdrawn_route_and_one_with_a_leaving_host_end_at_once() {
    let mut table = table();
    let first = table.next_poll(CentreId(1), Time::from_millis(0));
    table.apply_grant(&grant(&first, 1, 1, &[7, 8, 9]));
    let poll = table.next_poll(CentreId(1), Time::from_millis(500));
    let mut next = grant(&poll, 1, 2, &[]);
    next.removed = vec![ReplicaId(7)];
    assert_eq!(table.apply_grant(&next), GrantOutcome::Applied);
    assert_eq!(count(&table, 600), 2);
    table.mark_leaving(HostId(8), Time::from_millis(600));
    assert_eq!(count(&table, 600), 1);
}
