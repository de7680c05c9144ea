//! The event loop of a controller. It handles session events, control events, a periodic tick and signals.

use crate::admin;
use crate::control_request::{ControlEvent, ControlRequest, ControlResponse, EventSender};
use crate::controller::Controller;
use crate::host_writes::HostWrites;
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

/// Interval between ticks, which drive timeouts and periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of ticks between two rounds of dialing disconnected controllers.
const TICKS_PER_DIAL_ROUND: u64 = 3;
/// Maximum number of events taken from one queue in an iteration of the loop.
const MAX_EVENTS_PER_ITERATION: usize = 128;

/// Receivers of the session events and the control events.
pub(crate) struct Queues {
    pub(crate) sessions: mpsc::UnboundedReceiver<SessionEvent>,
    pub(crate) control: mpsc::UnboundedReceiver<ControlEvent>,
}

/// The event that started an iteration of the loop.
#[derive(Clone, Copy, PartialEq)]
enum WakeReason {
    Terminate,
    Events,
    Tick,
}

/// Runs a controller until it has shut down after SIGTERM. Returns at once if the SIGTERM handler can't be installed.
pub(crate) async fn run(mut controller: Controller, mut queues: Queues, settings_path: &Path) {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return;
    };
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut session_events, mut control_events) = (Vec::new(), Vec::new());
    let mut ticks = 0;
    loop {
        // Priorities: SIGTERM, session events, control events, tick.
        let wake = tokio::select! {
            biased;
            _ = terminate.recv() => WakeReason::Terminate,
            _ = queues.sessions.recv_many(&mut session_events, MAX_EVENTS_PER_ITERATION) => WakeReason::Events,
            _ = queues.control.recv_many(&mut control_events, MAX_EVENTS_PER_ITERATION) => WakeReason::Events,
            _ = interval.tick() => WakeReason::Tick,
        };
        if wake == WakeReason::Terminate {
            controller.begin_shutdown();
        }
        controller.check_for_stall();
        if wake == WakeReason::Tick {
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

/// Sends `ControlEvent::SettingsChanged` to the event loop on each SIGHUP. Returns if the handler can't be installed.
pub(crate) async fn watch_hangups(events: EventSender) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return;
    };
    while hangup.recv().await.is_some() {
        let _ = events.send(ControlEvent::SettingsChanged);
    }
}

impl Controller {
    /// Runs the periodic work. `ticks` is the number of ticks since startup, including this one.
    fn tick(&mut self, ticks: u64) {
        if ticks.is_multiple_of(TICKS_PER_DIAL_ROUND) {
            self.sessions.dial_missing(ticks / TICKS_PER_DIAL_ROUND);
        }
        self.step_consensus(consensus::Input::Tick);
        self.renew_confirmation();
        self.finish_probes();
        self.update_contact();
        self.step_cluster(cluster::Input::Tick);
        self.step_usage_reports();
        let context = self.sessions.context();
        if let Some(line) = context.take_rejections_line(self.clock.now()) {
            log::warn!("{line}");
        }
    }

    fn handle_control_event(&mut self, event: ControlEvent, settings_path: &Path) {
        match event {
            ControlEvent::Request(request) => self.handle_request(request),
            ControlEvent::WriteOutcomes(outcomes) => self.handle_write_outcomes(outcomes),
            ControlEvent::StateFileOpened(opened) => self.state_file_opened(*opened),
            ControlEvent::ResponseStorage(events) => self.handle_response_storage(events),
            ControlEvent::DeliveryFinished(delivery) => self.finish_usage_delivery(delivery),
            ControlEvent::SettingsChanged => {
                if let Some(settings) = reload_settings(settings_path, self.sessions.context()) {
                    self.sessions.add_known_controllers(seed_nodes(&settings));
                }
            }
        }
    }

    fn handle_write_outcomes(&mut self, outcomes: Vec<WriteOutcome>) {
        for outcome in outcomes {
            if HostWrites::contains(outcome) {
                self.host_write_finished(outcome);
                continue;
            }
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
            ControlRequest::GetClaim { key, responder } => {
                let page =
                    admin::key_page(self.clock.wall_time(), self.consensus.claim_holder(key));
                let _ = responder.send(ControlResponse::Text(page.into_bytes().into()));
            }
        }
    }
}
