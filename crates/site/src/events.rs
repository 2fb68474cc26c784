//! The numbered events in a deployment's log. `docs/EVENTS.md` lists them.

use std::fmt::Display;
use std::net::SocketAddr;
use std::path::Path;

use base::CentreName;
use base::Incarnation;
use base::NodeId;
use base::ReplicaName;
use base::RouteName;
use base::ServiceName;
use base::UpstreamId;
use base::Version;
use fleet::Edition;
use fleet::IgnoreReason;
use forward::ConnectPath;
use memory::Figures;

/// The parts by which requests are known, for the log.
pub(crate) fn join_parts<'a, Part: Display + 'a>(
    parts: impl IntoIterator<Item = &'a Part>,
) -> String {
    let ids: Vec<String> = parts.into_iter().map(Part::to_string).collect();
    ids.join(",")
}

catalogue::events! {
    2000 Info Started { name: &'a str, centre: &'a CentreName, roles: &'a str }
        "started name={name} centre={centre} roles={roles}";
    2001 Info Stopping { in_flight: usize }
        "stopping in_flight={in_flight}";
    2002 Info Stopped { in_flight: usize }
        "stopped in_flight={in_flight}";
    2003 Info Reloaded { seeds: usize }
        "settings reloaded seeds={seeds}";
    2004 Error ReloadFailed { error: String }
        "settings could not be reloaded, the old ones stay in use error={error:?}";
    2005 Warn ListenFailed { addr: SocketAddr, error: String }
        "cannot listen addr={addr} error={error:?}";
    2006 Warn MemoryShort { figures: Figures }
        "memory or connections were short {figures}";
    2100 Info ConfigInForce { version: Version, routes: usize }
        "configuration in force version={version} routes={routes}";
    2101 Error ConfigUnreadable { version: Version, error: String }
        "committed configuration cannot be parsed, the old one stays in force version={version} error={error:?}";
    2102 Info ConfigOffered { version: Version, outcome: &'a str }
        "configuration offered version={version} outcome={outcome}";
    2103 Warn ConfigRefused { findings: usize, first: String }
        "configuration refused findings={findings} first={first:?}";
    2110 Info FollowStarted { control: NodeId, addr: SocketAddr }
        "following a control host control={control} addr={addr}";
    2111 Warn FollowLost { control: NodeId, error: String, silent_ms: u128 }
        "control host lost control={control} silent_ms={silent_ms} error={error:?}";
    2200 Info UpstreamChanged { id: &'a UpstreamId, service: &'a ServiceName, what: String }
        "upstream changed id={id} service={service} {what}";
    2201 Info UpstreamGone { id: &'a UpstreamId }
        "upstream gone id={id}";
    2202 Warn UpstreamUnreadable { id: &'a UpstreamId, error: String }
        "announcement unreadable id={id} error={error:?}";
    2203 Info DepartureHeld { id: &'a UpstreamId, leads: bool, ms: u128 }
        "a departure is held by enough control hosts id={id} leads={leads} ms={ms}";
    2204 Warn DepartureNotHeld { id: &'a UpstreamId, leads: bool, leader: u32, ms: u128 }
        "a departure is not acknowledged, too few control hosts hold it id={id} leads={leads} leader={leader} ms={ms}";
    2205 Warn DepartureUnknown { id: &'a UpstreamId }
        "a departure is not acknowledged, the process is not known here id={id}";
    2206 Warn LeaderSaysLess { leader: NodeId }
        "the leader's release does not say how many control hosts hold departures, it counts as one that does leader={leader}";
    2207 Warn FollowerReportsLess { follower: NodeId }
        "this follower's release does not report departures to a new leader follower={follower}";
    2208 Info AnnouncementIgnored { id: &'a UpstreamId, service: &'a ServiceName, addr: SocketAddr, incarnation: Incarnation, reason: IgnoreReason, total: u64 }
        "announcement ignored id={id} service={service} addr={addr} life={incarnation} reason={reason} total={total}";
    2300 Info Leading { term: u64 }
        "this voter leads term={term}";
    2301 Info Following { leader: NodeId }
        "this voter follows leader={leader}";
    2302 Error VoterLost { reason: String }
        "this voter isn't counted reason={reason:?}";
    2303 Error DiskFailed { folder: &'a Path, error: String }
        "state cannot be written folder={folder:?} error={error:?}";
    2304 Info VotersChanged { change: String, outcome: String }
        "voters changed change={change:?} outcome={outcome:?}";
    2305 Info VoterReleased { outcome: String, ms: u128 }
        "this voter was released before its stop outcome={outcome} ms={ms}";
    2400 Info OrderSent { host: &'a UpstreamId, order: String, outcome: String, ms: u128 }
        "order host={host} order={order:?} outcome={outcome} ms={ms}";
    2401 Info RoutingTablePublished { edition: Edition, serving: usize, shape: String }
        "routing table published edition={edition:?} serving={serving} {shape}";
    2402 Warn HostLost { host: &'a UpstreamId, silent_ms: u128, why: &'a str }
        "host lost host={host} silent_ms={silent_ms} why={why}";
    2403 Info ReplicaStalled { head: &'a UpstreamId, hosts: usize }
        "replica stalled, probing its hosts head={head} hosts={hosts}";
    2404 Info LeaveSent { host: &'a UpstreamId, replica: &'a ReplicaName, outcome: String }
        "head host that the leader cannot reach was told to leave host={host} replica={replica} outcome={outcome}";
    2405 Warn ReplicaGivenUp { replica: &'a ReplicaName, head: &'a str, left: String, waited_ms: u128 }
        "replica given up, it broke after other hosts had left it, its head host could not be told to leave replica={replica} head={head} left={left} waited_ms={waited_ms}";
    2406 Info ReplicasTakenOver { term: u64, records: usize }
        "the term begins with the recorded replicas term={term} records={records}";
    2410 Warn PartsBanned { parts: String, crashes: u32 }
        "requests with all of these parts are refused, upstreams ended under them parts={parts} crashes={crashes}";
    2411 Info BanLifted { parts: String, why: String }
        "requests with these parts are served again parts={parts} why={why:?}";
    2412 Info SharesPublished { edition: Edition, limited: usize }
        "shares of the limits that upstreams name were published edition={edition:?} limited={limited}";
    2413 Info EntriesPublished { edition: Edition, entries: usize, cut: usize }
        "entry hosts were published edition={edition:?} entries={entries} cut={cut}";
    2500 Info Answered { id: &'a str, route: &'a RouteName, target: &'a UpstreamId, status: u16, attempts: u32, first_ms: u128, total_ms: u128, late: &'a str, path: ConnectPath, parts: String }
        "answered id={id} route={route} target={target} path={path} status={status} attempts={attempts} first_ms={first_ms} total_ms={total_ms} late={late} parts={parts}";
    2501 Info Refused { id: &'a str, route: &'a str, status: u16, why: &'a str, waited_ms: u128, attempts: u32, version: Version, age_ms: u128, parts: String }
        "refused id={id} route={route} status={status} why={why:?} waited_ms={waited_ms} attempts={attempts} version={version} confirmed_ms_ago={age_ms} parts={parts}";
    2502 Info AttemptFailed { id: &'a str, target: &'a UpstreamId, failure: String, why: String, next: String, left_ms: u128, path: String, parts: String }
        "attempt failed id={id} target={target} path={path} failure={failure} why={why:?} next={next} left_ms={left_ms} parts={parts}";
    2503 Info Resumed { id: &'a str, from: &'a UpstreamId, to: &'a UpstreamId, after: Option<u64> }
        "stream resumed id={id} from={from} to={to} after={after:?}";
    2504 Warn StreamBroken { id: &'a str, target: &'a UpstreamId, after: Option<u64>, why: String, total_ms: u128 }
        "stream broken off id={id} target={target} after={after:?} why={why:?} total_ms={total_ms}";
    2505 Info CallerDisconnected { id: &'a str, total_ms: u128 }
        "caller disconnected id={id} total_ms={total_ms}";
    2506 Info TargetStalled { target: &'a UpstreamId, own: u32 }
        "target stalled target={target} own={own}";
    2507 Info LimitNamed { target: &'a UpstreamId, limit: String }
        "a target names the requests a second that it takes target={target} limit={limit}";
    2508 Warn ServiceCutOff { service: &'a ServiceName }
        "this host reaches no upstream of a service, its connections lead through other entry hosts service={service}";
    2509 Info ServiceReached { service: &'a ServiceName }
        "this host reaches upstreams of a service again service={service}";
    2510 Warn EventsRejected { id: &'a str, target: &'a UpstreamId, error: String, complete: usize, after: Option<u64> }
        "a target sent an event that is not passed on id={id} target={target} error={error:?} complete_before={complete} after={after:?}";
    2511 Info RestAsked { target: &'a UpstreamId, path: ConnectPath, ms: u128 }
        "a target asked for rest target={target} path={path} ms={ms}";
    2512 Warn RestUnreadable { target: &'a UpstreamId, value: String, why: String }
        "a target asked for rest for a time that cannot be read, it gets none target={target} value={value:?} why={why:?}";
    2513 Info RestHeardLate { target: &'a UpstreamId, path: ConnectPath, ms: u128, late_ms: u128 }
        "a target asked for rest in the answer to an abandoned request target={target} path={path} ms={ms} late_ms={late_ms}";
    2514 Info RestTold { target: &'a UpstreamId, asked: NodeId, from: NodeId, ms: u128 }
        "another entry host told of a rest target={target} asked={asked} from={from} ms={ms}";
}
