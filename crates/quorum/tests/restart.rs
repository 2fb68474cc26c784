//! A restarted voter leads with a state that is known to be current.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use base::NodeId;
use base::Version;
use quorum::Environment;
use quorum::LocalVoter;
use quorum::VoterEvent;
use quorum::clock;
use state::ConfigOffer;
use state::Op;
use vote::Outgoing;

#[derive(Clone)]
struct SingleVoter(Rc<LocalVoter>, Rc<RefCell<Vec<String>>>);

impl Environment for SingleVoter {
    fn local_voter(&self) -> Option<&LocalVoter> {
        Some(&self.0)
    }

    fn send(&self, outgoing: Outgoing) {
        panic!("a single voter sent a message: {outgoing:?}");
    }

    fn entries_applied(&self) {}

    fn disk_failed(&self) {
        self.1.borrow_mut().push("the process ends".to_owned());
    }

    fn log_event(&self, event: &VoterEvent<'_>) {
        self.1.borrow_mut().push(format!("{event:?}"));
    }
}

/// Waits until the voter leads, and returns the version of its state.
async fn wait_until_leader(voter: &SingleVoter) -> Version {
    for _ in 0..500 {
        if voter.0.leader_term(clock::now()).is_some() {
            return voter.0.configuration().0;
        }
        compio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the voter does not lead: {:?}", voter.1.borrow());
}

/// Runs the voter until it leads, and offers a configuration with this version. Returns
/// the version of the state at the start.
fn run_once(folder: &std::path::Path, offer: Option<Version>) -> Version {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let id = NodeId(1);
        let cfg = |disk| vote::Config::new(id, disk, [id]);
        let (local_voter, write_queue) = quorum::open(folder, cfg).unwrap();
        let voter = SingleVoter(Rc::new(local_voter), Rc::default());
        let task = compio::runtime::spawn(quorum::run_voter(voter.clone(), write_queue));
        let version = wait_until_leader(&voter).await;
        if let Some(version) = offer {
            let text = "{}".into();
            let reply = voter
                .0
                .propose(Op::Offer(ConfigOffer { version, text }))
                .unwrap();
            quorum::run_effects(&voter);
            reply.recv().await.unwrap().unwrap();
        }
        drop(task);
        version
    })
}

/// The first entry of a term has no command but counts as applied. Otherwise the state
/// would never seem current until the next command.
#[test]
fn a_new_term_without_commands_is_current() {
    let folder = std::env::temp_dir().join(format!("berylbay-quorum-{}", std::process::id()));
    assert_eq!(run_once(&folder, Some(Version(7))), Version(0));
    assert_eq!(run_once(&folder, None), Version(7));
    assert_eq!(run_once(&folder, None), Version(7));
    std::fs::remove_dir_all(&folder).unwrap();
}
