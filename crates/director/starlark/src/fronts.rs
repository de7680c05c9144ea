//! The file of fronts: `grpc(...)` opens the gRPC front, `platform(relay = False)` goes without the platform's relay.

// A function of a script takes each setting by its name; the macro drops an attribute nearer to it.
#![allow(clippy::too_many_arguments)]

use crate::run;
use anyhow::{anyhow, bail};
use starlark::collections::SmallMap;
use starlark::environment::{Globals, GlobalsBuilder};
use starlark::starlark_module;
use starlark::values::none::NoneType;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Relays may have names of their own; no more are needed than there are relays.
const NAMES_MOST: usize = 10_000;

/// The gRPC front, as an operator sets it.
#[derive(Clone, Debug, PartialEq)]
pub struct Grpc {
    pub listen: SocketAddr,
    /// A node's id is this and the relay's number.
    pub prefix: String,
    /// Ids that follow no rule, and their relays' numbers.
    pub names: BTreeMap<String, u32>,
    /// Streams at a time; nothing: as many as the process's limits allow.
    pub streams: Option<usize>,
    /// Hosts are asked for their load, out of band.
    pub ask_hosts: bool,
    /// ms in which a stream must say who it is; after which one that takes nothing is ended; between HTTP/2's
    /// pings, and for their answers.
    pub join_within: f64,
    pub take_within: f64,
    pub ping_every: f64,
    pub ping_within: f64,
    /// Files in PEM form: certificate and key, and whose clients are served.
    pub tls: Option<TlsFiles>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct TlsFiles {
    pub cert: PathBuf,
    pub key: PathBuf,
    pub client_ca: Option<PathBuf>,
}

/// What a file of fronts says.
#[derive(Clone, Debug, PartialEq)]
pub struct Fronts {
    pub grpc: Option<Grpc>,
    /// Whether there is the platform's relay.
    pub relay: bool,
}

impl Default for Fronts {
    fn default() -> Fronts {
        Fronts {
            grpc: None,
            relay: true,
        }
    }
}

#[derive(Debug, Default)]
struct Store {
    fronts: Fronts,
    /// What was called.
    said: Vec<&'static str>,
}

thread_local! {
    /// What the script that is being read has said. A file is read on one thread; a place in the evaluator would
    /// take a derive that writes unsafe code.
    static STORE: RefCell<Store> = RefCell::default();
}

/// Keeps what a call says; each may be made once.
fn keep(what: &'static str, say: impl FnOnce(&mut Fronts)) -> anyhow::Result<()> {
    STORE.with_borrow_mut(|store| {
        if store.said.contains(&what) {
            bail!("{what}(...) is called twice: a director has one");
        }
        store.said.push(what);
        say(&mut store.fronts);
        Ok(())
    })
}

/// A whole number within a range, by the name of its field.
fn within(field: &str, value: i32, least: i32, most: i32) -> anyhow::Result<i32> {
    if !(least..=most).contains(&value) {
        bail!("{field} must be {least} to {most}, it is {value}");
    }
    Ok(value)
}

#[starlark_module]
fn offered(builder: &mut GlobalsBuilder) {
    /// Serves relays, and asks hosts, over gRPC.
    fn grpc(
        #[starlark(require = named)] listen: &str,
        #[starlark(require = named, default = "relay-")] node_prefix: &str,
        #[starlark(require = named, default = SmallMap::default())] node_names: SmallMap<
            String,
            i32,
        >,
        #[starlark(require = named, default = 0)] streams: i32,
        #[starlark(require = named, default = false)] ask_hosts: bool,
        #[starlark(require = named, default = 1200)] join_within_ms: i32,
        #[starlark(require = named, default = 10_000)] take_within_ms: i32,
        #[starlark(require = named, default = 5000)] ping_every_ms: i32,
        #[starlark(require = named, default = 2500)] ping_within_ms: i32,
        #[starlark(require = named, default = "")] tls_cert: &str,
        #[starlark(require = named, default = "")] tls_key: &str,
        #[starlark(require = named, default = "")] tls_client_ca: &str,
    ) -> anyhow::Result<NoneType> {
        let listen = listen
            .parse()
            .map_err(|_| anyhow!("listen is no address and port: {listen:?}"))?;
        if node_prefix.is_empty() && node_names.is_empty() {
            bail!("node_prefix is empty and node_names too: no relay could say who it is");
        }
        if node_names.len() > NAMES_MOST {
            bail!(
                "node_names has {} entries, {NAMES_MOST} at most",
                node_names.len()
            );
        }
        let mut names = BTreeMap::new();
        let mut taken: BTreeMap<u32, String> = BTreeMap::new();
        for (name, number) in node_names {
            let number = within(&format!("node_names[{name:?}]"), number, 0, 1_000_000)? as u32;
            if let Some(other) = taken.insert(number, name.clone()) {
                bail!("node_names gives relay {number} to {other:?} and to {name:?}");
            }
            names.insert(name, number);
        }
        let streams = within("streams", streams, 0, 100_000)? as usize;
        if tls_cert.is_empty() != tls_key.is_empty() {
            bail!("tls_cert and tls_key go together: one of them is missing");
        }
        if tls_cert.is_empty() && !tls_client_ca.is_empty() {
            bail!("tls_client_ca needs tls_cert and tls_key");
        }
        let path = |text: &str| (!text.is_empty()).then(|| PathBuf::from(text));
        let client_ca = path(tls_client_ca);
        let tls = path(tls_cert)
            .zip(path(tls_key))
            .map(|(cert, key)| TlsFiles {
                cert,
                key,
                client_ca,
            });
        let ms = |field: &str, value: i32, least: i32| {
            within(field, value, least, 600_000).map(f64::from)
        };
        let grpc = Grpc {
            listen,
            prefix: node_prefix.to_string(),
            names,
            streams: (streams > 0).then_some(streams),
            ask_hosts,
            join_within: ms("join_within_ms", join_within_ms, 100)?,
            take_within: ms("take_within_ms", take_within_ms, 1000)?,
            ping_every: ms("ping_every_ms", ping_every_ms, 100)?,
            ping_within: ms("ping_within_ms", ping_within_ms, 100)?,
            tls,
        };
        keep("grpc", |fronts| fronts.grpc = Some(grpc))?;
        Ok(NoneType)
    }

    /// The platform's own parts.
    fn platform(
        #[starlark(require = named, default = true)] relay: bool,
    ) -> anyhow::Result<NoneType> {
        keep("platform", |fronts| fronts.relay = relay)?;
        Ok(NoneType)
    }
}

/// Reads a text; `name` is what errors call it.
pub fn read_text(name: &str, text: &str) -> Result<Fronts, String> {
    let globals: Globals = GlobalsBuilder::standard().with(offered).build();
    STORE.set(Store::default());
    let done = run::run(name, text, &globals);
    let Store { fronts, .. } = STORE.take();
    done?;
    if fronts.grpc.is_none() && !fronts.relay {
        return Err(format!(
            "{name}: platform(relay = False) without grpc(...): no proxy could be reached"
        ));
    }
    Ok(fronts)
}

/// Reads a file.
pub fn read(path: &Path) -> Result<Fronts, String> {
    let name = path.display().to_string();
    let size = std::fs::metadata(path)
        .map_err(|e| format!("{name}: can't be read: {e}"))?
        .len();
    if size > run::TEXT_MOST as u64 {
        return Err(format!("{name}: {size} bytes, {} at most", run::TEXT_MOST));
    }
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: can't be read: {e}"))?;
    read_text(&name, &text)
}
