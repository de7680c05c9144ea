//! Whether this controller may speak for the system: it is in contact with a majority of the voting set, and has not
//! stood still since that was last proven.

use crate::control_request::ControlResponse;
use crate::controller::Controller;
use crate::probes::{FinishedProbe, ProbePurpose};
use rushcourse_cluster as cluster;
use rushcourse_consensus::CallOutcome;
use rushcourse_messages::Message;
use rushcourse_types::Epoch;

impl Controller {
    /// Whether there is a voting set to be in contact with.
    pub(crate) fn has_voting_set(&self) -> bool {
        self.consensus.voting_set().epoch > Epoch::NONE
    }

    /// A turn of the event loop, before anything that waited is handled. A process that stood still may not know what
    /// became of its sessions, so a majority is asked anew.
    pub(crate) fn check_for_stall(&mut self) {
        if self.contact.record_iteration(self.clock.now()) {
            log::info!("event=stalled");
            self.step_cluster(cluster::Input::Stalled);
            self.confirm_contact();
        }
    }

    /// Looks whether this controller is with a majority, and tells the cluster when that changes.
    pub(crate) fn update_contact(&mut self) {
        let has_contact = self.consensus.has_quorum_contact();
        if self.contact.record_contact(has_contact) {
            log::info!("event=quorum_contact has_majority={has_contact}");
            self.step_cluster(cluster::Input::QuorumContactChanged(has_contact));
            if has_contact && self.contact.needs_confirmation() {
                // The probe of the stall may have gone to sessions that were dead.
                self.confirm_contact();
            }
        }
        if self.contact.is_current() {
            self.notify_unnotified_sessions();
        }
    }

    /// Whether requests may be acknowledged. What a controller without recent contact to a majority acknowledges, the
    /// others may not hear of. Before the first voting set there is nothing to be out of contact with.
    pub(crate) fn may_acknowledge(&mut self) -> bool {
        self.update_contact();
        let precedes_first_set = self.contact.is_first_start() && !self.has_voting_set();
        self.contact.is_current() || precedes_first_set
    }

    /// Asks all controllers, behind what was sent to them before.
    pub(crate) fn begin_probe(&mut self, purpose: ProbePurpose) {
        let token = self.contact.probes.begin(self.clock.now(), purpose);
        let epoch = self.consensus.voting_set().epoch;
        self.sessions
            .send_to_controllers(&Message::ReadRequest { token, epoch });
    }

    /// Asks a majority whether what is held here is current.
    fn confirm_contact(&mut self) {
        let probed_at = self.clock.now();
        self.begin_probe(ProbePurpose::StallRecovery { probed_at });
    }

    /// Carries out what the probes that are over decide.
    pub(crate) fn finish_probes(&mut self) {
        let (now, local) = (self.clock.now(), self.sessions.local_node());
        let probes = &mut self.contact.probes;
        for probe in probes.take_finished(now, local, self.consensus.voting_set()) {
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
