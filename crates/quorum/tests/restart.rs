//! A voter that starts again leads with a state that is known to be current.

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
struct Alone(Rc<LocalVoter>, Rc<RefCell<Vec<String>>>);

impl Environment for Alone {
    fn local_voter(&self) -> Option<&LocalVoter> {
        Some(&self.0)
    }

    fn send(&self, outgoing: Outgoing) {
        panic!("nobody else is there: {outgoing:?}");
    }

    fn entries_applied(&self) {}

    fn log_event(&self, event: &VoterEvent<'_>) {
        self.1.borrow_mut().push(format!("{event:?}"));
    }
}

/// Waits until the voter leads, and gives the version of its state.
async fn leads(alone: &Alone) -> Version {
    for _ in 0..500 {
        if alone.0.leader_term(clock::now()).is_some() {
            return alone.0.configuration().0;
        }
        compio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("it does not lead: {:?}", alone.1.borrow());
}

fn life(folder: &std::path::Path, offer: Option<Version>) -> Version {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let me = NodeId(1);
        let cfg = |disk| vote::Config::new(me, disk, [me]);
        let (local, writes) = quorum::open(folder, cfg).unwrap();
        let alone = Alone(Rc::new(local), Rc::default());
        let driving = compio::runtime::spawn(quorum::run_voter(alone.clone(), writes));
        let version = leads(&alone).await;
        if let Some(version) = offer {
            let text = "{}".into();
            let reply = alone
                .0
                .propose(Op::Offer(ConfigOffer { version, text }))
                .unwrap();
            quorum::run_effects(&alone);
            reply.recv().await.unwrap().unwrap();
        }
        drop(driving);
        version
    })
}

/// The first entry of a term has no command. It counts all the same: else the state would
/// seem to lack it for ever.
#[test]
fn a_new_term_without_commands_is_current() {
    let folder = std::env::temp_dir().join(format!("berylbay-quorum-{}", std::process::id()));
    assert_eq!(life(&folder, Some(Version(7))), Version(0));
    assert_eq!(life(&folder, None), Version(7));
    assert_eq!(life(&folder, None), Version(7));
    std::fs::remove_dir_all(&folder).unwrap();
}
