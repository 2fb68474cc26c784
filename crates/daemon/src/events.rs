//! The numbered log events of the daemon. `docs/EVENTS.md` lists them.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use base::CentreId;
use base::Fence;
use base::HostId;
use base::NodeId;
use base::ReplicaId;
use base::ServiceName;
use base::Version;
use memory::Figures;

catalogue::events! {
    100 Info Started { node: NodeId, centre: CentreId, callers: SocketAddr, internal: SocketAddr }
        "{node} in {centre} listens for callers at {callers} and for the system at {internal}";
    101 Info Stopping { in_flight: usize }
        "stopping: no longer ready, {in_flight} requests in flight";
    102 Info Stopped { aborted: usize }
        "stopped, {aborted} requests aborted";
    110 Warn ListenFailed { addr: SocketAddr, error: String }
        "cannot listen on {addr}: {error}";
    111 Warn MemoryShort { figures: Figures }
        "memory or connections were short {figures}";
    200 Info ConfigInForce { version: Version }
        "configuration {version} is in force";
    201 Error ConfigUnreadable { version: Version, error: String }
        "configuration {version} cannot be read: {error}";
    300 Info HostAnnounced { host: HostId, addr: SocketAddr }
        "host {host} announced itself at {addr}";
    301 Warn HostLost { host: HostId, silence: Duration }
        "host {host} sent no heartbeat for {silence:?}";
    302 Info HostLeaving { host: HostId }
        "host {host} is leaving";
    310 Info ServiceAnnounced { service: &'a ServiceName, addr: SocketAddr }
        "service {service} announced itself at {addr}";
    311 Warn ServiceLost { service: &'a ServiceName, addr: SocketAddr }
        "service {service} at {addr} no longer announces itself";
    400 Info ControllerStarted { centre: CentreId, fence: Fence }
        "this node controls the hosts of {centre} under fence {fence}";
    401 Warn ControllerStopped { centre: CentreId }
        "this node no longer controls the hosts of {centre}";
    410 Info OrderSent { replica: ReplicaId, host: HostId, what: &'a str }
        "ordered {host} to {what} {replica}";
    411 Warn OrderFailed { replica: ReplicaId, host: HostId, error: String }
        "an order for {replica} to {host} failed: {error}";
    500 Info Leading { term: u64 }
        "this voter leads in term {term}";
    501 Info Following { leader: NodeId }
        "this voter follows {leader}";
    502 Error VoterLost { reason: String }
        "this voter does not vote: {reason}";
    510 Error DiskFailed { folder: &'a Path, error: String }
        "the state in {folder:?} cannot be written: {error}";
    600 Warn OrderUnknown { service: &'a ServiceName, key: String }
        "the outcome of order {key} to {service} is unknown";
    700 Warn AnswerRejected { replica: ReplicaId, error: String }
        "an answer of {replica} was rejected: {error}";
    701 Info AnswerResumed { replica: ReplicaId, delivered: u32 }
        "an answer was resumed at {replica} after {delivered} tokens";
    702 Warn ServiceAnswerRejected { addr: SocketAddr, status: u16, why: &'a str }
        "an answer of the service at {addr} with status {status} was rejected: {why}";
    703 Info RestAsked { upstream: String, ms: u128 }
        "{upstream} asked for {ms} ms without requests";
    704 Warn RestUnreadable { upstream: String, why: String }
        "{upstream} asked for rest for a time that cannot be read, it gets none: {why}";
    705 Info RestHeardLate { upstream: String, ms: u128, late_ms: u128 }
        "{upstream} asked for {ms} ms without requests, {late_ms} ms after the request was abandoned";
}
