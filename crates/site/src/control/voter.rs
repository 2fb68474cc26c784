//! The voter of a control host, and its network.

use std::rc::Rc;
use std::time::Duration;

use crate::control::Control;
use crate::control::ControlSettings;
use crate::events::Event;
use crate::events::emit;
use crate::settings::Settings;
use base::NodeId;
use net::RpcMethods;
use quorum::Environment;
use quorum::LocalVoter;
use quorum::VoterEvent;
use quorum::WriteQueue;
use vote::Outgoing;
use wire::peer::VoteMessage;
use wire::peer::VoteReply;

/// How long a message to another voter may take.
const WITHIN: Duration = Duration::from_millis(500);

/// A control host as its voter sees it.
#[derive(Clone)]
pub(crate) struct AtControl(pub Rc<Control>);

/// Opens the voter of a control host.
pub(crate) fn open(
    settings: &Settings,
    own: &ControlSettings,
) -> std::io::Result<(LocalVoter, WriteQueue)> {
    let folder = own.data.join("log");
    let founding = own.founding;
    quorum::open(&folder, |disk| {
        let mut cfg = vote::Config::new(settings.node(), disk, settings.seeds.clone());
        cfg.founding = founding;
        cfg
    })
}

/// What voters offer to each other.
pub(crate) fn methods(methods: RpcMethods<Control>) -> RpcMethods<Control> {
    methods.register(|control: Rc<Control>, call: VoteMessage| async move {
        let messages = quorum::receive(&AtControl(control), call.from, call.message);
        Ok(VoteReply { messages })
    })
}

impl Environment for AtControl {
    fn local_voter(&self) -> Option<&LocalVoter> {
        Some(&self.0.voters)
    }

    fn send(&self, outgoing: Outgoing) {
        let addr = self.0.settings.internal(outgoing.to);
        let call = VoteMessage {
            from: self.0.settings.node(),
            message: outgoing.message,
        };
        let edge = self.clone();
        compio::runtime::spawn(async move {
            // The voter sends again what is not answered.
            let Ok(answer) = edge.0.peers.call(addr, &call, WITHIN).await else {
                return;
            };
            edge.take(outgoing.to, answer);
        })
        .detach();
    }

    fn entries_applied(&self) {
        let (version, text) = self.0.voters.configuration();
        self.0.bring_into_force(version, &text);
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
        self.0.due.ring();
    }
}

impl AtControl {
    fn take(&self, from: NodeId, answer: VoteReply) {
        for message in answer.messages {
            for message in quorum::receive(self, from, message) {
                let to = from;
                self.send(Outgoing { to, message });
            }
        }
    }
}
