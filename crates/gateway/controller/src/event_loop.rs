//! The event loop of a controller: one queue of sessions' events, one of requests and disk writes, a tick, and signals.

use crate::admin;
use crate::control_request::{ControlEvent, ControlRequest, ControlResponse, EventSender};
use crate::controller::Controller;
use rushcourse_cluster as cluster;
use rushcourse_consensus as consensus;
use rushcourse_storage::WriteOutcome;
use rushcourse_transport::SessionEvent;
use rushcourse_transport::startup::{reload_settings, seed_nodes};
use std::path::Path;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

/// Time between ticks: what waits is looked at this often.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Ticks between two looks at which controllers are to be dialed.
const DIAL_TICKS: u64 = 3;
/// Events of one queue that are taken at once.
const MAX_EVENTS_PER_TURN: usize = 128;

/// The queues of the event loop.
pub(crate) struct Queues {
    pub(crate) sessions: mpsc::UnboundedReceiver<SessionEvent>,
    pub(crate) control: mpsc::UnboundedReceiver<ControlEvent>,
}

/// Why the loop turns.
#[derive(Clone, Copy, PartialEq)]
enum Wake {
    Terminate,
    Events,
    Tick,
}

/// Runs a controller until it is to end, at once where the process can't be told to.
pub(crate) async fn run(mut controller: Controller, mut queues: Queues, settings_path: &Path) {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return;
    };
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut session_events, mut control_events) = (Vec::new(), Vec::new());
    let mut ticks = 0;
    loop {
        // The end of the process comes first, then other nodes, then requests and disk writes, then the tick.
        let wake = tokio::select! {
            biased;
            _ = terminate.recv() => Wake::Terminate,
            _ = queues.sessions.recv_many(&mut session_events, MAX_EVENTS_PER_TURN) => Wake::Events,
            _ = queues.control.recv_many(&mut control_events, MAX_EVENTS_PER_TURN) => Wake::Events,
            _ = interval.tick() => Wake::Tick,
        };
        if wake == Wake::Terminate {
            controller.begin_shutdown();
        }
        controller.check_for_stall();
        if wake == Wake::Tick {
            if controller.may_stop() {
                break;
            }
            ticks += 1;
            controller.tick(ticks);
        }
        for event in session_events.drain(..) {
            controller.handle_session_event(event);
        }
        for event in control_events.drain(..) {
            controller.handle_control_event(event, settings_path);
        }
    }
    log::info!("event=stopped why=sigterm");
}

/// Hands each SIGHUP to the event loop.
pub(crate) async fn watch_hangups(events: EventSender) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return;
    };
    while hangup.recv().await.is_some() {
        let _ = events.send(ControlEvent::SettingsChanged);
    }
}

impl Controller {
    /// `ticks`: how many there were, this one included.
    fn tick(&mut self, ticks: u64) {
        if ticks.is_multiple_of(DIAL_TICKS) {
            self.sessions.dial_missing(ticks / DIAL_TICKS);
        }
        self.step_consensus(consensus::Input::Tick);
        self.finish_probes();
        self.update_contact();
        self.step_cluster(cluster::Input::Tick);
        let rejections = self.sessions.context();
        if let Some(line) = rejections.take_rejections_line(self.clock.now()) {
            log::warn!("{line}");
        }
    }

    fn handle_control_event(&mut self, event: ControlEvent, settings_path: &Path) {
        match event {
            ControlEvent::Request(request) => self.handle_request(request),
            ControlEvent::Storage(outcomes) => self.handle_storage(outcomes),
            ControlEvent::StateFileOpened(opened) => self.state_file_opened(*opened),
            ControlEvent::SettingsChanged => {
                if let Some(settings) = reload_settings(settings_path, self.sessions.context()) {
                    self.sessions.add_known(seed_nodes(&settings));
                }
            }
        }
    }

    fn handle_storage(&mut self, outcomes: Vec<WriteOutcome>) {
        for outcome in outcomes {
            self.step_consensus(match outcome {
                WriteOutcome::Synced(batch) => consensus::Input::BatchSynced(batch),
                WriteOutcome::Refused(batch) => consensus::Input::BatchRefused(batch),
            });
        }
    }

    fn handle_request(&mut self, request: ControlRequest) {
        match request {
            ControlRequest::RegisterHost { record, responder } => {
                self.register_host(record, responder);
            }
            ControlRequest::DeregisterHost { id, responder } => {
                self.deregister_host(id, responder);
            }
            ControlRequest::PutConfiguration {
                version,
                text,
                responder,
            } => self.put_configuration(version, text, responder),
            ControlRequest::GetConfiguration { responder } => self.get_configuration(responder),
            ControlRequest::GetStatus { responder } => {
                let page = admin::status_page(self);
                let _ = responder.send(ControlResponse::Text(page.into_bytes().into()));
            }
            ControlRequest::GetKey { key, responder } => {
                let page =
                    admin::key_page(self.clock.wall_time(), self.consensus.claim_holder(key));
                let _ = responder.send(ControlResponse::Text(page.into_bytes().into()));
            }
        }
    }
}
