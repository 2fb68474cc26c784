//! The recorded replicas, and snapshots of releases that had none.

use base::Fence;
use base::Incarnation;
use base::Version;
use fleet::RecordChanges;
use fleet::RecordedHost;
use fleet::RecordedPhase;
use fleet::ReplicaRecord;
use state::Command;
use state::LogTime;
use state::Op;
use state::Reply;
use state::State;

fn record(epoch: u64) -> ReplicaRecord {
    let host = |rank: u64| RecordedHost {
        id: format!("h{epoch}-{rank}").parse().unwrap(),
        incarnation: Incarnation(epoch),
        addr: "127.0.0.1:1".parse().unwrap(),
    };
    ReplicaRecord {
        replica: format!("r{epoch}.wide").parse().unwrap(),
        epoch: Fence(epoch),
        service: "lm".parse().unwrap(),
        model: "wide".parse().unwrap(),
        centre: "c0".parse().unwrap(),
        domain: Some("d0".parse().unwrap()),
        phase: RecordedPhase::Serving,
        hosts: vec![host(0), host(1)],
    }
}

fn apply(state: &mut State, index: u64, opened: &[u64], ended: &[u64]) {
    let changes = RecordChanges {
        recorded: opened.iter().copied().map(record).collect(),
        ended: ended.iter().copied().map(Fence).collect(),
    };
    let op = Op::RecordReplicas(changes);
    let at = LogTime(0);
    let reply = state.apply(index, &Command { at, op });
    assert_eq!(reply, Reply::ReplicasRecorded);
}

fn recorded(state: &State) -> Vec<ReplicaRecord> {
    state.replicas().records().cloned().collect()
}

#[test]
fn a_replica_is_recorded_until_it_has_ended() {
    let mut state = State::default();
    apply(&mut state, 1, &[4, 7], &[]);
    apply(&mut state, 2, &[9], &[4, 5]);
    assert_eq!(recorded(&state), [record(7), record(9)]);
    apply(&mut state, 3, &[7], &[9, 9]);
    assert_eq!(recorded(&state), [record(7)]);
}

#[test]
fn recorded_replicas_are_part_of_a_snapshot() {
    let mut state = State::default();
    apply(&mut state, 1, &[4, 7], &[]);
    let copy = state.copy_for_snapshot();
    apply(&mut state, 2, &[], &[4]);
    let restored = State::decode(&copy.encode()).unwrap();
    assert_eq!(recorded(&restored), [record(4), record(7)]);
    let restored = State::decode(&state.encode()).unwrap();
    assert_eq!(recorded(&restored), [record(7)]);
}

#[test]
fn a_snapshot_of_a_release_without_recorded_replicas_is_read() {
    // Version 7 of the configuration, offered at index 3.
    const FORMAT_1: [u8; 31] = [
        1, 3, 5, 128, 128, 128, 32, 128, 128, 128, 16, 128, 128, 1, 128, 128, 128, 2, 128, 128, 4,
        7, 5, 115, 101, 118, 101, 110, 0, 0, 0,
    ];
    let state = State::decode(&FORMAT_1).unwrap();
    assert_eq!(state.applied(), 3);
    assert_eq!(state.config().version(), Version(7));
    assert_eq!(&**state.config().text(), "seven");
    assert_eq!(recorded(&state), []);
}
