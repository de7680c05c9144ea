//! The gateway process that is tested.

use super::client::Client;
use super::waiting::{POLL_INTERVAL, TIMEOUT, wait_until};
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use tokio::time::Instant;

/// Ports of a gateway. Below those that outgoing connections take, and free: each world has a network of its own.
const CLIENT_PORT: u16 = 8548;
const READINESS_PORT: u16 = 8542;
/// Where nodes open sessions with each other.
pub const INTERNAL_PORT: u16 = 7540;

/// A running gateway. It is killed when this goes; its log is printed if the test failed.
pub struct Gateway {
    address: Ipv4Addr,
    process: Child,
    folder: PathBuf,
}

impl Gateway {
    /// Starts the program at an address, with these controllers as seeds.
    pub fn start(address: Ipv4Addr, controllers: &[Ipv4Addr]) -> Gateway {
        let [_, second, third, _] = address.octets();
        let folder = std::env::temp_dir().join(format!(
            "gateway-test-{}-{second}-{third}",
            std::process::id()
        ));
        std::fs::create_dir_all(&folder).expect("a folder");
        let file = folder.join("front.conf");
        std::fs::write(&file, settings(address, controllers)).expect("a settings file");
        let log = File::create(folder.join("log")).expect("a log");
        let process = Command::new(env!("CARGO_BIN_EXE_gateway"))
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the gateway starts");
        Gateway {
            address,
            process,
            folder,
        }
    }

    pub fn client_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.address, CLIENT_PORT)
    }

    /// Waits until the gateway says that it is ready.
    pub async fn wait_until_ready(&self) {
        let address = SocketAddrV4::new(self.address, READINESS_PORT);
        let end = Instant::now() + TIMEOUT;
        while !is_ready(address).await {
            assert!(Instant::now() < end, "the gateway is never ready");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Stops the process; nothing of it runs any more once this returns.
    pub async fn freeze(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.process.id());
        let is_stopped = |stat: String| {
            let after_name = stat.rsplit(')').next();
            after_name.is_some_and(|fields| fields.starts_with(" T"))
        };
        wait_until("the gateway stands still", || {
            std::fs::read_to_string(&stat).is_ok_and(is_stopped)
        })
        .await;
    }

    pub fn thaw(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .arg(name)
            .arg(self.process.id().to_string())
            .status();
        assert!(status.expect("kill").success(), "{name}");
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        if std::thread::panicking()
            && let Ok(log) = std::fs::read_to_string(self.folder.join("log"))
        {
            eprintln!("log of the gateway:\n{log}");
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

async fn is_ready(address: SocketAddrV4) -> bool {
    let Ok(mut client) = Client::connect(address).await else {
        return false;
    };
    client
        .write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        .await;
    let response = client.next_response().await;
    response.is_some_and(|response| response.status == 200)
}

fn settings(address: Ipv4Addr, controllers: &[Ipv4Addr]) -> String {
    let seeds: Vec<String> = controllers
        .iter()
        .map(|controller| format!("{controller}:8544"))
        .collect();
    format!(
        "node_name=front-1\nzone=z\nip_address={address}\nzones.z=home\n\
         internal_port_range={INTERNAL_PORT},{INTERNAL_PORT}\nseed_nodes={}\nfirst_start=true\n\
         heartbeat_interval_s=1\nlimits.file_descriptors=1024\nlog_level=debug\n\
         listen_addresses.front_http={address}:{CLIENT_PORT}\n\
         listen_addresses.readiness={address}:{READINESS_PORT}\n",
        seeds.join(",")
    )
}
