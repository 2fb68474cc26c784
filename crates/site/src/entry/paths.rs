//! Connects to upstreams, directly or through another entry host, and probes direct paths that
//! were lost.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::time::timeout;
use futures_util::future::Either;
use futures_util::future::select;

use crate::connection_pool::USER_TIMEOUT;
use crate::entry::EntryHost;
use crate::entry::rest_notices;
use crate::entry::statements;
use crate::events::Event;
use crate::events::emit;
use crate::settings::node_at;
use base::Time;
use base::UpstreamId;
use fleet::EntryReport;
use forward::ConnectPath;
use forward::ConnectPlan;
use forward::Target;
use memory::ListenerShare;
use net::Connection;
use net::SendError;
use net::TunnelError;
use net::TunnelPolicy;
use net::TunnelServer;
use net::TunnelServerConfig;
use quorum::clock;

/// How long connecting to a target may take, each way.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long another entry host may take to connect in place of this one.
const PEER_TIMEOUT: Duration = Duration::from_millis(150);

/// Other entry hosts that are asked for one connection.
const MAX_PEERS: usize = 3;

/// The most tunnels of other entry hosts at once, if the machine bears as many.
const MAX_TUNNELS: usize = 400;

/// The part of the tunnels in the connections that the machine bears. Each needs two descriptors.
const TUNNEL_SHARE: ListenerShare = ListenerShare {
    memory: 16,
    descriptors: 10,
};

/// Time between two looks at whether a lost path is to be probed.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// This host's report of itself is repeated after this long.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// The last report of this host.
#[derive(Debug, Default)]
pub(crate) struct OwnReport {
    sent: Option<EntryReport>,
    sent_at: Time,
}

/// The way of a connection.
pub(crate) fn path_of(connection: &Connection) -> ConnectPath {
    match connection.peer().map(|peer| peer.ip()) {
        Some(IpAddr::V4(ip)) => ConnectPath::Through(node_at(ip)),
        Some(IpAddr::V6(_)) | None => ConnectPath::Direct,
    }
}

/// Takes connections that other entry hosts lead through this one. Where a control host listens in
/// the same process, there are none.
pub(crate) async fn bind_tunnels(entry: &Rc<EntryHost>) -> std::io::Result<Option<TunnelServer>> {
    let settings = &entry.settings;
    if settings.control.is_some() {
        return Ok(None);
    }
    let machine = entry.memory.machine();
    let borne = machine.max_connections(TUNNEL_SHARE, 0);
    let cfg = TunnelServerConfig {
        addr: settings.internal_addr(settings.node_id()),
        max_tunnels: MAX_TUNNELS.min(borne),
        user_timeout: USER_TIMEOUT,
    };
    let policy = Rc::new(Carrier(Rc::clone(entry)));
    let server = TunnelServer::bind(cfg, policy).await?;
    entry.led_tunnels.replace(server.tunnels());
    Ok(Some(server))
}

/// This host as the one that tunnels of others lead through.
struct Carrier(Rc<EntryHost>);

impl Carrier {
    fn target_at(&self, addr: SocketAddr) -> Option<Target> {
        let targets = self.0.targets.borrow();
        let mut targets = targets.targets();
        targets.find(|target| target.addr == addr).cloned()
    }
}

impl TunnelPolicy for Carrier {
    /// Only entry hosts of the deployment may have tunnels, and only to targets.
    fn may_open(&self, peer: IpAddr, addr: SocketAddr) -> bool {
        let IpAddr::V4(peer) = peer else {
            return false;
        };
        let is_entry_host = self.0.peers.borrow().is_entry_host(node_at(peer));
        let target = self.target_at(addr).filter(|_| is_entry_host);
        target.is_some_and(|target| statements::may_send(&self.0, &target, ConnectPath::Direct))
    }

    fn record_connect(&self, addr: SocketAddr, is_connected: bool) {
        match (self.target_at(addr), is_connected) {
            (Some(target), true) => record_connected(&self.0, &target),
            (Some(target), false) => record_failure(&self.0, &target),
            (None, _) => {}
        }
    }

    /// Only entry hosts of the deployment may send notices.
    fn take_notice(&self, peer: IpAddr, text: &str) -> bool {
        let IpAddr::V4(peer) = peer else {
            return false;
        };
        let peer = node_at(peer);
        let is_entry_host = self.0.peers.borrow().is_entry_host(peer);
        is_entry_host && rest_notices::take(&self.0, peer, text)
    }
}

/// Opens a connection to a target.
pub(crate) async fn connect(
    entry: &EntryHost,
    target: &Target,
    left: Duration,
) -> Option<Connection> {
    let limit = CONNECT_TIMEOUT.min(left);
    let plan = entry.paths.borrow().plan(&target.service, &target.id);
    match plan {
        ConnectPlan::DirectFirst { hedge_after } => {
            connect_directly_first(entry, target, limit, hedge_after).await
        }
        ConnectPlan::ThroughFirst => match connect_through_peers(entry, target, limit).await {
            Some(connection) => Some(connection),
            None => connect_directly(entry, target, limit).await,
        },
    }
}

/// Connects directly, and through another entry host too if that fails or takes long. The first
/// connection is taken.
async fn connect_directly_first(
    entry: &EntryHost,
    target: &Target,
    limit: Duration,
    hedge_after: Duration,
) -> Option<Connection> {
    let mut direct = Box::pin(connect_directly(entry, target, limit));
    match timeout(hedge_after, direct.as_mut()).await {
        Ok(Some(connection)) => return Some(connection),
        Ok(None) => return connect_around(entry, target, limit).await,
        Err(_) => {}
    }
    let around = Box::pin(connect_around(entry, target, limit));
    match select(direct, around).await {
        Either::Left((Some(connection), _)) | Either::Right((Some(connection), _)) => {
            Some(connection)
        }
        Either::Left((None, around)) => around.await,
        Either::Right((None, direct)) => direct.await,
    }
}

async fn connect_directly(
    entry: &EntryHost,
    target: &Target,
    limit: Duration,
) -> Option<Connection> {
    match entry.pool.connect(target.addr, limit).await {
        Ok(connection) => {
            record_connected(entry, target);
            Some(connection)
        }
        // The request's time was over, which says nothing of the path.
        Err(SendError::Timeout { .. }) if limit < CONNECT_TIMEOUT => None,
        Err(
            SendError::NotConnected { .. } | SendError::Lost { .. } | SendError::Timeout { .. },
        ) => {
            record_failure(entry, target);
            None
        }
    }
}

/// Connects through another entry host because the direct way failed or takes long.
async fn connect_around(entry: &EntryHost, target: &Target, limit: Duration) -> Option<Connection> {
    let connection = connect_through_peers(entry, target, limit).await?;
    let mut paths = entry.paths.borrow_mut();
    paths.record_lost(&target.service, &target.id, clock::now());
    drop(paths);
    record_failure(entry, target);
    Some(connection)
}

async fn connect_through_peers(
    entry: &EntryHost,
    target: &Target,
    limit: Duration,
) -> Option<Connection> {
    let give_up_at = clock::now() + limit;
    let mut asked = statements::resting_peers(entry, target);
    for _ in 0..MAX_PEERS {
        let now = clock::now();
        let left = give_up_at.since(now).min(PEER_TIMEOUT);
        let peer = entry
            .peers
            .borrow_mut()
            .choose(&target.service, &asked, now)?;
        asked.insert(peer);
        let addr = entry.settings.internal_addr(peer);
        match entry.pool.connect_through(addr, target.addr, left).await {
            Ok(connection) => {
                let mut peers = entry.peers.borrow_mut();
                peers.record_reached(peer, &target.service);
                return Some(connection);
            }
            Err(e) => {
                log::debug!("no tunnel to {} through {peer}: {e}", target.id);
                let mut peers = entry.peers.borrow_mut();
                match e {
                    // Its time was over, which says nothing of the peer.
                    TunnelError::PeerSilent if left < PEER_TIMEOUT => {}
                    TunnelError::PeerSilent | TunnelError::PeerRefuses => {
                        peers.record_failure(peer, clock::now());
                    }
                    TunnelError::UpstreamUnreachable => {
                        peers.record_unreachable(peer, &target.service, target.addr, clock::now());
                    }
                }
            }
        }
    }
    None
}

/// Records that a direct connection to a target was made.
fn record_connected(entry: &EntryHost, target: &Target) {
    record_sign(entry, target);
    let was_lost = entry
        .paths
        .borrow_mut()
        .record_connected(&target.id, clock::now());
    if was_lost {
        let id = (target.id.clone(), target.incarnation);
        entry
            .pool
            .close_idle(|known, connection| *known == id && connection.peer().is_some());
    }
}

/// Records that bytes came over a direct connection.
pub(crate) fn record_sign(entry: &EntryHost, target: &Target) {
    let was_suspect = entry
        .paths
        .borrow_mut()
        .record_sign(&target.service, clock::now());
    if was_suspect {
        let service = &target.service;
        emit(&Event::ServiceReached { service });
        entry.observations_added.notify_waiters();
    }
}

/// Records that a direct connection failed, broke or stood still. Once the service is in doubt, no
/// idle direct connection to it is used any more.
pub(crate) fn record_failure(entry: &EntryHost, target: &Target) {
    let mut paths = entry.paths.borrow_mut();
    let is_new = paths.record_failure(&target.service, &target.id, target.addr, clock::now());
    drop(paths);
    if !is_new {
        return;
    }
    let service = &target.service;
    emit(&Event::ServiceCutOff { service });
    let targets = entry.targets.borrow();
    let is_of_service = |id: &UpstreamId| {
        let known = targets.get(id);
        known.is_none_or(|known| known.service == *service)
    };
    entry
        .pool
        .close_idle(|(id, _), connection| connection.peer().is_none() && is_of_service(id));
    entry.observations_added.notify_waiters();
}

/// Closes idle connections through hosts that take no more of them.
pub(crate) fn close_stale_tunnels(entry: &EntryHost) {
    let peers = entry.peers.borrow();
    entry
        .pool
        .close_idle(|_, connection| match path_of(connection) {
            ConnectPath::Direct => false,
            ConnectPath::Through(peer) => !peers.is_available(peer),
        });
}

/// What this host says of itself, if that is due.
pub(crate) fn due_report(entry: &EntryHost) -> Option<EntryReport> {
    let report = EntryReport {
        node: entry.settings.node_id(),
        centre: entry.settings.centre.clone(),
        cut_from: entry.paths.borrow().cut_services(),
        is_leaving: entry.is_leaving(),
    };
    let now = clock::now();
    let mut own = entry.own_report.borrow_mut();
    let is_same = own.sent.as_ref() == Some(&report);
    if is_same && now.since(own.sent_at) < REPORT_INTERVAL {
        return None;
    }
    own.sent = Some(report.clone());
    own.sent_at = now;
    Some(report)
}

/// Has the report sent again, because it may have been lost on its way.
pub(crate) fn report_again(entry: &EntryHost) {
    entry.own_report.replace(OwnReport::default());
}

/// Probes direct paths that were lost, for as long as the process runs. A connection that succeeds is
/// kept for the next request.
pub(crate) async fn probe_lost_paths(entry: Rc<EntryHost>) {
    loop {
        compio::time::sleep(PROBE_CHECK_INTERVAL).await;
        let target = entry.paths.borrow_mut().next_probe(clock::now());
        let Some(id) = target else {
            continue;
        };
        let target = entry.targets.borrow().get(&id).cloned();
        let Some(target) = target else {
            continue;
        };
        let entry = Rc::clone(&entry);
        compio::runtime::spawn(async move { probe(&entry, &target).await }).detach();
    }
}

async fn probe(entry: &EntryHost, target: &Target) {
    let opened = entry.pool.connect(target.addr, CONNECT_TIMEOUT).await;
    if let Ok(connection) = opened {
        record_connected(entry, target);
        let id = (target.id.clone(), target.incarnation);
        entry.pool.put_back(&id, connection, None);
    }
}
