//! Sessions on loopback with keys: who is let in, and how keys change in service.

mod common;

use common::authority::Authority;
use common::node::Node;
use common::run;
use rushcourse_config::PeerKeys;
use rushcourse_messages::{Message, Role};
use rushcourse_transport::Session;
use tempfile::TempDir;

fn folder() -> TempDir {
    tempfile::tempdir().expect("a folder")
}

/// A controller that listens, with a certificate of its machine and its role.
async fn controller_with_keys(folder: &TempDir, authority: &Authority, net: u8) -> (Node, u16) {
    let node = Node::controller([127, 31, net, 1]);
    let names = [&*format!("127.31.{net}.1"), "controller"];
    let keys = authority.issue(folder.path(), "controller", &names, &[authority]);
    node.context.set_keys(Some(&keys)).expect("keys");
    let port = node.listen().await;
    (node, port)
}

/// A node with a certificate of `named`, which may be another machine than its own.
fn node_with_keys(
    folder: &TempDir,
    authority: &Authority,
    address: [u8; 4],
    role: Role,
    named: &str,
) -> Node {
    let node = Node::new(address, role);
    let file = format!("node-{}", address[3]);
    let keys = authority.issue(folder.path(), &file, &[named], &[authority]);
    node.context.set_keys(Some(&keys)).expect("keys");
    node
}

#[test]
fn a_machine_that_the_authority_names_opens_a_session() {
    let (folder, authority) = (folder(), Authority::new());
    run(async {
        let (mut controller, port) = controller_with_keys(&folder, &authority, 2).await;
        let address = [127, 31, 2, 11];
        let mut gateway =
            node_with_keys(&folder, &authority, address, Role::Gateway, "127.31.2.11");

        gateway.dial(&controller, port);
        assert_eq!(controller.opened().await.peer.role, Role::Gateway);
        let session = gateway.opened().await;
        session.send(&Message::PrimarySelected(true));
        assert_eq!(controller.received().await, Message::PrimarySelected(true));
    });
}

#[test]
fn a_machine_that_the_authority_does_not_name_opens_no_session() {
    let (folder, authority) = (folder(), Authority::new());
    run(async {
        let (mut controller, port) = controller_with_keys(&folder, &authority, 5).await;

        // Without keys: its handshake is no certificate.
        Node::gateway([127, 31, 5, 12]).dial(&controller, port);
        controller.rejects("bad certificate").await;

        let address = [127, 31, 5, 13];
        let of_another_machine =
            node_with_keys(&folder, &authority, address, Role::Gateway, "127.31.5.99");
        of_another_machine.dial(&controller, port);
        controller.rejects("other machine").await;

        // A gateway's machine that would vote.
        let address = [127, 31, 5, 14];
        let not_certified = node_with_keys(
            &folder,
            &authority,
            address,
            Role::Controller,
            "127.31.5.14",
        );
        not_certified.dial(&controller, port);
        controller.rejects("role not certified").await;
    });
}

#[test]
fn who_dials_rejects_a_listener_of_another_cluster() {
    let (folder, ours, theirs) = (folder(), Authority::new(), Authority::new());
    run(async {
        let address = [127, 31, 6, 11];
        let mut gateway = node_with_keys(&folder, &ours, address, Role::Gateway, "127.31.6.11");
        let (mut stranger, port) = controller_with_keys(&folder, &theirs, 6).await;

        gateway.dial(&stranger, port);
        gateway.rejects("bad certificate").await;
        assert!(stranger.events.try_recv().is_err());
    });
}

/// A node whose certificates are exchanged in service.
struct Rotating<'a> {
    node: Node,
    names: &'a [&'a str],
    folder: &'a TempDir,
    file: &'a str,
}

impl Rotating<'_> {
    /// Shows a certificate by one authority from now on, and trusts those of `trusted`.
    fn set_keys(&self, by: &Authority, trusted: &[&Authority]) -> PeerKeys {
        let keys = by.issue(self.folder.path(), self.file, self.names, trusted);
        self.node.context.set_keys(Some(&keys)).expect("keys");
        keys
    }

    /// Keys of which one file holds none change nothing.
    fn set_unusable_keys(&self, keys: PeerKeys) {
        let unusable = PeerKeys {
            key: keys.certificate.clone(),
            ..keys
        };
        let error = self
            .node
            .context
            .set_keys(Some(&unusable))
            .expect_err("no key in it");
        let text = error.to_string();
        let file = format!("{}.cert", self.file);
        assert!(text.contains(&file), "the file is named: {text}");
    }
}

/// A controller and a gateway that trust one authority, and a session between them.
struct Pair<'a> {
    controller: Rotating<'a>,
    gateway: Rotating<'a>,
    port: u16,
    session: Session,
}

impl Pair<'_> {
    async fn start<'a>(folder: &'a TempDir, authority: &Authority) -> Pair<'a> {
        let mut controller = Rotating {
            node: Node::controller([127, 31, 3, 1]),
            names: &["127.31.3.1", "controller"],
            folder,
            file: "0",
        };
        let mut gateway = Rotating {
            node: Node::gateway([127, 31, 3, 11]),
            names: &["127.31.3.11"],
            folder,
            file: "1",
        };
        controller.set_keys(authority, &[authority]);
        gateway.set_keys(authority, &[authority]);
        let port = controller.node.listen().await;
        gateway.node.dial(&controller.node, port);
        controller.node.opened().await;
        let session = gateway.node.opened().await;
        Pair {
            controller,
            gateway,
            port,
            session,
        }
    }

    /// A new session is made, and ends.
    async fn open_and_close_another_session(&mut self) {
        let (controller, gateway) = (&mut self.controller.node, &mut self.gateway.node);
        gateway.dial(controller, self.port);
        controller.opened().await;
        let second = gateway.opened().await;
        second.close();
        gateway.closed("the second session ends").await;
        controller.closed("the second session ends").await;
    }

    async fn first_session_goes_on(&mut self) {
        self.session.send(&Message::PrimarySelected(true));
        assert_eq!(
            self.controller.node.received().await,
            Message::PrimarySelected(true),
            "the first session goes on"
        );
    }
}

/// First all trust both authorities, then each shows a certificate of the new one, then the old one goes. Open sessions
/// go on through all of it; files that can't be used change nothing.
#[test]
fn keys_are_exchanged_in_service_without_a_lost_session() {
    let (folder, old, new) = (folder(), Authority::new(), Authority::new());
    run(async {
        let mut pair = Pair::start(&folder, &old).await;
        let steps: [(&Authority, &[&Authority]); 3] = [
            (&old, &[&old, &new]),
            (&new, &[&old, &new]),
            (&new, &[&new]),
        ];
        for (by, trusted) in steps {
            pair.controller.set_keys(by, trusted);
            // One machine after the other: between the two, new sessions are made all the same.
            pair.open_and_close_another_session().await;
            let keys = pair.gateway.set_keys(by, trusted);
            pair.gateway.set_unusable_keys(keys);
            pair.first_session_goes_on().await;
        }
        assert!(pair.controller.node.context.rejections().is_empty());
        assert!(pair.gateway.node.context.rejections().is_empty());
    });
}
