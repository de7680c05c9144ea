//! The operators' file of fronts, and what follows from it and the process's limits.

use rushcourse_director_state::{Bounds, StreamBounds};
use rushcourse_grpc::{Serving, Tls};
use rushcourse_starlark::{Fronts, Grpc};
use rushcourse_xds::{NodeIdentities, StreamConfig, StreamLimits};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Where the file is looked for, from the folder that the program is started in. Without it, nothing is opened.
const USUAL: &str = "deploy/fronts.star";
/// A connection that bears no stream is ended after this.
const IDLE: Duration = Duration::from_secs(5);

/// Where the file of fronts is: one that is named must be there.
#[derive(Clone, Debug, Default)]
pub struct Place {
    named: Option<PathBuf>,
}

/// Fronts as they are to be.
#[derive(Clone, Debug)]
pub struct Opened {
    /// Whether there is the platform's relay.
    pub relay: bool,
    pub bounds: Bounds,
    pub streams: Option<(StreamConfig, Serving)>,
}

impl Place {
    pub fn of(named: Option<PathBuf>) -> Place {
        Place { named }
    }

    fn read(&self) -> Result<Fronts, String> {
        match &self.named {
            Some(path) => rushcourse_starlark::read(path),
            None if Path::new(USUAL).exists() => rushcourse_starlark::read(Path::new(USUAL)),
            None => Ok(Fronts::default()),
        }
    }

    /// What the file says, within the limits of the process. `epoch` tells this life of the director from others.
    pub fn open(&self, memory_mb: f64, sockets: usize, epoch: u64) -> Result<Opened, String> {
        let Fronts { grpc, relay } = self.read()?;
        let Some(grpc) = grpc else {
            return Ok(Opened {
                relay,
                bounds: Bounds::of(memory_mb, sockets),
                streams: None,
            });
        };
        let (bounds, most) = Bounds::with_streams(memory_mb, sockets, grpc.streams, grpc.ask_hosts);
        Ok(Opened {
            relay,
            bounds,
            streams: Some((rules(&grpc, most, epoch), options(&grpc, most))),
        })
    }
}

fn rules(grpc: &Grpc, most: StreamBounds, epoch: u64) -> StreamConfig {
    StreamConfig {
        identities: NodeIdentities {
            prefix: grpc.prefix.clone(),
            names: grpc.names.clone(),
        },
        incarnation: epoch,
        limits: StreamLimits {
            max_streams: most.streams,
            max_unidentified: most.strangers,
            max_report_streams: most.nodes,
        },
        join_timeout: grpc.join_within,
        accept_timeout: grpc.take_within,
        request_host_reports: grpc.ask_hosts,
    }
}

fn options(grpc: &Grpc, most: StreamBounds) -> Serving {
    let ms = |ms: f64| Duration::from_secs_f64(ms / 1000.0);
    Serving {
        listen: grpc.listen,
        connections: most.connections,
        message: most.message,
        ping_every: ms(grpc.ping_every),
        ping_within: ms(grpc.ping_within),
        idle: IDLE,
        tls: grpc.tls.clone().map(|t| Tls {
            cert: t.cert,
            key: t.key,
            ca: t.client_ca,
        }),
    }
}
