//! JSON status pages of a controller, read by `rushctl`.

use crate::controller::Controller;
use crate::json::{list, quoted};
use crate::peer_sessions::PeerSessions;
use crate::response_storage::ResponseStorage;
use crate::storage_thread::Storage;
use rushcourse_cluster::{Cluster, HostEntry, TableEndpoint, TableView};
use rushcourse_consensus::{HeldClaim, ReplicaSummary};
use rushcourse_transport::Session;
use rushcourse_types::{NodeId, Timestamp, WallTime};
use std::time::Duration;

/// The JSON page of an operation key. `holder` is the claim in this controller's state; a majority may hold another.
pub(crate) fn key_page(now: WallTime, holder: Option<HeldClaim>) -> String {
    let Some(claim) = holder else {
        return "{\"held\":false}".into();
    };
    format!(
        "{{\"held\":true,\"on_disk\":{},\"by\":{},\"incarnation\":{},\"number\":{},\"age_s\":{:.1}}}",
        claim.is_durable,
        node(claim.id.node),
        quoted(&claim.id.incarnation.to_string()),
        claim.id.number,
        now.0.saturating_sub(claim.claimed_at.0) as f64 / 1000.0
    )
}

/// The JSON status page: replica, disk, sessions, hosts and endpoint tables.
pub(crate) fn status_page(controller: &Controller) -> String {
    let Controller {
        clock,
        storage,
        consensus,
        cluster,
        sessions,
        ..
    } = controller;
    let name = &sessions.context().local_handshake().name;
    let fields = [
        format!("\"name\":{}", quoted(name)),
        format!("\"synchronized\":{}", cluster.is_synchronized()),
        replica_fields(&consensus.summary()),
        confirmation_field(controller),
        disk_field(storage, consensus.summary().is_disk_usable),
        responses_field(&controller.responses),
        format!("\"members\":{}", list(cluster.gateways().all(), node)),
        rejections_field(sessions),
        sessions_field(sessions, cluster),
        usage_duty_field(controller),
        hosts_field(cluster, clock.now()),
        tables_field(cluster),
    ];
    format!("{{{}}}", fields.join(","))
}

fn node(node: NodeId) -> String {
    quoted(&node.to_string())
}

/// Converts a duration to milliseconds with microsecond precision.
fn millis(span: Duration) -> f64 {
    span.as_micros() as f64 / 1000.0
}

fn replica_fields(replica: &ReplicaSummary) -> String {
    format!(
        "\"set\":{{\"number\":{},\"members\":{}}},\"complete_state\":{},\"recovering\":{},\"generation\":{},\"votes\":{},\"held\":{},\"in_force\":{},\
         \"claims\":{},\"peers\":{}",
        replica.voting_set.epoch,
        list(replica.voting_set.members.iter().copied(), node),
        replica.has_complete_state,
        replica.is_recovering,
        replica.generation,
        replica.is_voter,
        replica.highest_accepted,
        replica.committed,
        replica.claim_count,
        list(replica.peers.iter().copied(), node),
    )
}

/// The `confirmed` field of the status page; `null` without a bound on revocation or before the first confirmation.
fn confirmation_field(controller: &Controller) -> String {
    let confirmations = controller.confirmations.as_ref();
    let now = controller.clock.now();
    let newest = confirmations.and_then(|confirmations| confirmations.newest(now));
    let value = newest.map_or("null".into(), |confirmation| {
        let (version, age) = (confirmation.version, millis(confirmation.age));
        format!("{{\"version\":{version},\"age_ms\":{age:.0}}}")
    });
    format!("\"confirmed\":{value}")
}

/// The `disk` field of the status page. `takes_writes` tells whether the last write succeeded.
fn disk_field(storage: &Storage, takes_writes: bool) -> String {
    let (disk, file_bytes) = (storage.statistics(), storage.file_bytes());
    let is_usable = takes_writes && storage.is_open();
    let writing_ms = match disk.current_write {
        Some(span) => format!("{:.1}", millis(span)),
        None => "null".into(),
    };
    format!(
        "\"disk\":{{\"usable\":{is_usable},\"bytes\":{file_bytes},\"syncs\":{},\"refused\":{},\"last_ms\":{:.1},\"most_ms\":{:.1},\
         \"writing_ms\":{writing_ms}}}",
        disk.syncs,
        disk.refused_syncs,
        millis(disk.last_sync),
        millis(disk.longest_sync),
    )
}

/// The `responses` field of the status page: parts of responses that gateways have stored here.
fn responses_field(responses: &ResponseStorage) -> String {
    format!(
        "\"responses\":{{\"open\":{},\"parts\":{},\"bytes\":{}}}",
        responses.store.is_some(),
        responses.part_count(),
        responses.stored_bytes(),
    )
}

/// The `usage_duty` field of the status page; `null` until the duty has a holder. `known_for_s` is the time since this
/// controller learned of the fence, `null` if it sends no usage reports.
fn usage_duty_field(controller: &Controller) -> String {
    let Some(duty) = controller.consensus.duty() else {
        return "\"usage_duty\":null".into();
    };
    let reports = controller.usage_reports.as_ref();
    let known = reports.and_then(|reports| reports.fence_since);
    let known_for_s = known.map(|known| (controller.clock.now() - known.since).as_secs_f64());
    format!(
        "\"usage_duty\":{{\"sequence\":{},\"holder\":{},\"fence\":{},\"known_for_s\":{},\"settled_through\":{},\
         \"undelivered\":{}}}",
        duty.sequence,
        quoted(&duty.holder_name),
        duty.fence,
        known_for_s.map_or_else(|| "null".into(), |seconds| format!("{seconds:.1}")),
        duty.settled_through
            .map_or_else(|| "null".into(), |window| window.to_string()),
        duty.undelivered.len(),
    )
}

fn rejections_field(sessions: &PeerSessions) -> String {
    let rejections = sessions.context().rejections();
    let counts: Vec<String> = rejections
        .iter()
        .map(|(reason, count)| format!("{}:{count}", quoted(reason)))
        .collect();
    format!("\"refused\":{{{}}}", counts.join(","))
}

fn sessions_field(sessions: &PeerSessions, cluster: &Cluster) -> String {
    let session = |session: &Session| {
        let peer = &session.peer;
        let role = format!("{:?}", peer.role).to_lowercase();
        format!(
            "{{\"id\":{},\"name\":{},\"address\":{},\"zone\":{},\"role\":{},\"primary\":{}}}",
            session.id,
            quoted(&peer.name),
            node(peer.node),
            quoted(&peer.zone),
            quoted(&role),
            cluster.is_primary_for(session.id),
        )
    };
    format!("\"sessions\":{}", list(sessions.iter(), session))
}

fn hosts_field(cluster: &Cluster, now: Timestamp) -> String {
    let host = |host: &HostEntry| {
        let record = host.record();
        let state = format!("{:?}", host.state()).to_lowercase();
        format!(
            "{{\"id\":{},\"service\":{},\"address\":{},\"zone\":{},\"state\":{},\"silent\":{},\"age_s\":{:.1}}}",
            quoted(&record.id),
            quoted(&record.service),
            quoted(&record.address),
            quoted(&record.zone),
            quoted(&state),
            host.is_timed_out(),
            now.since(host.last_seen_at()).as_millis() as f64 / 1000.0
        )
    };
    format!("\"hosts\":{}", list(cluster.hosts().iter(), host))
}

fn tables_field(cluster: &Cluster) -> String {
    let table = |table: TableView| {
        let endpoints = list(table.endpoints, |TableEndpoint { host, weight }| {
            format!("[{},{weight:.3}]", quoted(&host))
        });
        let (service, id, gateways) = (quoted(&table.service), table.table, table.gateways);
        format!(
            "{{\"service\":{service},\"table\":{id},\"gateways\":{gateways},\"endpoints\":{endpoints}}}"
        )
    };
    format!(
        "\"tables\":{}",
        list(cluster.distribution().tables(), table)
    )
}
