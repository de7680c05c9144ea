//! Startup code shared by both programs of the gateway: reading and reloading the settings file, the local handshake,
//! the runtime, and listening sockets.

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

/// Environment variable with the path of the settings file; used if the command line names none.
pub const SETTINGS_VARIABLE: &str = "RUSHCOURSE_NODE_FILE";

/// A failure that prevents a program from starting.
#[derive(Debug)]
pub enum StartError {
    /// Neither the command line nor the environment names a settings file.
    NoSettingsFile,
    /// Reading the settings file at this path failed.
    SettingsUnreadable(PathBuf),
    /// The settings file at this path has a malformed line or an invalid field.
    SettingsInvalid(PathBuf),
    /// The settings file lacks this field, which the program requires.
    MissingSetting(&'static str),
    /// Binding this address failed: it is in use or does not belong to this machine.
    Listen(SocketAddrV4),
    /// The Tokio runtime could not be created.
    Runtime,
    /// A signal handler could not be installed.
    Signals,
    /// The data directory or the state file is unusable.
    Disk,
    /// A certificate or key file for sessions between nodes (`peers.` settings) is unusable.
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
                write!(formatter, "failed to read settings file {}", path.display())
            }
            StartError::SettingsInvalid(path) => {
                write!(formatter, "invalid settings file {}", path.display())
            }
            StartError::MissingSetting(field) => write!(formatter, "{field}: is missing"),
            StartError::Listen(address) => write!(formatter, "failed to listen on {address}"),
            StartError::Runtime => formatter.write_str("failed to create the Tokio runtime"),
            StartError::Signals => formatter.write_str("failed to install signal handlers"),
            StartError::Disk => formatter.write_str("failed to open the state on disk"),
            StartError::Keys => {
                formatter.write_str("failed to load the keys for sessions between nodes (peers.)")
            }
        }
    }
}

impl std::error::Error for StartError {}

/// Returns the path of the settings file: `named` from the command line, or else the value of [`SETTINGS_VARIABLE`].
///
/// # Errors
/// Returns [`StartError::NoSettingsFile`] if neither is set.
pub fn settings_path(named: Option<&str>) -> Result<PathBuf, Report<StartError>> {
    let found = named
        .map(PathBuf::from)
        .or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    found.ok_or_else(|| Report::new(StartError::NoSettingsFile))
}

/// Reads and parses the settings file at `path`.
///
/// # Errors
/// Returns [`StartError::SettingsUnreadable`], or [`StartError::SettingsInvalid`] with the first invalid line or field.
pub fn read_settings(path: &Path) -> Result<NodeSettings, Report<StartError>> {
    let text = std::fs::read_to_string(path)
        .change_context_lazy(|| StartError::SettingsUnreadable(path.into()))?;
    NodeSettings::parse(&text).change_context_lazy(|| StartError::SettingsInvalid(path.into()))
}

/// Rereads the settings file of a running program and loads its TLS keys for new sessions. If the keys are unusable,
/// logs an error and keeps the previous keys. If the file is unusable, logs an error and returns `None`.
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

/// The seed nodes named in the settings.
pub fn seed_nodes(settings: &NodeSettings) -> impl Iterator<Item = NodeId> {
    settings
        .peers
        .seeds
        .iter()
        .map(|seed| NodeId::from(*seed.ip()))
}

/// Creates the handshake of this process from the settings, with a new random incarnation.
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

/// Draws a random incarnation from the standard library's hash seed. Not cryptographically secure.
pub fn random_incarnation() -> Incarnation {
    Incarnation(RandomState::new().build_hasher().finish())
}

/// Runs a future to completion on a current-thread Tokio runtime. The future may call `spawn_local`.
///
/// # Errors
/// Returns the error of the future, or [`StartError::Runtime`] if the runtime can't be created.
pub fn run_on_current_thread(
    future: impl Future<Output = Result<(), Report<StartError>>>,
) -> Result<(), Report<StartError>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(StartError::Runtime)?;
    LocalSet::new().block_on(&runtime, future)
}

/// Binds a TCP listener to `address`.
///
/// # Errors
/// Returns [`StartError::Listen`] if the address can't be bound.
pub async fn listen(address: SocketAddrV4) -> Result<TcpListener, Report<StartError>> {
    TcpListener::bind(address)
        .await
        .change_context(StartError::Listen(address))
}

/// Binds the listener for sessions from other nodes to the first port of `internal_port_range`.
///
/// # Errors
/// Returns [`StartError::Listen`] if the address can't be bound.
pub async fn listen_for_sessions(
    settings: &NodeSettings,
) -> Result<TcpListener, Report<StartError>> {
    listen(SocketAddrV4::new(
        settings.node.ip_address,
        settings.peers.ports.first,
    ))
    .await
}

/// Unwraps the address of a setting. `field` is the setting's name in the settings file.
///
/// # Errors
/// Returns [`StartError::MissingSetting`] if `address` is `None`.
pub fn required_address(
    address: Option<SocketAddrV4>,
    field: &'static str,
) -> Result<SocketAddrV4, Report<StartError>> {
    address.ok_or_else(|| Report::new(StartError::MissingSetting(field)))
}
