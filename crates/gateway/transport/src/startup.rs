//! What both programs of the gateway do at their start: the settings file, read and checked whole, the node's handshake,
//! sockets, and what a changed settings file changes while they run.

use crate::session_context::SessionContext;
use error_stack::{Report, ResultExt};
use rushcourse_config::NodeSettings;
use rushcourse_messages::{Handshake, PROTOCOL_VERSION, Role};
use rushcourse_types::{Incarnation, NodeId};
use std::fmt;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Names the settings file (DEPLOY.md).
pub const SETTINGS_VARIABLE: &str = "RUSHCOURSE_NODE_FILE";

/// Why a program can't start.
#[derive(Debug)]
pub enum StartError {
    /// Neither the command line nor the environment names a settings file.
    NoSettingsFile,
    /// The settings file can't be read.
    SettingsUnreadable(PathBuf),
    /// The settings file has a line or field that can't be used.
    SettingsInvalid(PathBuf),
    /// The settings file lacks what this program needs.
    MissingSetting(&'static str),
    /// The address is taken, or not of this machine.
    Listen(SocketAddrV4),
    /// The asynchronous runtime can't start.
    Runtime,
    /// The operating system refuses handlers of signals.
    Signals,
    /// The state on disk can't be used.
    Disk,
    /// The certificates and keys for sessions between nodes can't be used.
    Keys,
}

impl fmt::Display for StartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::NoSettingsFile => write!(
                formatter,
                "no settings file: give --settings FILE or set {SETTINGS_VARIABLE}"
            ),
            StartError::SettingsUnreadable(path) => {
                write!(formatter, "{}: can't be read", path.display())
            }
            StartError::SettingsInvalid(path) => {
                write!(formatter, "{}: can't be used", path.display())
            }
            StartError::MissingSetting(field) => write!(formatter, "{field}: is missing"),
            StartError::Listen(address) => write!(formatter, "can't listen at {address}"),
            StartError::Runtime => formatter.write_str("the asynchronous runtime can't start"),
            StartError::Signals => formatter.write_str("signals can't be handled"),
            StartError::Disk => formatter.write_str("the state on disk can't be used"),
            StartError::Keys => {
                formatter.write_str("the keys for sessions between nodes (peers.) can't be used")
            }
        }
    }
}

impl std::error::Error for StartError {}

/// The settings file that the command line names, or else the environment.
///
/// # Errors
/// [`StartError::NoSettingsFile`] where neither does.
pub fn settings_path(named: Option<&str>) -> Result<PathBuf, Report<StartError>> {
    let found = named
        .map(PathBuf::from)
        .or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    found.ok_or_else(|| Report::new(StartError::NoSettingsFile))
}

/// Reads a settings file whole.
///
/// # Errors
/// A file that can't be read, or its first line or field that can't be used.
pub fn read_settings(path: &Path) -> Result<NodeSettings, Report<StartError>> {
    let text = std::fs::read_to_string(path)
        .change_context_lazy(|| StartError::SettingsUnreadable(path.into()))?;
    NodeSettings::parse(&text).change_context_lazy(|| StartError::SettingsInvalid(path.into()))
}

/// Reads the settings file of a running program again; its new sessions get the file's keys from now on. What can't be
/// used is logged and changes nothing. `None`: the file as a whole.
pub fn reload_settings(path: &Path, context: &SessionContext) -> Option<NodeSettings> {
    let settings = match read_settings(path) {
        Ok(settings) => settings,
        Err(report) => {
            log::error!("event=settings_unusable why={:?}", format!("{report}"));
            return None;
        }
    };
    log::info!(
        "event=settings_read seeds={} keys={}",
        settings.peers.seeds.len(),
        settings.peers.keys.is_some()
    );
    if let Err(error) = context.set_keys(settings.peers.keys.as_ref()) {
        log::error!("event=keys_unusable why={:?}", error.to_string());
    }
    Some(settings)
}

/// The nodes that a settings file names as seeds.
pub fn seed_nodes(settings: &NodeSettings) -> impl Iterator<Item = NodeId> {
    settings
        .peers
        .seeds
        .iter()
        .map(|seed| NodeId::from(*seed.ip()))
}

/// The handshake of this process: its node by the settings, in an incarnation of its own.
pub fn local_handshake(settings: &NodeSettings, role: Role) -> Handshake {
    Handshake {
        protocol_version: PROTOCOL_VERSION,
        role,
        node: NodeId::from(settings.node.ip_address),
        incarnation: random_incarnation(),
        name: settings.node.name.clone(),
        zone: settings.node.zone.clone(),
    }
}

/// A random number, by the seed that the standard library draws for its hash tables; not for secrets.
pub fn random_incarnation() -> Incarnation {
    Incarnation(RandomState::new().build_hasher().finish())
}

/// Runs a program's work on this thread, and the tasks that it spawns.
///
/// # Errors
/// Those of the work; [`StartError::Runtime`] where it can't begin.
pub fn run_on_current_thread(
    work: impl Future<Output = Result<(), Report<StartError>>>,
) -> Result<(), Report<StartError>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(StartError::Runtime)?;
    LocalSet::new().block_on(&runtime, work)
}

/// Listens at an address of this machine.
///
/// # Errors
/// [`StartError::Listen`] where that can't be.
pub async fn listen(address: SocketAddrV4) -> Result<TcpListener, Report<StartError>> {
    TcpListener::bind(address)
        .await
        .change_context(StartError::Listen(address))
}

/// Listens where other nodes open sessions: at the first of the internal ports.
///
/// # Errors
/// [`StartError::Listen`] where that can't be.
pub async fn listen_for_sessions(
    settings: &NodeSettings,
) -> Result<TcpListener, Report<StartError>> {
    listen(SocketAddrV4::new(
        settings.node.ip_address,
        settings.peers.ports.first,
    ))
    .await
}

/// The address that a setting of this name holds.
///
/// # Errors
/// [`StartError::MissingSetting`] where it holds none.
pub fn required_address(
    address: Option<SocketAddrV4>,
    field: &'static str,
) -> Result<SocketAddrV4, Report<StartError>> {
    address.ok_or_else(|| Report::new(StartError::MissingSetting(field)))
}
