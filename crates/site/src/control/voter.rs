//! The voter of a control host and its connection to the other voters.

use std::rc::Rc;
use std::time::Duration;

use crate::control::ControlHost;
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
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(500);

/// The environment of the voter on a control host.
#[derive(Clone)]
pub(crate) struct VoterEnvironment(pub Rc<ControlHost>);

/// Opens the voter of a control host.
pub(crate) fn open_voter(
    settings: &Settings,
    role_settings: &ControlSettings,
) -> std::io::Result<(LocalVoter, WriteQueue)> {
    let folder = role_settings.data_dir.join("log");
    let founding = role_settings.founding;
    quorum::open(&folder, |disk| {
        let mut cfg = vote::Config::new(settings.node_id(), disk, settings.seeds.clone());
        cfg.founding = founding;
        cfg
    })
}

/// Adds the method by which voters send each other messages.
pub(crate) fn add_methods(methods: RpcMethods<ControlHost>) -> RpcMethods<ControlHost> {
    methods.register(|control: Rc<ControlHost>, call: VoteMessage| async move {
        let messages = quorum::receive(&VoterEnvironment(control), call.from, call.message);
        Ok(VoteReply { messages })
    })
}

impl Environment for VoterEnvironment {
    fn local_voter(&self) -> Option<&LocalVoter> {
        Some(&self.0.local_voter)
    }

    fn send(&self, outgoing: Outgoing) {
        let addr = self.0.settings.internal_addr(outgoing.to);
        let call = VoteMessage {
            from: self.0.settings.node_id(),
            message: outgoing.message,
        };
        let environment = self.clone();
        compio::runtime::spawn(async move {
            // The voter resends what was not answered.
            let Ok(reply) = environment.0.rpc.call(addr, &call, MESSAGE_TIMEOUT).await else {
                return;
            };
            environment.receive_reply(outgoing.to, reply);
        })
        .detach();
    }

    fn entries_applied(&self) {
        let (version, text) = self.0.local_voter.configuration();
        self.0.activate_config(version, &text);
    }

    fn members_changed(&self) {
        self.0.members_changed.notify_waiters();
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
        self.0.controller_changed.notify_waiters();
    }
}

impl VoterEnvironment {
    fn receive_reply(&self, from: NodeId, reply: VoteReply) {
        for message in reply.messages {
            for message in quorum::receive(self, from, message) {
                let to = from;
                self.send(Outgoing { to, message });
            }
        }
    }
}
