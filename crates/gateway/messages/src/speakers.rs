//! Who may speak on internal ports, and who may say what: decided here alone, before anything is handed on. What is
//! refused is refused whole, with its session: bytes behind it can't be trusted either.

use crate::identity::{ClaimId, NodeId};
use crate::messages::{FORM, Hello, Message, Role};
use std::fmt;
use std::net::Ipv4Addr;

/// Letters of a director's name and zone at most (ours).
const WORD_MOST: usize = 128;

/// Why a session or a message is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Foreign {
    /// It speaks another form of the messages.
    Form(u32),
    /// A name or zone that is none: empty, too long, or with blanks that would break a line of the log.
    Word,
    /// It greets as another machine than the one that its address, or its certificate, is of.
    Machine { says: NodeId, is: NodeId },
    /// This process itself.
    Itself,
    /// Its certificate does not let it speak as what it greets as.
    Role,
    /// Such a message does not come from such a director to this one.
    Speaker,
    /// It speaks for a claim of another life than its own.
    Claimant,
}

impl Foreign {
    /// A word for counts and the log.
    pub fn reason(&self) -> &'static str {
        match self {
            Foreign::Form(_) => "other form",
            Foreign::Word => "bad name",
            Foreign::Machine { .. } => "other machine",
            Foreign::Itself => "itself",
            Foreign::Role => "role not certified",
            Foreign::Speaker => "not for this speaker",
            Foreign::Claimant => "claim of another",
        }
    }
}

impl fmt::Display for Foreign {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Foreign::Form(form) => write!(f, "speaks form {form}, not {FORM}"),
            Foreign::Machine { says, is } => {
                write!(
                    f,
                    "greets as {}, but is {}",
                    Ipv4Addr::from(*says),
                    Ipv4Addr::from(*is)
                )
            }
            other => write!(f, "{}", other.reason()),
        }
    }
}

/// What is known of the other side of a connection beside its own words.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shown {
    /// The machine that its address is of.
    pub address: NodeId,
    /// Where it showed a certificate: whether that is of that machine, and whether it may speak as a core director.
    pub certified: Option<(bool, bool)>,
}

/// Whether a greeting is of this cluster and of the machine that it names.
///
/// # Errors
/// Why it is not.
pub fn greeting(me: &Hello, shown: Shown, hello: &Hello) -> Result<(), Foreign> {
    let word = |w: &str| {
        let bad = |c: char| c.is_whitespace() || c.is_control() || c == '=' || c == '"';
        w.is_empty() || w.len() > WORD_MOST || w.contains(bad)
    };
    let of_machine = shown.certified.is_none_or(|c| c.0);
    let as_core = shown.certified.is_none_or(|c| c.1);
    if hello.form != FORM {
        Err(Foreign::Form(hello.form))
    } else if word(&hello.name) || word(&hello.zone) {
        Err(Foreign::Word)
    } else if hello.node != shown.address || !of_machine {
        Err(Foreign::Machine {
            says: hello.node,
            is: shown.address,
        })
    } else if hello.life == me.life {
        Err(Foreign::Itself)
    } else if hello.role == Role::Controller && !as_core {
        Err(Foreign::Role)
    } else {
        Ok(())
    }
}

/// Whether a director that greeted so may say this to one of that role.
///
/// # Errors
/// Why not.
pub fn message(from: &Hello, to: Role, message: &Message) -> Result<(), Foreign> {
    use Role::{Controller, Gateway};
    let own = |claim: &ClaimId| claim.node == from.node && claim.life == from.life;
    match (from.role, to, message) {
        (_, _, Message::Ping) => Ok(()),
        (
            Controller,
            Controller,
            Message::Cores(_)
            | Message::Sessions(_)
            | Message::Hosts(_)
            | Message::Beats(_)
            | Message::HostDigest(_)
            | Message::HostRanges(_)
            | Message::Set(_)
            | Message::Held { .. }
            | Message::Prepare { .. }
            | Message::Promise { .. }
            | Message::Accept { .. }
            | Message::Refuse { .. }
            | Message::AskHeld { .. }
            | Message::TellHeld { .. }
            | Message::AskLesson { .. }
            | Message::Lesson(_)
            | Message::Learn { .. }
            | Message::Learned { .. }
            | Message::Leaving
            | Message::Standing { .. },
        ) => Ok(()),
        (
            Controller,
            Gateway,
            Message::Cores(_)
            | Message::Set(_)
            | Message::Standing { .. }
            | Message::InForce { .. }
            | Message::NewVersion { .. }
            | Message::Vote { .. }
            | Message::Out(_)
            | Message::Table { .. }
            | Message::Lines { .. },
        ) => Ok(()),
        // A claim is made and taken back by the life that makes it: another's withdrawal would free a key that is sent.
        (Gateway, Controller, Message::Claim { claim, .. } | Message::Withdraw { claim, .. }) => {
            if own(claim) {
                Ok(())
            } else {
                Err(Foreign::Claimant)
            }
        }
        (
            Gateway,
            Controller,
            Message::Home(_)
            | Message::Applied { .. }
            | Message::Usage { .. }
            | Message::AskVersion { .. },
        ) => Ok(()),
        (Gateway, Gateway, Message::AskKey { .. } | Message::TellKey { .. }) => Ok(()),
        _ => Err(Foreign::Speaker),
    }
}
