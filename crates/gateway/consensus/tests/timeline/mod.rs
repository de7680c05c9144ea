//! Tests that are drawn as timelines: times in ms on the left, one column a controller. A cell is `.` or steps with `+`
//! between them; `steps.rs` lists them. The controllers run on a deterministic network and on disks in memory.

mod cluster;
mod observations;
mod steps;

use cluster::Cluster;
use rushcourse_types::{NodeId, Timestamp};
use steps::Step;

/// A row of a timeline.
struct Row<'a> {
    at: u64,
    cells: Vec<&'a str>,
}

impl Row<'_> {
    /// Lines that do not begin with a time are none.
    fn parse(line: &str) -> Option<Row<'_>> {
        let mut columns = line.split_whitespace();
        Some(Row {
            at: columns.next()?.parse().ok()?,
            cells: columns.collect(),
        })
    }

    /// The steps of the row, and whose they are.
    fn steps(&self) -> impl Iterator<Item = (NodeId, &str)> {
        let cells = (1..).map(NodeId).zip(&self.cells);
        let cells = cells.filter(|(_, cell)| **cell != ".");
        cells.flat_map(|(node, cell)| cell.split('+').map(move |step| (node, step)))
    }
}

/// Plays a timeline.
pub fn play(timeline: &str) {
    let rows: Vec<Row> = timeline.lines().filter_map(Row::parse).collect();
    let mut cluster = Cluster::new(rows[0].cells.len() as u32);
    for row in rows {
        cluster.run_until(Timestamp::from_millis(row.at));
        for (node, step) in row.steps() {
            let place = format!("{} ms, controller {}: {step}", row.at, node.0);
            match step
                .parse()
                .unwrap_or_else(|error| panic!("{place}: {error}"))
            {
                Step::Do(action) => cluster.act(node, action),
                Step::Expect(expectation) => cluster.check(node, &expectation, &place),
            }
        }
    }
}
