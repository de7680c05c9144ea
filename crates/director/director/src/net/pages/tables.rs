//! Renders `/tables`: the policy's view of proxies and routing tables as JSON, including updates that are not yet
//! acknowledged.

use rushcourse_director_protocol::relay;
use rushcourse_director_state::Session;
use rushcourse_policy::interface::Channel;
use serde_json::{Map, Value, json};

pub(super) fn render(session: &Session) -> Value {
    let (view, names) = (session.view(), session.names());
    let zone = |zone: usize| names.zones.get(zone).cloned().unwrap_or_default();
    let classes = |mask: u32| relay::class_names(mask, &names.classes);
    let proxies = view.proxies.iter().map(|proxy| {
        let lines = proxy.groups.iter().flat_map(|group| {
            group.endpoints.iter().map(move |endpoint| {
                json!({"host": &*endpoint.host, "standing": endpoint.certainty.to_string(), "table": group.table,
                    "classes": classes(group.classes)})
            })
        });
        json!({"proxy": proxy.proxy, "zone": zone(proxy.zone), "lines": lines.collect::<Vec<_>>()})
    });
    let tables = view.tables.iter().map(|table| {
        let lines: Map<String, Value> = table
            .weights
            .iter()
            .map(|(host, weight)| (host.to_string(), json!(weight)))
            .collect();
        json!({"table": table.table, "lines": lines})
    });
    let withdrawn = |channel: Channel| {
        let hosts = view.withdrawn.iter().filter(|w| w.channel == channel);
        hosts.map(|w| w.host.to_string()).collect::<Vec<_>>()
    };
    json!({
        "proxies": proxies.collect::<Vec<_>>(),
        "tables": tables.collect::<Vec<_>>(),
        "withdrawn": withdrawn(Channel::Shared),
        "withdrawn_for_streams": withdrawn(Channel::Dedicated),
        "lines_unanswered": view.unacknowledged_lines,
        "changes_waiting": view.pending_updates,
    })
}
