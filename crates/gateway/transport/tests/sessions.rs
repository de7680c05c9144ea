//! Sessions on loopback, an address each: with keys and without, foreign ones, spoilt bytes, keys that change.

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use rushcourse_config::PeerKeys;
use rushcourse_messages::{Handshake, Message, NodeId, PROTOCOL_VERSION, Role, encode};
use rushcourse_transport::{Dialler, Office, Session, SessionEvent, listen};
use rushcourse_types::{Epoch, Incarnation};
use std::net::Ipv4Addr;
use std::path::Path;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// Nothing here takes longer; a test that waits for what does not come fails by this.
const MOST: Duration = Duration::from_secs(10);

struct Authority(Issuer<'static, KeyPair>, String);

fn authority() -> Authority {
    let mut params = CertificateParams::new(Vec::new()).expect("parameters");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let key = KeyPair::generate().expect("a key");
    let pem = params.self_signed(&key).expect("a certificate").pem();
    Authority(Issuer::new(params, key), pem)
}

impl Authority {
    /// A certificate for these names; whoever shows it trusts `trusted`.
    fn issue(&self, folder: &Path, file: &str, names: &[&str], trusted: &[&Authority]) -> PeerKeys {
        let names: Vec<String> = names.iter().map(|n| n.to_string()).collect();
        let key = KeyPair::generate().expect("a key");
        let params = CertificateParams::new(names).expect("parameters");
        let certificate = params
            .signed_by(&key, &self.0)
            .expect("a certificate")
            .pem();
        let write = |what: &str, text: String| {
            let path = folder.join(format!("{file}.{what}"));
            std::fs::write(&path, text).expect("a file");
            path.to_string_lossy().into_owned()
        };
        PeerKeys {
            certificate: write("cert", certificate),
            key: write("key", key.serialize_pem()),
            authority: write("ca", trusted.iter().map(|a| a.1.clone()).collect()),
        }
    }
}

/// A director: an address of loopback, its office and what happens on its sessions.
struct Director {
    at: Ipv4Addr,
    office: Office,
    events: UnboundedReceiver<SessionEvent>,
}

fn director(at: [u8; 4], role: Role) -> Director {
    let at = Ipv4Addr::from(at);
    let (tell, events) = unbounded_channel();
    let node = NodeId::from(at);
    let hello = Handshake {
        protocol_version: PROTOCOL_VERSION,
        role,
        node,
        incarnation: Incarnation(u64::from(node.0)),
        name: format!("director-{}", at.octets()[3]),
        zone: "north".into(),
    };
    Director {
        at,
        office: Office::new(hello, tell),
        events,
    }
}

impl Director {
    /// Takes sessions; at which port.
    async fn open(&self) -> u16 {
        let listener = TcpListener::bind((self.at, 0))
            .await
            .expect("an address of loopback");
        let port = listener.local_addr().expect("an address").port();
        tokio::task::spawn_local(listen(listener, 8, self.office.clone()));
        port
    }

    fn dial(&self, other: &Director, port: u16) {
        Dialler::new(self.office.clone(), port).dial(NodeId::from(other.at));
    }

    async fn next(&mut self) -> SessionEvent {
        tokio::time::timeout(MOST, self.events.recv())
            .await
            .expect("in time")
            .expect("events")
    }

    async fn up(&mut self) -> Session {
        match self.next().await {
            SessionEvent::Up(session) => session,
            _ => panic!("a session was to come up"),
        }
    }

    async fn said(&mut self) -> Message {
        match self.next().await {
            SessionEvent::Said(_, message) => message,
            SessionEvent::Up(_) => panic!("a second session"),
            SessionEvent::Down(_) => panic!("the session ended"),
        }
    }

    /// Waits until something was refused for this reason; nothing came up meanwhile.
    async fn refuses(&mut self, reason: &str) {
        let wait = async {
            while !self.office.refused().contains_key(reason) {
                tokio::task::yield_now().await;
            }
        };
        let met = tokio::time::timeout(MOST, wait).await;
        assert!(
            met.is_ok(),
            "{reason} was to be refused: {:?}",
            self.office.refused()
        );
        assert!(self.events.try_recv().is_err(), "no session came of it");
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

#[test]
fn without_keys_the_address_of_a_machine_is_its_name() {
    run(async {
        let mut core = director([127, 31, 0, 1], Role::Controller);
        let mut front = director([127, 31, 0, 11], Role::Gateway);
        let port = core.open().await;
        front.dial(&core, port);
        assert_eq!(core.up().await.peer.name, "director-11");
        let session = front.up().await;
        session.out.send(&Message::PrimarySelected(true));
        assert_eq!(core.said().await, Message::PrimarySelected(true));
        // Another machine that greets with that name's address is refused.
        let false_one = director([127, 31, 0, 12], Role::Gateway);
        let mut hello = false_one.office.me().clone();
        hello.node = front.office.me().node;
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind((false_one.at, 0).into()).expect("an address");
        let mut stream = socket
            .connect((core.at, port).into())
            .await
            .expect("a connection");
        let mut bytes = Vec::new();
        encode(&Message::Handshake(hello), &mut bytes).expect("a frame");
        stream.write_all(&bytes).await.expect("written");
        core.refuses("other machine").await;
    });
}

#[test]
fn spoilt_foreign_and_misplaced_messages_end_their_session_and_are_counted() {
    run(async {
        let mut core = director([127, 31, 1, 1], Role::Controller);
        let port = core.open().await;
        let front = director([127, 31, 1, 11], Role::Gateway);
        let mut greeting = Vec::new();
        encode(
            &Message::Handshake(front.office.me().clone()),
            &mut greeting,
        )
        .expect("a frame");
        let frame = |message: &Message| {
            let mut bytes = Vec::new();
            encode(message, &mut bytes).expect("a frame");
            bytes
        };
        let vote = Message::SnapshotRequest {
            epoch: Epoch(1),
            after: None,
        };
        let cases: [(&str, Vec<u8>); 4] = [
            ("unreadable", vec![0, 0, 0, 2, 0xff, 0xff]),
            ("too long", vec![0xff; 8]),
            ("not for this speaker", frame(&vote)),
            ("not for this speaker", greeting.clone()),
        ];
        for (count, (reason, bytes)) in cases.into_iter().enumerate() {
            let socket = TcpSocket::new_v4().expect("a socket");
            socket.bind((front.at, 0).into()).expect("an address");
            let mut stream = socket
                .connect((core.at, port).into())
                .await
                .expect("a connection");
            stream.write_all(&greeting).await.expect("written");
            let _ = core.up().await;
            stream.write_all(&bytes).await.expect("written");
            assert!(
                matches!(core.next().await, SessionEvent::Down(_)),
                "{reason}: nothing was handed on"
            );
            // The other side sees the end.
            let mut rest = Vec::new();
            let _ = tokio::time::timeout(MOST, stream.read_to_end(&mut rest))
                .await
                .expect("an end");
            core.refuses(reason).await;
            assert_eq!(
                core.office.refused().values().sum::<u64>(),
                count as u64 + 1
            );
        }
        // Who says something else than a greeting first makes no session.
        let mut stream = tokio::net::TcpStream::connect((core.at, port))
            .await
            .expect("a connection");
        stream
            .write_all(&frame(&Message::Ping))
            .await
            .expect("written");
        core.refuses("no greeting").await;
    });
}

#[test]
fn with_keys_only_machines_that_the_authority_names_come_in() {
    let folder = tempfile::tempdir().expect("a folder");
    let (ours, theirs) = (authority(), authority());
    let keys = |by: &Authority, file: &str, names: &[&str], trusted: &[&Authority]| {
        by.issue(folder.path(), file, names, trusted)
    };
    run(async {
        let mut core = director([127, 31, 2, 1], Role::Controller);
        core.office
            .set_keys(Some(&keys(
                &ours,
                "core",
                &["127.31.2.1", "controller"],
                &[&ours],
            )))
            .expect("keys");
        let port = core.open().await;

        let mut front = director([127, 31, 2, 11], Role::Gateway);
        front
            .office
            .set_keys(Some(&keys(&ours, "front", &["127.31.2.11"], &[&ours])))
            .expect("keys");
        front.dial(&core, port);
        assert_eq!(core.up().await.peer.role, Role::Gateway);
        let session = front.up().await;
        session.out.send(&Message::PrimarySelected(true));
        assert_eq!(core.said().await, Message::PrimarySelected(true));

        // Without keys: its greeting is no certificate.
        director([127, 31, 2, 12], Role::Gateway).dial(&core, port);
        core.refuses("bad certificate").await;
        // A certificate of another machine.
        let other = director([127, 31, 2, 13], Role::Gateway);
        other
            .office
            .set_keys(Some(&keys(&ours, "other", &["127.31.2.99"], &[&ours])))
            .expect("keys");
        other.dial(&core, port);
        core.refuses("other machine").await;
        // A frontend machine that would vote.
        let false_core = director([127, 31, 2, 14], Role::Controller);
        false_core
            .office
            .set_keys(Some(&keys(&ours, "false", &["127.31.2.14"], &[&ours])))
            .expect("keys");
        false_core.dial(&core, port);
        core.refuses("role not certified").await;
        // Who dials looks as well: a listener of another cluster is refused.
        let mut stranger = director([127, 31, 2, 15], Role::Controller);
        stranger
            .office
            .set_keys(Some(&keys(
                &theirs,
                "theirs",
                &["127.31.2.15", "controller"],
                &[&theirs],
            )))
            .expect("keys");
        let strange = stranger.open().await;
        front.dial(&stranger, strange);
        front.refuses("bad certificate").await;
        assert!(stranger.events.try_recv().is_err());
    });
}

/// First all trust both authorities, then each shows a certificate of the new one, then the old one goes. Sessions that
/// stand go on through all of it; files that can't be used change nothing.
#[test]
fn keys_are_exchanged_in_service_without_a_lost_session() {
    let folder = tempfile::tempdir().expect("a folder");
    let (old, new) = (authority(), authority());
    run(async {
        let mut core = director([127, 31, 3, 1], Role::Controller);
        let mut front = director([127, 31, 3, 11], Role::Gateway);
        let names = [&["127.31.3.1", "controller"][..], &["127.31.3.11"][..]];
        let set = |director: &Director, k: usize, by: &Authority, trusted: &[&Authority]| {
            let keys = by.issue(folder.path(), &format!("{k}"), names[k], trusted);
            director.office.set_keys(Some(&keys)).expect("keys");
            keys
        };
        set(&core, 0, &old, &[&old]);
        set(&front, 1, &old, &[&old]);
        let port = core.open().await;
        front.dial(&core, port);
        let (_, session) = (core.up().await, front.up().await);
        let steps: [(&Authority, &[&Authority]); 3] = [
            (&old, &[&old, &new]),
            (&new, &[&old, &new]),
            (&new, &[&new]),
        ];
        for (by, trusted) in steps {
            set(&core, 0, by, trusted);
            // One machine after the other: between the two, new sessions are made all the same.
            front.dial(&core, port);
            let (_, second) = (core.up().await, front.up().await);
            second.out.close();
            assert!(matches!(front.next().await, SessionEvent::Down(_)));
            assert!(matches!(core.next().await, SessionEvent::Down(_)));
            let keys = set(&front, 1, by, trusted);
            let broken = PeerKeys {
                key: keys.certificate.clone(),
                ..keys
            };
            let why = front
                .office
                .set_keys(Some(&broken))
                .expect_err("no key in it");
            assert!(why.contains("1.cert"), "the file is named: {why}");
            session.out.send(&Message::PrimarySelected(true));
            assert_eq!(
                core.said().await,
                Message::PrimarySelected(true),
                "the first session goes on"
            );
        }
        assert!(core.office.refused().is_empty() && front.office.refused().is_empty());
    });
}
