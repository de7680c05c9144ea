//! Which requests are shed first, service by service, as a configuration has it (docs/giving-way.md).

use crate::status_page::ABSENT;
use crate::text_table::TextTable;
use rushcourse_admission::{Rank, RankedRoutes, SheddingOrder};
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
        let order = SheddingOrder::for_service(configuration, service);
        let ranks = order.ranks();
        for (from_last, ranked) in ranks.iter().enumerate().rev() {
            let place = place(ranks.len() - from_last, from_last == 0);
            table.add_row(row(service, place, ranked));
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

fn row(service: &str, place: String, ranked: &RankedRoutes) -> Vec<String> {
    let RankedRoutes { rank, routes } = ranked;
    let kind = if rank.is_read_only { "reads" } else { "binds" };
    let target_latency = if rank.target_latency == Rank::NO_TARGET_LATENCY {
        ABSENT.into()
    } else {
        format!("{:.3}", rank.target_latency.as_secs_f64())
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
