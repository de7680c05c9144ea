//! The order in which each service of a configuration sheds requests under overload (docs/giving-way.md).

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

/// Renders a table with the ranks of each service, starting with the rank that is shed first.
pub(crate) fn shedding_order(configuration: &Configuration) -> String {
    let mut table = TextTable::new(&HEADINGS);
    for service in configuration.services.keys() {
        let order = SheddingOrder::for_service(configuration, service);
        let ranks = order.ranks();
        for (index_from_last, ranked) in ranks.iter().enumerate().rev() {
            let shed_position = shed_position(ranks.len() - index_from_last, index_from_last == 0);
            table.add_row(row(service, shed_position, ranked));
        }
    }
    table.to_string()
}

/// Formats a position in the shedding order, counted from 1: `first`, `last (N)` or the number.
fn shed_position(number: usize, is_last: bool) -> String {
    match number {
        1 => "first".into(),
        _ if is_last => format!("last ({number})"),
        _ => number.to_string(),
    }
}

fn row(service: &str, shed_position: String, ranked: &RankedRoutes) -> Vec<String> {
    let RankedRoutes { rank, routes } = ranked;
    let kind = if rank.is_read_only { "reads" } else { "binds" };
    let target_latency = if rank.target_latency == Rank::NO_TARGET_LATENCY {
        ABSENT.into()
    } else {
        format!("{:.3}", rank.target_latency.as_secs_f64())
    };
    vec![
        service.into(),
        shed_position,
        routes.join(","),
        kind.into(),
        rank.priority.to_string(),
        target_latency,
    ]
}
