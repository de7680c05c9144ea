//! What calls and news have in common: one connection to the relay at a time, told from earlier ones by its
//! turn, and pauses between tries.

use crate::backoff::Backoff;
use crate::boundary::{Effect, Link};
use crate::step_context::StepContext;
use rushcourse_policy::interface::Ms;
use std::net::SocketAddr;

/// ms for a connection to come up.
const CONNECT_WITHIN: Ms = 250.0;
/// First and longest pause between tries to connect, in ms.
const PAUSE: Ms = 10.0;
const PAUSE_MOST: Ms = 400.0;
/// ms until the relay, which has turned something away as the run has not begun, is asked again.
pub const BUSY_WAIT: Ms = 100.0;

pub struct RelayConnection {
    link: Link,
    /// Where the relay is: holds from the next connection on.
    pub relay: SocketAddr,
    turn: u64,
    pub backoff: Backoff,
}

impl RelayConnection {
    pub fn new(link: Link, relay: SocketAddr) -> RelayConnection {
        RelayConnection {
            link,
            relay,
            turn: 0,
            backoff: Backoff::new(PAUSE, PAUSE_MOST),
        }
    }

    /// Whether something is of the connection that stands or is in the making, not of an earlier one.
    pub fn is(&self, turn: u64) -> bool {
        turn == self.turn
    }

    /// Connects anew; answers until when that may take.
    pub fn connect(&mut self, context: &mut StepContext) -> Ms {
        self.turn += 1;
        context.ask(Effect::Connect {
            link: self.link,
            turn: self.turn,
            to: self.relay,
        });
        context.now + CONNECT_WITHIN
    }

    pub fn turn(&self) -> u64 {
        self.turn
    }

    pub fn send(&self, context: &mut StepContext, text: String) {
        context.ask(Effect::Send {
            link: self.link,
            turn: self.turn,
            text,
        });
    }

    pub fn drop(&self, context: &mut StepContext) {
        self.drop_turn(context, self.turn);
    }

    /// Ends an earlier connection that was kept.
    pub fn drop_turn(&self, context: &mut StepContext, turn: u64) {
        context.ask(Effect::Drop {
            link: self.link,
            turn,
        });
    }
}
