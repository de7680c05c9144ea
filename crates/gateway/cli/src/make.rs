//! Settings files for a small gateway on loopback: four core directors and two frontend ones, an address each.

use std::fmt::Write;
use std::path::Path;

const CORES: u8 = 4;
const FRONTS: u8 = 2;
const ZONES: [&str; 2] = ["north", "south"];

/// Writes the files. A line for each.
///
/// # Errors
/// A file or folder that can't be made.
pub fn settings(folder: &str) -> Result<String, String> {
    let mut told = String::new();
    let seeds: Vec<String> = (1..=3).map(|k| format!("127.30.0.{k}:8544")).collect();
    let core = (1..=CORES).map(|k| (format!("core-{k}"), k, true));
    let front = (1..=FRONTS).map(|k| (format!("frontend-{k}"), 10 + k, false));
    for (name, at, core) in core.chain(front) {
        let (ip, zone) = (
            format!("127.30.0.{at}"),
            ZONES[usize::from(at) % ZONES.len()],
        );
        let mut text = format!(
            "node_name={name}\nip_address={ip}\nzone={zone}\nzones.north=home\nzones.south=home\n\
             internal_port_range=7540,7555\nseed_nodes={}\nfirst_start=true\nheartbeat_interval_s=1\n\
             limits.file_descriptors=1024\n",
            seeds.join(",")
        );
        if core {
            let data = Path::new(folder).join(&name);
            std::fs::create_dir_all(&data).map_err(|e| format!("{}: {e}", data.display()))?;
            let _ = write!(
                text,
                "listen_addresses.control_plane={ip}:8544\ndata_directory={}\n",
                data.display()
            );
        } else {
            std::fs::create_dir_all(folder).map_err(|e| format!("{folder}: {e}"))?;
            let _ = write!(
                text,
                "listen_addresses.front_http={ip}:8548\nlisten_addresses.readiness={ip}:8542\n"
            );
        }
        let path = Path::new(folder).join(format!("{name}.conf"));
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        let _ = writeln!(told, "{}", path.display());
    }
    Ok(told)
}
