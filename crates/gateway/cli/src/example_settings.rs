//! Settings files for a small gateway on loopback: four controllers and two gateways, an address each.

use crate::error::{AtPath, CliError};
use std::fmt::Write;
use std::path::Path;

const CONTROLLERS: u8 = 4;
const GATEWAYS: u8 = 2;
/// Controllers whose addresses all nodes start from.
const SEEDS: u8 = 3;
const ZONES: [&str; 2] = ["north", "south"];
/// The last byte of the first gateway's address, less one.
const GATEWAY_ADDRESSES: u8 = 10;

/// A node of the example.
struct ExampleNode {
    name: String,
    /// The last byte of its address.
    host_byte: u8,
    is_controller: bool,
}

impl ExampleNode {
    fn all() -> impl Iterator<Item = ExampleNode> {
        let controllers = (1..=CONTROLLERS).map(|number| ExampleNode {
            name: format!("core-{number}"),
            host_byte: number,
            is_controller: true,
        });
        let gateways = (1..=GATEWAYS).map(|number| ExampleNode {
            name: format!("frontend-{number}"),
            host_byte: GATEWAY_ADDRESSES + number,
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

    /// Its settings file. `data_directory`: of a controller.
    fn settings(&self, data_directory: &Path) -> String {
        let seeds: Vec<String> = (1..=SEEDS)
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

/// Writes the files. Gives their paths, a line each.
///
/// # Errors
/// A file or folder that can't be made.
pub(crate) fn make(folder: &str) -> Result<String, CliError> {
    let folder = Path::new(folder);
    let mut paths = String::new();
    for node in ExampleNode::all() {
        let data_directory = folder.join(&node.name);
        let made = if node.is_controller {
            &data_directory
        } else {
            folder
        };
        std::fs::create_dir_all(made).at_path(made)?;
        let path = folder.join(format!("{}.conf", node.name));
        std::fs::write(&path, node.settings(&data_directory)).at_path(&path)?;
        let _ = writeln!(paths, "{}", path.display());
    }
    Ok(paths)
}
