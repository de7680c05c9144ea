//! Startup of a controller: listening sockets, the state file, the state machines, and the tasks that feed the event
//! loop.

use crate::contact_state::ContactState;
use crate::control_request::EventSender;
use crate::controller::Controller;
use crate::event_loop::{self, Queues};
use crate::host_writes::HostWrites;
use crate::http_api;
use crate::peer_sessions::PeerSessions;
use crate::pending_requests::PendingRequests;
use crate::response_commands::ResponseStorageSetup;
use crate::response_storage::ResponseStorage;
use crate::shutdown::Shutdown;
use crate::state_file::{newest_version, state_file_path};
use crate::storage_opener::{is_retryable, open_in_background};
use crate::storage_thread::Storage;
use crate::usage_state::UsageReports;
use error_stack::{Report, ResultExt};
use rushcourse_cluster::{self as cluster, Cluster, ConfigurationConfirmations, Topology};
use rushcourse_config::NodeSettings;
use rushcourse_consensus::{ConsensusNode, DurableState, ReplicaSetup, claim_retention};
use rushcourse_messages::{Handshake, Role};
use rushcourse_storage::{ResponseStoreLimits, Store};
use rushcourse_transport::startup::{
    listen, listen_for_sessions, local_handshake, required_address, run_on_current_thread,
    seed_nodes,
};
use rushcourse_transport::{
    Clock, Dialer, SessionContext, SessionEvent, StartError, accept_sessions, logging,
};
use rushcourse_types::{Epoch, ResponseStoreId};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// File descriptors reserved for uses other than inbound connections.
const RESERVED_DESCRIPTORS: usize = 264;
/// Fraction of the disk that shards of responses may take.
const RESPONSES_DISK_FRACTION: f64 = 0.2;
/// Minimum number of inbound connections, applied even if `limits.file_descriptors` is too low for it.
const MIN_CONNECTIONS: usize = 16;

/// Runs a controller until it has shut down after SIGTERM.
///
/// # Errors
/// Returns an error if the settings lack a listen address or the data directory, an address can't be bound, or the
/// state file or the TLS keys are unusable.
pub fn serve(settings_path: &Path, settings: NodeSettings) -> Result<(), Report<StartError>> {
    logging::init(&settings.log_level, &settings.node.name);
    run_on_current_thread(async {
        let field = "listen_addresses.control_plane";
        let control_plane = listen(required_address(
            settings.listen_addresses.control_plane,
            field,
        )?)
        .await?;
        let internal = listen_for_sessions(&settings).await?;
        let (event_sender, control) = mpsc::unbounded_channel();
        let (session_sender, sessions) = mpsc::unbounded_channel();
        let controller = create_controller(&settings, &event_sender, session_sender)?;
        let context = controller.sessions.context().clone();
        spawn_tasks(&settings, control_plane, internal, event_sender, context);
        event_loop::run(controller, Queues { sessions, control }, settings_path).await;
        Ok(())
    })
}

/// Spawns the tasks that feed the event loop: HTTP server, session listener and SIGHUP handler.
fn spawn_tasks(
    settings: &NodeSettings,
    control_plane: TcpListener,
    internal: TcpListener,
    events: EventSender,
    context: SessionContext,
) {
    let descriptors = settings
        .limits
        .file_descriptors
        .saturating_sub(RESERVED_DESCRIPTORS);
    // Shared equally between the HTTP API and sessions with nodes.
    let max_connections = descriptors.max(MIN_CONNECTIONS) / 2;
    tokio::task::spawn_local(http_api::serve_connections(
        control_plane,
        max_connections,
        events.clone(),
    ));
    tokio::task::spawn_local(accept_sessions(internal, max_connections, context));
    tokio::task::spawn_local(event_loop::watch_hangups(events));
}

/// Creates a controller and restores its state from disk.
fn create_controller(
    settings: &NodeSettings,
    events: &EventSender,
    session_events: mpsc::UnboundedSender<SessionEvent>,
) -> Result<Controller, Report<StartError>> {
    let clock = Clock::start();
    let handshake = local_handshake(settings, Role::Controller);
    let (storage, mut stored) = open_storage(settings, events.clone())?;
    let stored_hosts = std::mem::take(&mut stored.hosts);
    let stored_members = stored.voting_set.members.clone();
    let setup = consensus_setup(settings, &handshake, &stored);
    let responses = response_storage_setup(settings, &handshake, clock)?;
    let mut controller = Controller {
        clock,
        storage,
        responses: ResponseStorage::start(responses, events.clone())?,
        consensus: ConsensusNode::new(setup.clone(), stored),
        setup,
        cluster: Cluster::new(topology(settings)),
        sessions: create_sessions(settings, handshake, session_events)?,
        contact: ContactState::new(settings.is_first_start),
        pending_requests: PendingRequests::default(),
        host_writes: HostWrites::default(),
        confirmations: settings
            .bounds
            .revocation
            .map(ConfigurationConfirmations::new),
        unnotified_sessions: BTreeSet::new(),
        shutdown: Shutdown::new(settings.bounds.grace_period),
        usage_reports: UsageReports::new(settings, events.clone()),
    };
    // Members of the stored voting set may not be among the configured seeds.
    controller.sessions.add_known_controllers(stored_members);
    // Restores endpoint tables before the hosts send their next heartbeats.
    if !stored_hosts.is_empty() {
        controller.step_cluster(cluster::Input::HostsRestored(stored_hosts));
    }
    Ok(controller)
}

/// Opens the state file and starts the storage thread. If the failure is retryable, returns storage that refuses writes
/// and an empty state, and keeps trying to open the file in the background.
fn open_storage(
    settings: &NodeSettings,
    events: EventSender,
) -> Result<(Storage, DurableState), Report<StartError>> {
    let file = state_file_path(data_directory(settings)?)?;
    let mut storage = Storage::new(&file, events.clone());
    let (store, stored) = match Store::open(&file) {
        Ok(opened) => opened,
        Err(report) if is_retryable(report.current_context()) => {
            open_in_background(file, events).change_context(StartError::Disk)?;
            return Ok((storage, DurableState::default()));
        }
        Err(report) => return Err(report.change_context(StartError::Disk)),
    };
    log::info!(
        "event=start epoch={} has_complete_state={} generation={} configuration={} claims={}",
        stored.voting_set.epoch,
        stored.has_complete_state,
        stored.generation,
        newest_version(&stored),
        stored.claims.len()
    );
    storage.start(store)?;
    Ok((storage, stored))
}

fn data_directory(settings: &NodeSettings) -> Result<&Path, Report<StartError>> {
    let missing = || Report::new(StartError::Disk).attach("data_directory is missing");
    let directory = settings.data_directory.as_ref().ok_or_else(missing)?;
    Ok(Path::new(directory))
}

/// The identifier of a file created in this incarnation is the incarnation, which no other process shares.
fn response_storage_setup(
    settings: &NodeSettings,
    handshake: &Handshake,
    clock: Clock,
) -> Result<ResponseStorageSetup, Report<StartError>> {
    let disk_bytes = settings.limits.disk_bytes();
    Ok(ResponseStorageSetup {
        directory: PathBuf::from(data_directory(settings)?),
        limits: ResponseStoreLimits {
            retention: claim_retention(settings.bounds.key_window),
            max_bytes: (disk_bytes * RESPONSES_DISK_FRACTION) as u64,
        },
        new_id: ResponseStoreId(handshake.incarnation.0),
        clock,
    })
}

fn consensus_setup(
    settings: &NodeSettings,
    handshake: &Handshake,
    stored: &DurableState,
) -> ReplicaSetup {
    ReplicaSetup {
        node: handshake.node,
        zone: settings.node.zone.as_str().into(),
        incarnation: handshake.incarnation,
        seeds: seed_nodes(settings).collect(),
        is_first_start: settings.is_first_start && stored.voting_set.epoch == Epoch::NONE,
        tolerated_losses: settings.tolerated_losses,
        catch_up: settings.bounds.catch_up,
        key_window: settings.bounds.key_window,
    }
}

fn topology(settings: &NodeSettings) -> Topology {
    Topology {
        zone: settings.node.zone.as_str().into(),
        zones: settings
            .zones
            .iter()
            .map(|zone| zone.as_str().into())
            .collect(),
        heartbeat_interval: settings.heartbeat_interval,
        drain_timeout: settings.bounds.drain,
    }
}

/// Loads the TLS keys and creates the session registry with the seeds as known controllers. No session is open yet.
fn create_sessions(
    settings: &NodeSettings,
    handshake: Handshake,
    events: mpsc::UnboundedSender<SessionEvent>,
) -> Result<PeerSessions, Report<StartError>> {
    let context = SessionContext::new(handshake, events);
    context
        .set_keys(settings.peers.keys.as_ref())
        .change_context(StartError::Keys)?;
    let mut sessions = PeerSessions::new(Dialer::new(context, settings.peers.ports.first));
    sessions.add_known_controllers(seed_nodes(settings));
    Ok(sessions)
}
