//! Settings files of an example deployment on loopback: four controllers and two gateways, each with its own address.

use crate::error::{AtPath, CliError};
use std::fmt::Write;
use std::path::Path;

const CONTROLLER_COUNT: u8 = 4;
const GATEWAY_COUNT: u8 = 2;
/// Number of controllers that are listed as seed nodes.
const SEED_COUNT: u8 = 3;
const ZONES: [&str; 2] = ["north", "south"];
/// Gateway number N gets an address whose last byte is this base plus N.
const GATEWAY_HOST_BYTE_BASE: u8 = 10;

/// A controller or gateway of the example deployment.
struct ExampleNode {
    name: String,
    /// Last byte of the node's loopback address.
    host_byte: u8,
    is_controller: bool,
}

impl ExampleNode {
    fn all() -> impl Iterator<Item = ExampleNode> {
        let controllers = (1..=CONTROLLER_COUNT).map(|number| ExampleNode {
            name: format!("core-{number}"),
            host_byte: number,
            is_controller: true,
        });
        let gateways = (1..=GATEWAY_COUNT).map(|number| ExampleNode {
            name: format!("frontend-{number}"),
            host_byte: GATEWAY_HOST_BYTE_BASE + number,
            is_controller: false,
        });
        controllers.chain(gateways)
    }

    fn ip(&self) -> String {
        format!("127.30.0.{}", self.host_byte)
    }

    fn zone(&self) -> &'static str {
        ZONES[usize::from(self.host_byte) % ZONES.len()]
    }

    /// Returns the text of the settings file. `data_directory` is used only for controllers.
    fn settings(&self, data_directory: &Path) -> String {
        let seeds: Vec<String> = (1..=SEED_COUNT)
            .map(|number| format!("127.30.0.{number}:8544"))
            .collect();
        let ip = self.ip();
        let shared = format!(
            "node_name={}\nip_address={ip}\nzone={}\nzones.north=home\nzones.south=home\n\
             internal_port_range=7540,7555\nseed_nodes={}\nfirst_start=true\nheartbeat_interval_s=1\n\
             limits.file_descriptors=1024\n",
            self.name,
            self.zone(),
            seeds.join(",")
        );
        let own = if self.is_controller {
            format!(
                "listen_addresses.control_plane={ip}:8544\ndata_directory={}\n",
                data_directory.display()
            )
        } else {
            format!("listen_addresses.front_http={ip}:8548\nlisten_addresses.readiness={ip}:8542\n")
        };
        shared + &own
    }
}

/// Writes the settings files of all nodes and returns their paths, one per line.
///
/// # Errors
/// A file or directory can't be created.
pub(crate) fn write(directory: &str) -> Result<String, CliError> {
    let directory = Path::new(directory);
    let mut paths = String::new();
    for node in ExampleNode::all() {
        let data_directory = directory.join(&node.name);
        let created_directory = if node.is_controller {
            &data_directory
        } else {
            directory
        };
        std::fs::create_dir_all(created_directory).at_path(created_directory)?;
        let path = directory.join(format!("{}.conf", node.name));
        std::fs::write(&path, node.settings(&data_directory)).at_path(&path)?;
        let _ = writeln!(paths, "{}", path.display());
    }
    Ok(paths)
}
