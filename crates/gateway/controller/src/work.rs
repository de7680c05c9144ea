//! What the owner works through, in the order in which it comes.

use rushcourse_messages::HostRecord;
use rushcourse_storage::WriteOutcome;
use rushcourse_types::{ConfigurationVersion, KeyDigest};
use std::sync::Arc;
use tokio::sync::oneshot;

/// A call of a host or an operator, checked, with the way to its answer.
pub enum Command {
    Register {
        news: HostRecord,
        reply: oneshot::Sender<Reply>,
    },
    SignOff {
        id: Arc<str>,
        reply: oneshot::Sender<Reply>,
    },
    Put {
        version: ConfigurationVersion,
        text: Arc<[u8]>,
        reply: oneshot::Sender<Reply>,
    },
    Get {
        reply: oneshot::Sender<Reply>,
    },
    Status {
        reply: oneshot::Sender<Reply>,
    },
    /// Who holds an operation key here.
    Key {
        key: KeyDigest,
        reply: oneshot::Sender<Reply>,
    },
}

/// What a call came to.
#[derive(Debug, PartialEq)]
pub enum Reply {
    Done,
    /// A configuration is acknowledged. `another`: under its number another text is in force, and nothing changed.
    Acknowledged {
        another: bool,
    },
    Text(Arc<[u8]>),
    Nothing,
    /// No majority in time: come back.
    Unclear,
    /// This director has no recent contact with a majority: nothing was acknowledged, another one may.
    NoContact,
}

pub enum Work {
    Command(Command),
    Disk(Vec<WriteOutcome>),
    /// The settings file may have changed.
    Reread,
}
