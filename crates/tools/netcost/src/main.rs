//! netcost: bytes and messages between directors of the gateway, by how many there are. Ends with code 1 where what one
//! frontend director gets grows with their number, or where what core directors say grows faster than it should.
//!
//! `netcost hollow` measures one real director of each role at the size to design for, among hollow ones.

mod hollow;
mod world;

use rushcourse_messages::HostState;
use std::io::{Error, ErrorKind};
use world::{Counts, Size, World};

/// s of calm that are counted.
const CALM: u64 = 20;
/// What one frontend director gets may grow by this from 8 of them to 80: numbers grow by a digit, nothing else.
const GROWS: f64 = 1.25;

struct Row {
    size: Size,
    calm: Counts,
    drain: Counts,
    join: Counts,
}

fn measure(fronts: usize, hosts: usize) -> Row {
    let size = Size {
        cores: 5,
        fronts,
        hosts,
        services: 3,
        zones: 5,
        beat_ms: 1_500,
    };
    let mut world = World::new(size);
    (0..fronts - 1).for_each(|f| world.join(f));
    world.run(3_000);
    world.take();
    world.join(fronts - 1);
    let join = world.take();
    world.run(15_000);
    world.take();
    world.run(CALM * 1_000);
    let calm = world.take();
    world.call(1, HostState::Draining);
    let drain = world.take();
    assert!(
        world.lines().values().all(|lines| (1..30).contains(lines)),
        "tables of under thirty hosts"
    );
    Row {
        size,
        calm,
        drain,
        join,
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.split_first() {
        Some((verb, rest)) if verb == "hollow" => end_with(hollow::run(rest)),
        Some((other, _)) => end_with(Err(Error::new(
            ErrorKind::InvalidInput,
            format!("no verb {other}"),
        ))),
        None => prove(),
    }
}

fn end_with(result: Result<(), Error>) {
    if let Err(error) = result {
        eprintln!("netcost: {error}");
        std::process::exit(1);
    }
}

fn prove() {
    println!(
        "5 core directors, 3 services, beats each 1.5 s. Bytes, in frames; a join and a drain without what follows a second later."
    );
    println!(
        "{:>7} {:>6} | {:>14} {:>14} {:>14} {:>12} | {:>12} {:>12} | {:>12} {:>12}",
        "fronts",
        "hosts",
        "cores B/s",
        "to fronts B/s",
        "of fronts B/s",
        "steps/s",
        "drain: B",
        "to one B",
        "join: B",
        "to it B"
    );
    let mut rows = Vec::new();
    for hosts in [30, 255] {
        for fronts in [8, 20, 40, 80] {
            let row = measure(fronts, hosts);
            let c = &row.calm;
            let all = |c: &Counts| c.between_cores.0 + c.to_fronts.0 + c.from_fronts.0;
            println!(
                "{fronts:>7} {hosts:>6} | {:>14} {:>14} {:>14} {:>12} | {:>12} {:>12} | {:>12} {:>12}",
                c.between_cores.0 / CALM,
                c.to_fronts.0 / CALM,
                c.from_fronts.0 / CALM,
                c.steps / CALM,
                all(&row.drain),
                row.drain.most_to_one,
                all(&row.join),
                row.join.most_to_one,
            );
            rows.push(row);
        }
    }
    let mut failed = false;
    let mut check = |what: String, ok: bool| {
        if !ok {
            println!("SHORT: {what}");
            failed = true;
        }
    };
    for pair in [(0, 3), (4, 7)] {
        let (few, many) = (&rows[pair.0], &rows[pair.1]);
        let by = many.size.fronts as f64 / few.size.fronts as f64;
        let grown = |a: u64, b: u64| b as f64 / (a as f64).max(1.0);
        let each = [
            (
                "a drain, to one frontend director",
                grown(few.drain.most_to_one, many.drain.most_to_one),
                GROWS,
            ),
            (
                "a join, to who joins",
                grown(few.join.most_to_one, many.join.most_to_one),
                GROWS,
            ),
            (
                "calm, of and to all frontend directors",
                grown(few.calm.from_fronts.0, many.calm.from_fronts.0),
                by * GROWS,
            ),
            (
                "calm, between core directors",
                grown(few.calm.between_cores.0, many.calm.between_cores.0),
                GROWS,
            ),
            (
                "steps of core directors in calm",
                grown(few.calm.steps, many.calm.steps),
                by * GROWS,
            ),
        ];
        for (what, grew, most) in each {
            println!(
                "{} hosts, {} to {} fronts: {what}: x {grew:.2}, at most {most:.2}",
                few.size.hosts, few.size.fronts, many.size.fronts
            );
            check(format!("{what} grew {grew:.2} times"), grew <= most);
        }
    }
    std::process::exit(i32::from(failed));
}
