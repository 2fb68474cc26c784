//! A running entry host: its listeners and tasks, and how it stops.

use std::future::ready;
use std::rc::Rc;
use std::time::Duration;

use crate::entry::EntryHost;
use crate::entry::EntrySettings;
use crate::entry::Phase;
use crate::entry::follow;
use crate::entry::handle;
use crate::entry::paths;
use crate::platform::Platform;
use crate::settings::Settings;
use base::Time;
use memory::ListenerShare;
use net::ProcessMemory;
use net::Server;
use net::ServerLimits;
use net::TunnelServer;
use quorum::clock;

/// How long a caller's connection may be idle. Longer than callers keep one idle.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(25);

/// The most connections that callers may have open at once, if the machine bears as many.
const MAX_CALLER_CONNECTIONS: usize = 2_500;

/// The part of callers in the connections that the machine bears. Each of their requests may need
/// another descriptor for a connection to an upstream.
const CALLER_SHARE: ListenerShare = ListenerShare {
    memory: 76,
    descriptors: 35,
};

/// The part of those who ask for readiness.
const READINESS_SHARE: ListenerShare = ListenerShare {
    memory: 4,
    descriptors: 2,
};

/// How long a caller may read nothing of an answer.
const CALLER_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// How long this host keeps serving after it was told to stop, until no new connections arrive.
const DRAIN_DELAY: Duration = Duration::from_millis(2_600);

/// How long before the end of the stop the remaining requests are abandoned.
const ABANDON_MARGIN: Duration = Duration::from_millis(400);

/// How long before that every answer is given that is still due, so that it leaves this host on a
/// slow link.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(400);

/// A running entry host.
pub(crate) struct Running {
    pub entry: Rc<EntryHost>,
    callers: Server,
    readiness: Option<Server>,
    /// Takes connections that other entry hosts lead through this one.
    tunnels: Option<TunnelServer>,
}

impl Running {
    pub async fn start(
        settings: Settings,
        role_settings: EntrySettings,
        platform: Rc<dyn Platform>,
        memory: ProcessMemory,
    ) -> Result<Self, crate::RunError> {
        let entry = EntryHost::new(settings, role_settings, platform, memory.clone())?;
        let entry = Rc::new(entry);
        let bounds = ServerLimits {
            memory: memory.clone(),
            max_connections: MAX_CALLER_CONNECTIONS,
            share: CALLER_SHARE,
            max_head: entry.max_head.clone(),
            header_timeout: CALLER_IDLE_TIMEOUT,
            write_stall_timeout: CALLER_STALL_TIMEOUT,
        };
        let callers = {
            let entry = Rc::clone(&entry);
            let addr = entry.role_settings.caller_addr;
            Server::bind(addr, bounds, move |req| {
                handle::handle(Rc::clone(&entry), req)
            })
            .await?
        };
        let readiness = match entry.role_settings.readiness_addr == entry.role_settings.caller_addr
        {
            true => None,
            false => {
                let bounds = ServerLimits {
                    memory,
                    share: READINESS_SHARE,
                    ..ServerLimits::default()
                };
                let entry = Rc::clone(&entry);
                let addr = entry.role_settings.readiness_addr;
                let server = Server::bind(addr, bounds, move |req| {
                    ready(handle::answer_readiness(&entry, &req))
                });
                Some(server.await?)
            }
        };
        let tunnels = paths::bind_tunnels(&entry).await?;
        compio::runtime::spawn(paths::probe_lost_paths(Rc::clone(&entry))).detach();
        compio::runtime::spawn(follow::follow_control_host(Rc::clone(&entry))).detach();
        compio::runtime::spawn(follow::return_to_nearest(Rc::clone(&entry))).detach();
        compio::runtime::spawn(follow::send_observations(Rc::clone(&entry))).detach();
        compio::runtime::spawn(close_idle_connections(Rc::clone(&entry))).detach();
        Ok(Self {
            entry,
            callers,
            readiness,
            tunnels,
        })
    }

    /// Requests and tunnels that have not ended, and connections whose callers still read an answer.
    fn in_flight(&self) -> usize {
        let tunnels = self.tunnels.as_ref().map_or(0, TunnelServer::open_tunnels);
        self.entry.in_flight.get() + tunnels + self.entry.memory.unwritten_connections()
    }

    /// Applies reloaded settings.
    pub fn reload(&self, settings: &Settings) {
        self.entry.seeds.replace(settings.seeds.clone());
    }

    /// Reports that the host isn't ready, serves until no new connections arrive, and finishes
    /// the requests in flight. Those that last longer than the stop are answered before its end.
    pub async fn stop(&self, deadline: Time) {
        let answers_by = deadline - ABANDON_MARGIN - LAST_ANSWERS_TIME;
        self.entry.answers_by.set(answers_by);
        let entry = Rc::clone(&self.entry);
        compio::runtime::spawn(async move {
            compio::time::sleep(answers_by.since(clock::now())).await;
            entry.last_call.give();
        })
        .detach();
        self.entry.phase.set(Phase::Leaving);
        // Other entry hosts choose no tunnel through this one any more.
        self.entry.observations_added.notify_waiters();
        compio::time::sleep(DRAIN_DELAY).await;
        self.entry.phase.set(Phase::Draining);
        self.callers.stop_accepting();
        self.callers.close_idle_connections();
        if let Some(tunnels) = &self.tunnels {
            tunnels.stop_accepting();
        }
        while 0 < self.in_flight() && clock::now() + ABANDON_MARGIN < deadline {
            compio::time::sleep(Duration::from_millis(20)).await;
        }
        // The connections still have to write out their last bytes.
        compio::time::sleep(Duration::from_millis(60)).await;
        if let Some(readiness) = &self.readiness {
            readiness.stop_accepting();
        }
    }
}

/// Closes connections that have been idle for too long, for as long as the process runs.
async fn close_idle_connections(entry: Rc<EntryHost>) {
    loop {
        compio::time::sleep(Duration::from_millis(500)).await;
        entry.pool.close_expired();
    }
}
