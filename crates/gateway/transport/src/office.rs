//! What every session of a process starts from: who this is, its keys, and the count of what was refused.

use crate::outbox::SessionEvent;
use crate::tally::Tally;
use rushcourse_config::{CORE_NAME, EARLIER_CORE_NAME, PeerKeys};
use rushcourse_messages::{CertifiedIdentity, Handshake, PeerRejection, PresentedIdentity};
use rushcourse_tls::Files;
use rushcourse_types::NodeId;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_rustls::rustls::pki_types::ServerName;
use tokio_rustls::{TlsAcceptor, TlsConnector, TlsStream};

/// Why a session ended, or never began. `refused`: the reason that it is counted by, where this side refused it.
#[derive(Debug)]
pub struct Ended {
    pub refused: Option<&'static str>,
    pub why: String,
}

impl From<io::Error> for Ended {
    fn from(e: io::Error) -> Ended {
        Ended {
            refused: None,
            why: e.to_string(),
        }
    }
}

impl From<PeerRejection> for Ended {
    fn from(foreign: PeerRejection) -> Ended {
        Ended {
            refused: Some(foreign.reason()),
            why: foreign.to_string(),
        }
    }
}

impl Ended {
    pub fn refused(reason: &'static str, why: String) -> Ended {
        Ended {
            refused: Some(reason),
            why,
        }
    }
}

struct Inside {
    me: Handshake,
    keys: RefCell<Option<(TlsAcceptor, TlsConnector)>>,
    refused: RefCell<Tally>,
    next: Cell<u64>,
}

/// One for a process; a clone is the same.
#[derive(Clone)]
pub struct Office {
    inside: Rc<Inside>,
    events: mpsc::UnboundedSender<SessionEvent>,
}

impl Office {
    /// All sessions' events go into one queue.
    pub fn new(me: Handshake, events: mpsc::UnboundedSender<SessionEvent>) -> Office {
        let (keys, next) = (RefCell::default(), Cell::new(0));
        let inside = Inside {
            me,
            keys,
            refused: RefCell::new(Tally::new("refused")),
            next,
        };
        Office {
            inside: Rc::new(inside),
            events,
        }
    }

    pub fn me(&self) -> &Handshake {
        &self.inside.me
    }

    /// New sessions are made with these keys from now on; none: the addresses of machines count. Sessions that stand
    /// go on.
    ///
    /// # Errors
    /// The file that can't be used, and why; the keys stay as they were.
    pub fn set_keys(&self, keys: Option<&PeerKeys>) -> Result<(), String> {
        let files = |k: &PeerKeys| Files {
            cert: k.certificate.clone().into(),
            key: k.key.clone().into(),
            ca: Some(k.authority.clone().into()),
        };
        let made = match keys.map(files) {
            None => None,
            Some(files) => Some((
                TlsAcceptor::from(files.server(&[])?),
                TlsConnector::from(files.client()?),
            )),
        };
        *self.inside.keys.borrow_mut() = made;
        Ok(())
    }

    pub(crate) fn secured(&self) -> bool {
        self.inside.keys.borrow().is_some()
    }

    /// Makes a connection private, and sees whose certificate the other side shows.
    pub(crate) async fn secure(
        &self,
        stream: TcpStream,
        address: Ipv4Addr,
        dialled: bool,
    ) -> Result<(TlsStream<TcpStream>, PresentedIdentity), Ended> {
        let keys = self.inside.keys.borrow().clone();
        let (acceptor, connector) = keys.ok_or_else(|| io::Error::other("no keys"))?;
        let name = ServerName::from(IpAddr::from(address));
        let made = match dialled {
            true => connector.connect(name, stream).await.map(TlsStream::from),
            false => acceptor.accept(stream).await.map(TlsStream::from),
        };
        let stream = made.map_err(|e| match e.kind() {
            io::ErrorKind::InvalidData => Ended::refused("bad certificate", e.to_string()),
            _ => Ended::from(e),
        })?;
        let shown = stream
            .get_ref()
            .1
            .peer_certificates()
            .and_then(|c| c.first());
        let certified = shown.map_or(
            CertifiedIdentity {
                names_machine: false,
                names_controller: false,
            },
            |c| {
                let (machine, controller) = rushcourse_tls::names(c, address, CORE_NAME);
                CertifiedIdentity {
                    names_machine: machine,
                    names_controller: controller
                        || rushcourse_tls::names(c, address, EARLIER_CORE_NAME).1,
                }
            },
        );
        Ok((
            stream,
            PresentedIdentity {
                address: NodeId(u32::from(address)),
                certificate: Some(certified),
            },
        ))
    }

    pub(crate) fn tell(&self, event: SessionEvent) {
        let _ = self.events.send(event);
    }

    /// A number for a session.
    pub(crate) fn number(&self) -> u64 {
        self.inside.next.set(self.inside.next.get() + 1);
        self.inside.next.get()
    }

    /// A session is over, or was none. What was refused is counted; the first of its reason in a while is told whole.
    pub(crate) fn ended(&self, with: &dyn std::fmt::Display, ended: &Ended) {
        match ended.refused {
            Some(reason) if self.inside.refused.borrow_mut().count(reason) => {
                log::warn!("event=peer_refused with={with} why={:?}", ended.why);
            }
            Some(_) => {}
            None => log::debug!("event=session_ended with={with} why={:?}", ended.why),
        }
    }

    /// A line for the log, once it is due: refusals by reason.
    pub fn due(&self, now: u64) -> Option<String> {
        self.inside.refused.borrow_mut().due(now)
    }

    /// Refusals since the start, by reason.
    pub fn refused(&self) -> BTreeMap<&'static str, u64> {
        self.inside.refused.borrow().totals().clone()
    }
}
