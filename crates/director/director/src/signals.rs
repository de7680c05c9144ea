//! Signal handling.

use rushcourse_director_state::Input;
use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// SIGTERM and SIGINT stop the director; SIGHUP reloads its configuration.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers. Must be called within the context of a Tokio runtime.
    pub(crate) fn new() -> io::Result<Signals> {
        Ok(Signals {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal and converts it to an input of the session.
    pub(crate) async fn next(&mut self) -> Input {
        tokio::select! {
            biased;
            _ = self.terminate.recv() => Input::Stop,
            _ = self.interrupt.recv() => Input::Stop,
            _ = self.hangup.recv() => Input::ReloadRequested,
        }
    }
}
