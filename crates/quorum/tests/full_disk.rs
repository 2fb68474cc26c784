//! A voter whose disk has no room for a while, or fails.

use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compio::time::timeout;

use base::ByteSize;
use base::NodeId;
use base::Version;
use disk::FaultPlan;
use disk::FileFaults;
use disk::FileOp;
use disk::Options;
use quorum::Environment;
use quorum::LocalVoter;
use quorum::VoterEvent;
use quorum::clock;
use state::ConfigOffer;
use state::Op;
use vote::Outgoing;

const ENOSPC: i32 = 28;
const EIO: i32 = 5;

/// The time within which a change is acknowledged once there is room.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(4);

static COUNT: AtomicU32 = AtomicU32::new(0);

#[derive(Clone)]
struct SingleVoter(Rc<LocalVoter>, Rc<RefCell<Vec<String>>>);

impl SingleVoter {
    fn has_logged(&self, event: &str) -> bool {
        self.1.borrow().iter().any(|line| line.contains(event))
    }
}

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

fn folder() -> PathBuf {
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("berylbay-full-{}-{count}", std::process::id()))
}

/// Offers a configuration until it is acknowledged.
async fn offer(voter: &SingleVoter, version: u64) {
    loop {
        let text = "{}".into();
        let version = Version(version);
        let proposed = voter.0.propose(Op::Offer(ConfigOffer { version, text }));
        quorum::run_effects(voter);
        if let Ok(reply) = proposed
            && let Ok(Ok(Some(_))) = timeout(Duration::from_millis(300), reply.recv()).await
        {
            return;
        }
        compio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn open(folder: &std::path::Path, faults: &FileFaults) -> (SingleVoter, quorum::WriteQueue) {
    let id = NodeId(1);
    let options = Options {
        segment_size: ByteSize(400),
        faults: Some(faults.clone()),
        ..Options::default()
    };
    let cfg = |disk| vote::Config::new(id, disk, [id]);
    let (local_voter, write_queue) = quorum::open_with(folder, options, cfg).unwrap();
    (
        SingleVoter(Rc::new(local_voter), Rc::default()),
        write_queue,
    )
}

// Changes stayed unanswered to the end of the process after its disk had been full for seconds.
#[test]
fn changes_are_acknowledged_again_once_a_full_disk_has_room() {
    for (op, skip) in [
        (None, 0),
        (None, 3),
        (Some(FileOp::SyncFile), 0),
        (Some(FileOp::SetLength), 0),
        (Some(FileOp::Create), 0),
        (Some(FileOp::SyncFolder), 0),
    ] {
        let folder = folder();
        compio::runtime::Runtime::new().unwrap().block_on(async {
            let faults = FileFaults::default();
            let (voter, write_queue) = open(&folder, &faults);
            let task = compio::runtime::spawn(quorum::run_voter(voter.clone(), write_queue));
            timeout(ACKNOWLEDGED_WITHIN, offer(&voter, 1))
                .await
                .unwrap();
            let count = usize::MAX - skip;
            let errno = ENOSPC;
            faults.plan(Some(FaultPlan {
                op,
                skip,
                count,
                errno,
            }));
            for version in 2..12 {
                let _ = timeout(Duration::from_millis(150), offer(&voter, version)).await;
            }
            faults.plan(None);
            let acknowledged = timeout(ACKNOWLEDGED_WITHIN, offer(&voter, 20)).await;
            assert!(acknowledged.is_ok(), "{op:?}: {:?}", voter.1.borrow());
            assert!(!voter.has_logged("the process ends"));
            drop(task);
        });
        std::fs::remove_dir_all(&folder).unwrap();
    }
}

// A voter that took no further part stayed, and nobody noticed.
#[test]
fn a_process_whose_disk_failed_ends_and_starts_again_with_what_it_holds() {
    let folder = folder();
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let faults = FileFaults::default();
        let (voter, write_queue) = open(&folder, &faults);
        let task = compio::runtime::spawn(quorum::run_voter(voter.clone(), write_queue));
        timeout(ACKNOWLEDGED_WITHIN, offer(&voter, 1))
            .await
            .unwrap();
        faults.plan(Some(FaultPlan {
            op: Some(FileOp::SyncFile),
            skip: 0,
            count: 1,
            errno: EIO,
        }));
        let _ = timeout(Duration::from_millis(500), offer(&voter, 2)).await;
        assert!(
            voter.has_logged("the process ends"),
            "{:?}",
            voter.1.borrow()
        );
        assert!(voter.0.leader_term(clock::now()).is_none() || voter.0.is_halted());
        drop(task);
    });
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let (voter, write_queue) = open(&folder, &FileFaults::default());
        let task = compio::runtime::spawn(quorum::run_voter(voter.clone(), write_queue));
        timeout(ACKNOWLEDGED_WITHIN, offer(&voter, 3))
            .await
            .unwrap();
        assert_eq!(voter.0.configuration().0, Version(3));
        drop(task);
    });
    std::fs::remove_dir_all(&folder).unwrap();
}
