//! Quorum contact: whether this controller has sessions with a majority of the voting set and has not stalled since a
//! majority last responded to a probe. Without it, the controller acknowledges nothing.

use crate::control_request::ControlResponse;
use crate::controller::Controller;
use crate::probes::{FinishedProbe, ProbePurpose};
use rushcourse_cluster as cluster;
use rushcourse_consensus::CallOutcome;
use rushcourse_messages::Message;
use rushcourse_types::Epoch;

impl Controller {
    /// Whether the first voting set has been formed.
    pub(crate) fn has_voting_set(&self) -> bool {
        self.consensus.voting_set().epoch > Epoch::NONE
    }

    /// Detects a stall of the process; called in each iteration of the event loop before any event is handled. Sessions
    /// may have ended unnoticed during a stall, so it starts a probe to confirm quorum contact.
    pub(crate) fn check_for_stall(&mut self) {
        if self.contact.record_iteration(self.clock.now()) {
            log::info!("event=stalled");
            self.step_cluster(cluster::Input::Stalled);
            self.confirm_contact();
        }
    }

    /// Updates quorum contact from the open sessions and reports changes to the cluster.
    pub(crate) fn update_contact(&mut self) {
        let has_contact = self.consensus.has_quorum_contact();
        if self.contact.record_contact(has_contact) {
            log::info!("event=quorum_contact has_majority={has_contact}");
            self.step_cluster(cluster::Input::QuorumContactChanged(has_contact));
            if has_contact && self.contact.needs_confirmation() {
                // The previous probe may have been sent on sessions that were already dead.
                self.confirm_contact();
            }
        }
        if self.contact.is_current() {
            self.notify_unnotified_sessions();
        }
    }

    /// Whether requests may be acknowledged. Without quorum contact, an acknowledged request might never reach the
    /// other controllers. Before the first voting set of a new system is formed, requests are acknowledged without it.
    pub(crate) fn may_acknowledge(&mut self) -> bool {
        self.update_contact();
        let is_before_first_set = self.contact.is_first_start() && !self.has_voting_set();
        self.contact.is_current() || is_before_first_set
    }

    /// Sends a probe to all connected controllers. Messages of a session stay in order, so a response confirms that the
    /// peer has received everything sent before.
    pub(crate) fn begin_probe(&mut self, purpose: ProbePurpose) {
        let token = self.contact.probes.begin(self.clock.now(), purpose);
        let local = self.sessions.local_node();
        self.contact.probes.record_response(local, token);
        let epoch = self.consensus.voting_set().epoch;
        self.sessions
            .send_to_controllers(&Message::ReadRequest { token, epoch });
    }

    /// Starts a probe to confirm quorum contact after a stall.
    fn confirm_contact(&mut self) {
        let probed_at = self.clock.now();
        self.begin_probe(ProbePurpose::StallRecovery { probed_at });
    }

    /// Acts on the probes that were confirmed or have timed out.
    pub(crate) fn finish_probes(&mut self) {
        let now = self.clock.now();
        let probes = &mut self.contact.probes;
        for probe in probes.take_finished(now, self.consensus.voting_set()) {
            self.finish_probe(probe);
        }
    }

    fn finish_probe(&mut self, probe: FinishedProbe) {
        let is_confirmed = probe.is_confirmed;
        match probe.purpose {
            ProbePurpose::StallRecovery { probed_at } if is_confirmed => {
                self.contact.confirm(probed_at);
            }
            ProbePurpose::StallRecovery { .. } => {
                if self.contact.needs_confirmation() {
                    self.confirm_contact();
                }
            }
            ProbePurpose::HostResponse(responder) => {
                let _ = responder.send(if is_confirmed {
                    ControlResponse::Done
                } else {
                    ControlResponse::NoQuorumContact
                });
            }
            ProbePurpose::OperatorRequest(ticket) => {
                if !is_confirmed {
                    self.pending_requests.respond(ticket, CallOutcome::Unknown);
                }
            }
        }
    }
}
