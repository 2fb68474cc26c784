//! Runs a process: start, reload of the settings, stop.

use std::future::pending;
use std::io;
use std::pin::pin;
use std::rc::Rc;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use futures_util::FutureExt;
use futures_util::future::Either;
use futures_util::future::Fuse;
use futures_util::future::LocalBoxFuture;
use futures_util::future::select;
use futures_util::select_biased;
use http::Response;
use http::StatusCode;

use crate::control;
use crate::entry;
use crate::events::Event;
use crate::events::emit;
use crate::platform::Platform;
use crate::settings::Settings;
use memory::ListenerShare;
use net::Body;
use net::ProcessMemory;
use net::Server;
use net::ServerLimits;
use quorum::clock;

const SIGHUP: i32 = 1;
const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;

/// The part of those who read the metrics in the connections that the machine bears.
const METRICS_SHARE: ListenerShare = ListenerShare {
    memory: 4,
    descriptors: 2,
};

/// Why a process cannot run.
#[derive(Debug, Display, Error, From)]
pub enum RunError {
    /// A listener, a file or the runtime failed.
    #[display("{_0}")]
    Io(io::Error),
    /// The client for calls to other processes could not be created.
    #[display("{_0}")]
    Client(cyper::Error),
    /// The state could not be written, and what the disk holds is not known.
    #[display("the disk failed, the process must start again")]
    #[from(skip)]
    DiskFailed,
}

/// What a signal asks the process to do.
enum SignalAction {
    Reload,
    Stop,
}

/// The roles that a process runs.
struct Roles {
    control: Option<control::Running>,
    entry: Option<entry::Running>,
}

/// Runs a process until a signal stops it. `load` reads the settings again on a reload.
pub fn run(
    settings: Settings,
    platform: Rc<dyn Platform>,
    load: impl Fn() -> Result<Settings, String>,
) -> Result<(), RunError> {
    compio::runtime::Runtime::new()?.block_on(run_roles(settings, platform, load))
}

async fn run_roles(
    settings: Settings,
    platform: Rc<dyn Platform>,
    load: impl Fn() -> Result<Settings, String>,
) -> Result<(), RunError> {
    let memory = ProcessMemory::open(settings.machine);
    let roles = Roles::start(&settings, &platform, &memory).await?;
    let _metrics = serve_metrics(&settings, &roles, &memory).await;
    compio::runtime::spawn(
        memory.report_shortages(|figures| emit(&Event::MemoryShort { figures })),
    )
    .detach();
    emit(&Event::Started {
        name: &settings.name,
        centre: &settings.centre,
        roles: roles.names(),
    });
    let mut signals = Signals::register();
    let mut is_disk_sound = true;
    loop {
        let action = {
            let signal = pin!(signals.next());
            match select(signal, pin!(roles.disk_failed())).await {
                Either::Left((action, _)) => action,
                Either::Right(_) => {
                    is_disk_sound = false;
                    SignalAction::Stop
                }
            }
        };
        if let SignalAction::Stop = action {
            break;
        }
        match load() {
            Ok(newer) => {
                emit(&Event::Reloaded {
                    seeds: newer.seeds.len(),
                });
                roles.reload(&newer);
            }
            Err(error) => emit(&Event::ReloadFailed { error }),
        }
    }
    let in_flight = roles.in_flight();
    emit(&Event::Stopping { in_flight });
    let deadline = clock::now() + settings.stop_timeout;
    if let Some(entry) = &roles.entry {
        entry.stop(deadline).await;
    }
    if let Some(control) = &roles.control {
        control.stop(deadline).await;
    }
    let in_flight = roles.in_flight();
    emit(&Event::Stopped { in_flight });
    match is_disk_sound {
        true => Ok(()),
        false => Err(RunError::DiskFailed),
    }
}

impl Roles {
    async fn start(
        settings: &Settings,
        platform: &Rc<dyn Platform>,
        memory: &ProcessMemory,
    ) -> Result<Self, RunError> {
        let control = match settings.control.clone() {
            Some(role_settings) => {
                let (settings, platform) = (settings.clone(), Rc::clone(platform));
                let memory = memory.clone();
                let running = control::Running::start(settings, role_settings, platform, memory);
                Some(running.await?)
            }
            None => None,
        };
        let entry = match settings.entry.clone() {
            Some(role_settings) => {
                let (settings, platform) = (settings.clone(), Rc::clone(platform));
                let memory = memory.clone();
                let running = entry::Running::start(settings, role_settings, platform, memory);
                Some(running.await?)
            }
            None => None,
        };
        Ok(Self { control, entry })
    }

    /// Waits until the disk has failed; for ever, if there is none.
    async fn disk_failed(&self) {
        match &self.control {
            Some(control) => control.disk_failed().await,
            None => pending().await,
        }
    }

    fn names(&self) -> &'static str {
        match (&self.control, &self.entry) {
            (Some(_), Some(_)) => "control,entry",
            (Some(_), None) => "control",
            (None, Some(_)) => "entry",
            (None, None) => "none",
        }
    }

    fn in_flight(&self) -> usize {
        self.entry
            .as_ref()
            .map_or(0, |running| running.entry.in_flight.get())
    }

    fn reload(&self, settings: &Settings) {
        if let Some(entry) = &self.entry {
            entry.reload(settings);
        }
        if let Some(control) = &self.control {
            control.reload(settings);
        }
    }
}

/// Serves the metrics. If the listener fails, the process runs without them.
async fn serve_metrics(
    settings: &Settings,
    roles: &Roles,
    memory: &ProcessMemory,
) -> Option<Server> {
    let entry = Rc::clone(&roles.entry.as_ref()?.entry);
    let addr = settings.metrics_addr;
    let limits = ServerLimits {
        memory: memory.clone(),
        share: METRICS_SHARE,
        ..ServerLimits::default()
    };
    let bound = Server::bind(addr, limits, move |_| {
        let entry = Rc::clone(&entry);
        async move {
            entry.metrics.set_resting(entry.count_resting());
            entry.metrics.record_memory(&entry.memory.figures());
            let mut response = Response::new(Body::whole(entry.metrics.encode()));
            *response.status_mut() = StatusCode::OK;
            response
        }
    })
    .await;
    match bound {
        Ok(server) => Some(server),
        Err(e) => {
            let error = e.to_string();
            emit(&Event::ListenFailed { addr, error });
            None
        }
    }
}

/// The signals that the process handles. Each has a second listener that is registered all the
/// time; without it, a signal that arrives between two waits would end the process.
struct Signals {
    hup: Listener,
    term: Listener,
    int: Listener,
    _always_registered: [Listener; 3],
}

type Listener = Fuse<LocalBoxFuture<'static, io::Result<()>>>;

impl Signals {
    fn register() -> Self {
        Self {
            hup: register_listener(SIGHUP),
            term: register_listener(SIGTERM),
            int: register_listener(SIGINT),
            _always_registered: [SIGHUP, SIGTERM, SIGINT].map(register_listener),
        }
    }

    async fn next(&mut self) -> SignalAction {
        select_biased! {
            _ = &mut self.term => return SignalAction::Stop,
            _ = &mut self.int => return SignalAction::Stop,
            _ = &mut self.hup => {}
        }
        self.hup = register_listener(SIGHUP);
        SignalAction::Reload
    }
}

/// Returns a listener that is already registered.
fn register_listener(signal: i32) -> Listener {
    let listener: LocalBoxFuture<'static, _> = Box::pin(compio::signal::unix::signal(signal));
    let mut listener = listener.fuse();
    // The first poll registers the listener.
    let _ = (&mut listener).now_or_never();
    listener
}
