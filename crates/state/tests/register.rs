//! The configuration register compared with a plain list of accepted changes.

use std::env;
use std::sync::Arc;

use base::ChangeId;
use base::Version;
use state::Command;
use state::ConfigChange;
use state::ConfigChangeReply;
use state::Limits;
use state::LogTime;
use state::Op;
use state::Reply;
use state::State;

/// A register that keeps every accepted change for ever.
#[derive(Default)]
struct ReferenceRegister {
    accepted: Vec<ConfigChange>,
}

impl ReferenceRegister {
    fn apply(&mut self, change: &ConfigChange) -> ConfigChangeReply {
        let current = Version(self.accepted.len() as u64);
        if let Some(at) = self.accepted.iter().position(|a| a.id == change.id) {
            let version = Version(at as u64 + 1);
            return if self.accepted[at] == *change {
                ConfigChangeReply::Accepted { version }
            } else {
                ConfigChangeReply::OtherContent { version }
            };
        }
        if current < change.base {
            return ConfigChangeReply::NoSuchBase { current };
        }
        if let Some(winner) = self.accepted.get(change.base.0 as usize) {
            let version = change.base.next();
            let winner = winner.id;
            return ConfigChangeReply::Conflict { winner, version };
        }
        self.accepted.push(change.clone());
        let version = current.next();
        ConfigChangeReply::Accepted { version }
    }
}

fn seeds(count: u64) -> Vec<u64> {
    match env::var("SEED") {
        Ok(seed) => vec![seed.parse().expect("SEED is a number")],
        Err(_) => (0..count).collect(),
    }
}

fn apply(state: &mut State, index: u64, change: &ConfigChange) -> ConfigChangeReply {
    let command = Command {
        at: LogTime(index),
        op: Op::Change(change.clone()),
    };
    match state.apply(index, &command) {
        Reply::Change(reply) => reply,
        other => panic!("{other:?}"),
    }
}

#[test]
fn agrees_with_a_list_of_accepted_changes() {
    for seed in seeds(200) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let limits = Limits {
            changes: rng.u64(3..40),
            ..Limits::default()
        };
        let mut state = State::with_limits(limits);
        let mut reference = ReferenceRegister::default();
        let mut sent: Vec<ConfigChange> = Vec::new();
        for index in 1..400 {
            let change = match rng.u8(0..4) {
                0 if !sent.is_empty() => sent[rng.usize(0..sent.len())].clone(),
                1 if !sent.is_empty() => ConfigChange {
                    text: "another text".into(),
                    ..sent[rng.usize(0..sent.len())].clone()
                },
                _ => ConfigChange {
                    id: ChangeId(rng.u128(..)),
                    base: Version(state.config().version().0.saturating_sub(rng.u64(0..3))),
                    text: Arc::from(format!("text {index}")),
                },
            };
            sent.push(change.clone());
            let before = state.config().version();
            let reply = apply(&mut state, index, &change);
            // The reference keeps all changes. The register may answer that a change is
            // unknown only if it has dropped the change that followed the same base.
            let expected = reference.apply(&change);
            if let ConfigChangeReply::Unknown { current } = reply {
                let last_dropped = Version(before.0.saturating_sub(limits.changes));
                assert!(change.base < last_dropped, "seed {seed} at {index}");
                assert_eq!(current, before, "seed {seed} at {index}");
            } else {
                assert_eq!(reply, expected, "seed {seed} at {index}");
            }
            assert_eq!(state.config().version().0, reference.accepted.len() as u64);
            let text = reference.accepted.last().map(|change| &*change.text);
            assert_eq!(&**state.config().text(), text.unwrap_or_default());
            if rng.u8(0..20) == 0 {
                let restored = State::decode(&state.encode()).unwrap();
                assert!(
                    restored.encode() == state.encode(),
                    "seed {seed} at {index}"
                );
                state = restored;
            }
        }
    }
}

#[test]
fn a_resend_gets_its_answer_after_hundreds_of_changes_and_a_restart() {
    let mut state = State::default();
    let change = |id: u128, base: u64| ConfigChange {
        id: ChangeId(id),
        base: Version(base),
        text: Arc::from(format!("text {id}")),
    };
    let first = apply(&mut state, 1, &change(1, 0));
    let loser = apply(&mut state, 2, &change(2, 0));
    for n in 1..900 {
        apply(&mut state, 2 + n, &change(100 + u128::from(n), n));
    }
    let mut state = State::decode(&state.encode()).unwrap();
    assert_eq!(apply(&mut state, 2_000, &change(1, 0)), first);
    assert_eq!(apply(&mut state, 2_001, &change(2, 0)), loser);
    let winner = ChangeId(1);
    let version = Version(1);
    assert_eq!(loser, ConfigChangeReply::Conflict { winner, version });
    assert_eq!(state.config().version(), Version(900));
}

#[test]
fn an_entry_of_the_log_is_applied_once() {
    let mut state = State::default();
    let change = ConfigChange {
        id: ChangeId(1),
        base: Version(0),
        text: "a".into(),
    };
    apply(&mut state, 5, &change);
    let command = Command {
        at: LogTime(9),
        op: Op::Change(change),
    };
    assert_eq!(state.apply(5, &command), Reply::Skipped);
    assert_eq!(state.now(), LogTime(5));
}

#[test]
fn a_damaged_snapshot_is_an_error() {
    assert!(State::decode(&[]).is_err());
    assert!(State::decode(&[9, 1, 2]).is_err());
    let bytes = State::default().encode();
    assert!(State::decode(&bytes[..bytes.len() / 2]).is_err());
}
