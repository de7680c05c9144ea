//! The hollow run: one real node of each role among hollow ones (messages without a process behind them), at the size to
//! design for and at an eighth, a quarter and a half of it. Each part runs in a process of its own, so that its memory is
//! its own; docs/CAPACITY.md tells what is read from it.

mod calm_traffic;
mod configuration;
mod configuration_text;
mod controller;
mod fleet;
mod gateway;
mod operation_keys;
mod process_usage;
mod real_controller;

use crate::error::NetcostError;
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
/// What the target is divided by, in turn.
const DIVISORS: [usize; 4] = [8, 4, 2, 1];
/// Parts of the run.
const PARTS: [Part; 4] = [
    Part {
        name: "controller",
        heading: controller::HEADING,
        measure: controller::measure,
    },
    Part {
        name: "gateway",
        heading: gateway::HEADING,
        measure: gateway::measure,
    },
    Part {
        name: "configuration",
        heading: configuration::HEADING,
        measure: configuration::measure,
    },
    Part {
        name: "keys",
        heading: operation_keys::HEADING,
        measure: operation_keys::measure,
    },
];

/// A part of the run.
struct Part {
    name: &'static str,
    heading: &'static str,
    /// Measures one size and prints its row.
    measure: fn(&Size),
}

/// How many there are of everything.
#[derive(Clone, Copy, Debug)]
struct Size {
    controllers: usize,
    gateways: usize,
    hosts: usize,
    services: usize,
    routes: usize,
    tenants: usize,
    zones: usize,
}

impl Size {
    /// This, with one in `divisor` of all but controllers and zones.
    fn divided_by(&self, divisor: usize) -> Size {
        Size {
            gateways: self.gateways / divisor,
            hosts: self.hosts / divisor,
            services: self.services / divisor,
            routes: self.routes / divisor,
            tenants: self.tenants / divisor,
            ..*self
        }
    }
}

/// Runs all parts, or in a child process the one that is named with its divisor.
///
/// # Errors
/// A part that is not known, or a child process that ended otherwise than well.
pub fn run(arguments: &[String]) -> Result<(), NetcostError> {
    match arguments {
        [] => run_all(),
        [name, divisor] => run_part(name, divisor),
        _ => Err(NetcostError::UnexpectedArguments),
    }
}

fn run_part(name: &str, divisor: &str) -> Result<(), NetcostError> {
    let unknown = || NetcostError::UnknownPart {
        name: name.into(),
        divisor: divisor.into(),
    };
    let part = PARTS.iter().find(|part| part.name == name);
    let part = part.ok_or_else(unknown)?;
    let divisor: usize = divisor.parse().map_err(|_| unknown())?;
    (part.measure)(&TARGET.divided_by(divisor.max(1)));
    Ok(())
}

fn run_all() -> Result<(), NetcostError> {
    println!(
        "Target: {TARGET:?}. Processor time in steps of 10 ms; memory is what this process holds."
    );
    for Part { name, heading, .. } in PARTS {
        println!("\n{name}\n{heading}");
        for divisor in DIVISORS {
            let mut child = Command::new(std::env::current_exe()?);
            let status = child
                .args(["hollow", name, &divisor.to_string()])
                .status()?;
            if !status.success() {
                return Err(NetcostError::PartFailed {
                    name,
                    divisor,
                    status,
                });
            }
        }
    }
    Ok(())
}
