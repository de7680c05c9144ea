//! The hollow run: one real director of each role among hollow ones (messages without a process behind them), at the size
//! to design for and at an eighth, a quarter and a half of it. Each part runs in a process of its own, so that its memory is
//! its own; docs/CAPACITY.md tells what is read from it.

mod configuration;
mod controller;
mod gateway;
mod gauge;
mod keys;

use std::io::{Error, ErrorKind};
use std::process::Command;

/// The size to design for (docs/CAPACITY.md).
const TARGET: Size = Size {
    controllers: 9,
    gateways: 1_200,
    hosts: 14_000,
    services: 370,
    routes: 7_200,
    tenants: 110_000,
    zones: 23,
};
/// Parts of the target that are played: one in so many.
const PARTS: [usize; 4] = [8, 4, 2, 1];
/// Parts of the run: name, heading, and what measures one size and prints its row.
const ALL_PARTS: [(&str, &str, Part); 4] = [
    ("controller", controller::HEADING, controller::measure),
    ("gateway", gateway::HEADING, gateway::measure),
    (
        "configuration",
        configuration::HEADING,
        configuration::measure,
    ),
    ("keys", keys::HEADING, keys::measure),
];

type Part = fn(&Size);

/// How many there are of everything.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub controllers: usize,
    pub gateways: usize,
    pub hosts: usize,
    pub services: usize,
    pub routes: usize,
    pub tenants: usize,
    pub zones: usize,
}

impl Size {
    /// One `part`-th of this; controllers and zones stay.
    fn over(&self, part: usize) -> Size {
        Size {
            gateways: self.gateways / part,
            hosts: self.hosts / part,
            services: self.services / part,
            routes: self.routes / part,
            tenants: self.tenants / part,
            ..*self
        }
    }
}

/// Runs all parts, or in a child process the one that is named with its size.
///
/// # Errors
/// A part that is not known, or a child process that ended otherwise than well.
pub fn run(arguments: &[String]) -> Result<(), Error> {
    match arguments {
        [] => run_all(),
        [name, part] => {
            let unknown = || Error::new(ErrorKind::InvalidInput, format!("no part {name} {part}"));
            let measure = ALL_PARTS
                .iter()
                .find(|p| p.0 == name)
                .ok_or_else(unknown)?
                .2;
            let part: usize = part.parse().map_err(|_| unknown())?;
            measure(&TARGET.over(part.max(1)));
            Ok(())
        }
        _ => Err(Error::new(
            ErrorKind::InvalidInput,
            "hollow takes no arguments",
        )),
    }
}

fn run_all() -> Result<(), Error> {
    println!(
        "Target: {TARGET:?}. Processor time in steps of 10 ms; memory is what this process holds."
    );
    for (name, heading, _) in ALL_PARTS {
        println!("\n{name}\n{heading}");
        for part in PARTS {
            let mut child = Command::new(std::env::current_exe()?);
            let status = child.args(["hollow", name, &part.to_string()]).status()?;
            if !status.success() {
                return Err(Error::other(format!(
                    "part {name} at 1/{part} ended with {status}"
                )));
            }
        }
    }
    Ok(())
}
