//! The signals that the process receives.

use rushcourse_director_state::Input;
use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// SIGTERM and SIGINT end the director, SIGHUP has it read its configuration again.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Receives signals from now on. Needs the runtime's context.
    pub(crate) fn new() -> io::Result<Signals> {
        Ok(Signals {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// The next signal, as an input of the session.
    pub(crate) async fn next(&mut self) -> Input {
        tokio::select! {
            biased;
            _ = self.terminate.recv() => Input::Stop,
            _ = self.interrupt.recv() => Input::Stop,
            _ = self.hangup.recv() => Input::ReloadRequested,
        }
    }
}
