//! Runs this node's voter and connects it to the network and the log.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use crate::events::Event;
use crate::events::emit;
use crate::inner::adopt_config;
use crate::node::Node;
use base::NodeId;
use quorum::Environment;
use quorum::LocalVoter;
use quorum::VoterEvent;
use quorum::WriteQueue;
use settings::Role;
use settings::Settings;
use vote::Outgoing;
use wire::peer::VoteMessage;

/// Time between two heartbeats of the voters' leader.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// How long a message to another voter and its answer may take.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The [`Environment`] that a node provides to its voter.
#[derive(Clone)]
struct NodeEnvironment(Rc<Node>);

/// Opens this node's voter, if its settings make it one.
pub fn open(settings: &Settings) -> io::Result<Option<(LocalVoter, WriteQueue)>> {
    let folder = match (settings.own_peer().role, &settings.node.data_dir) {
        (Role::Voter, Some(folder)) => folder.join("log"),
        _ => return Ok(None),
    };
    let cfg = |disk| {
        let mut cfg = vote::Config::new(settings.node.id, disk, settings.voters());
        cfg.timing.heartbeat_interval = HEARTBEAT_INTERVAL;
        cfg
    };
    quorum::open(&folder, cfg).map(Some)
}

/// Runs the voter, for as long as the node runs.
pub async fn run_voter(node: Rc<Node>, write_queue: WriteQueue) {
    quorum::run_voter(NodeEnvironment(node), write_queue).await;
}

/// Performs the voter's pending effects. Called after each input.
pub fn run_effects(node: &Rc<Node>) {
    quorum::run_effects(&NodeEnvironment(Rc::clone(node)));
}

/// Handles a message from another voter and returns the immediate replies to it.
pub fn receive_message(
    node: &Rc<Node>,
    from: NodeId,
    message: vote::Message,
) -> Vec<vote::Message> {
    quorum::receive(&NodeEnvironment(Rc::clone(node)), from, message)
}

/// Hands leadership to another voter before this process ends.
pub fn hand_over_leadership(node: &Rc<Node>) {
    quorum::hand_over_leadership(&NodeEnvironment(Rc::clone(node)));
}

impl Environment for NodeEnvironment {
    fn local_voter(&self) -> Option<&LocalVoter> {
        self.0.local_voter.as_ref()
    }

    fn send(&self, outgoing: Outgoing) {
        let Some(peer) = self.0.settings.peers.get(&outgoing.to) else {
            return;
        };
        let addr = peer.internal_addr;
        let call = VoteMessage {
            from: self.0.id(),
            message: outgoing.message,
        };
        let environment = self.clone();
        compio::runtime::spawn(async move {
            // The voter resends messages that were not answered.
            let Ok(answer) = environment.0.peers.call(addr, &call, MESSAGE_TIMEOUT).await else {
                return;
            };
            for message in answer.messages {
                for message in quorum::receive(&environment, outgoing.to, message) {
                    let to = outgoing.to;
                    environment.send(Outgoing { to, message });
                }
            }
        })
        .detach();
    }

    fn entries_applied(&self) {
        let Some(local_voter) = self.local_voter() else {
            return;
        };
        let (version, text) = local_voter.configuration();
        if self.0.version() < version {
            adopt_config(&self.0, version, &text);
        }
    }

    fn disk_failed(&self) {
        self.0.disk_failed.give();
    }

    fn log_event(&self, event: &VoterEvent<'_>) {
        emit(&match event {
            VoterEvent::Leading { term } => Event::Leading { term: *term },
            VoterEvent::Following { leader } => Event::Following { leader: *leader },
            VoterEvent::NotVoting { reason } => Event::VoterLost {
                reason: reason.clone(),
            },
            VoterEvent::DiskFailed { folder, error } => Event::DiskFailed {
                folder,
                error: error.clone(),
            },
        });
    }
}
