//! Tests written as timelines: the first column is the time in ms, and each further column belongs to one controller. A
//! cell is `.` or a list of steps joined by `+`, as listed in `steps.rs`. The controllers run on a deterministic
//! network with disks in memory.

mod cluster;
mod observations;
mod steps;

use cluster::Cluster;
use rushcourse_types::{NodeId, Timestamp};
use steps::Step;

struct Row<'a> {
    at: u64,
    cells: Vec<&'a str>,
}

impl Row<'_> {
    /// Returns `None` for lines that don't start with a time.
    fn parse(line: &str) -> Option<Row<'_>> {
        let mut columns = line.split_whitespace();
        Some(Row {
            at: columns.next()?.parse().ok()?,
            cells: columns.collect(),
        })
    }

    /// Steps of the row, each with the controller of its column.
    fn steps(&self) -> impl Iterator<Item = (NodeId, &str)> {
        let cells = (1..).map(NodeId).zip(&self.cells);
        let cells = cells.filter(|(_, cell)| **cell != ".");
        cells.flat_map(|(node, cell)| cell.split('+').map(move |step| (node, step)))
    }
}

/// Runs a timeline and panics at the first expectation that isn't met.
pub fn run_timeline(timeline: &str) {
    let rows: Vec<Row> = timeline.lines().filter_map(Row::parse).collect();
    let mut cluster = Cluster::new(rows[0].cells.len() as u32);
    for row in rows {
        cluster.run_until(Timestamp::from_millis(row.at));
        for (node, step) in row.steps() {
            let location = format!("{} ms, controller {}: {step}", row.at, node.0);
            match step
                .parse()
                .unwrap_or_else(|error| panic!("{location}: {error}"))
            {
                Step::Do(action) => cluster.apply(node, action),
                Step::Expect(expectation) => cluster.check(node, &expectation, &location),
            }
        }
    }
}
