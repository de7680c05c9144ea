//! The state of a core director as a page of JSON.

use crate::links::Links;
use rushcourse_cluster::{Cluster, TableEndpoint};
use rushcourse_consensus::{ConsensusNode, HeldClaim};
use rushcourse_storage::DiskStatistics;
use rushcourse_types::{NodeId, Timestamp};
use std::fmt::Write;
use std::net::Ipv4Addr;
use std::time::Duration;

fn quoted(word: &str) -> String {
    facet_json::to_string(&word.to_string()).unwrap_or_else(|_| "\"?\"".into())
}

fn list<T>(items: impl IntoIterator<Item = T>, show: impl Fn(T) -> String) -> String {
    format!(
        "[{}]",
        items.into_iter().map(show).collect::<Vec<_>>().join(",")
    )
}

/// Milliseconds with fractions, from whole microseconds.
fn millis(span: Duration) -> f64 {
    span.as_micros() as f64 / 1000.0
}

/// Who holds an operation key, as far as this director has it.
pub fn key(wall: u64, held: Option<HeldClaim>) -> String {
    let Some(claim) = held else {
        return "{\"held\":false}".into();
    };
    format!(
        "{{\"held\":true,\"on_disk\":{},\"by\":{},\"life\":{},\"number\":{},\"age_s\":{:.1}}}",
        claim.is_durable,
        quoted(&Ipv4Addr::from(claim.id.node).to_string()),
        quoted(&claim.id.incarnation.to_string()),
        claim.id.number,
        wall.saturating_sub(claim.claimed_at.0) as f64 / 1000.0
    )
}

/// `disk`: what the disk has done, and the bytes of its file.
pub fn status(
    name: &str,
    now: Timestamp,
    register: &ConsensusNode,
    party: &Cluster,
    links: &Links,
    disk: (DiskStatistics, u64),
) -> String {
    let r = register.summary();
    let node = |n: NodeId| quoted(&n.to_string());
    let mut page = String::new();
    let _ = write!(
        page,
        "{{\"name\":{},\"primed\":{},\"set\":{{\"number\":{},\"members\":{}}},\"remembers\":{},\"votes\":{},\
         \"held\":{},\"in_force\":{},\"claims\":{},\"peers\":{}",
        quoted(name),
        party.is_synchronized(),
        r.voting_set.epoch,
        list(r.voting_set.members, node),
        r.has_complete_state,
        r.is_voter,
        r.highest_accepted,
        r.committed,
        r.claim_count,
        list(r.peers, node),
    );
    let (statistics, bytes) = disk;
    let stalled = statistics
        .current_write
        .map_or("null".to_string(), |span| format!("{:.1}", millis(span)));
    let _ = write!(
        page,
        ",\"disk\":{{\"bytes\":{bytes},\"syncs\":{},\"refused\":{},\"last_ms\":{:.1},\"most_ms\":{:.1},\
         \"writing_ms\":{stalled}}}",
        statistics.syncs,
        statistics.refused_syncs,
        millis(statistics.last_sync),
        millis(statistics.longest_sync),
    );
    let sessions = list(links.view(), |(id, hello)| {
        let role = format!("{:?}", hello.role).to_lowercase();
        format!(
            "{{\"id\":{id},\"name\":{},\"address\":{},\"zone\":{},\"role\":{},\"home\":{}}}",
            quoted(&hello.name),
            node(hello.node),
            quoted(&hello.zone),
            quoted(&role),
            party.is_primary_for(id),
        )
    });
    let hosts = list(party.hosts().iter(), |s| {
        let state = format!("{:?}", s.state()).to_lowercase();
        format!(
            "{{\"id\":{},\"service\":{},\"address\":{},\"zone\":{},\"state\":{},\"silent\":{},\"age_s\":{:.1}}}",
            quoted(&s.record().id),
            quoted(&s.record().service),
            quoted(&s.record().address),
            quoted(&s.record().zone),
            quoted(&state),
            s.is_silent(),
            now.since(s.last_heard_at()).as_millis() as f64 / 1000.0
        )
    });
    let tables = list(party.distribution().tables(), |t| {
        let lines = list(t.endpoints, |TableEndpoint { host, weight }| {
            format!("[{},{weight:.3}]", quoted(&host))
        });
        let (service, table, fronts) = (quoted(&t.service), t.table, t.gateways);
        format!("{{\"service\":{service},\"table\":{table},\"fronts\":{fronts},\"lines\":{lines}}}")
    });
    let _ = write!(page, ",\"members\":{}", list(party.gateways().all(), node));
    let refused = links.factory().rejections();
    let refused: Vec<String> = refused
        .iter()
        .map(|(why, n)| format!("{}:{n}", quoted(why)))
        .collect();
    let _ = write!(page, ",\"refused\":{{{}}}", refused.join(","));
    let _ = write!(
        page,
        ",\"sessions\":{sessions},\"hosts\":{hosts},\"tables\":{tables}}}"
    );
    page
}
