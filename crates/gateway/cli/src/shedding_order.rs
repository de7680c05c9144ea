//! Which requests are shed first, service by service, as a configuration has it (docs/giving-way.md).

use crate::status_page::ABSENT;
use crate::text_table::TextTable;
use rushcourse_admission::{Order, Rank};
use rushcourse_config::Configuration;

const HEADINGS: [&str; 6] = [
    "service",
    "shed",
    "routes",
    "kind",
    "priority",
    "target latency s",
];

/// The ranks of each service, the one that is shed first on top.
pub(crate) fn shedding_order(configuration: &Configuration) -> String {
    let mut table = TextTable::new(&HEADINGS);
    for service in configuration.services.keys() {
        let order = Order::at(configuration, service);
        let ranks = order.ranks();
        for (from_last, (rank, routes)) in ranks.iter().enumerate().rev() {
            let place = place(ranks.len() - from_last, from_last == 0);
            table.add_row(row(service, place, rank, routes));
        }
    }
    table.to_string()
}

/// The how manyth a rank is shed.
fn place(number: usize, is_last: bool) -> String {
    match number {
        1 => "first".into(),
        _ if is_last => format!("last ({number})"),
        _ => number.to_string(),
    }
}

fn row(service: &str, place: String, rank: &Rank, routes: &[String]) -> Vec<String> {
    let kind = if rank.read_only { "reads" } else { "binds" };
    let target_latency = if rank.aim_ms == u64::MAX {
        ABSENT.into()
    } else {
        format!("{:.3}", rank.aim_ms as f64 / 1000.0)
    };
    vec![
        service.into(),
        place,
        routes.join(","),
        kind.into(),
        rank.priority.to_string(),
        target_latency,
    ]
}
