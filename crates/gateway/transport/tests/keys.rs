//! Sessions over TLS on loopback: which certificates are accepted, and key rotation without interruption.

mod common;

use common::authority::Authority;
use common::node::Node;
use common::run;
use rushcourse_config::PeerKeyFiles;
use rushcourse_messages::{Message, Role};
use rushcourse_transport::Session;
use tempfile::TempDir;

fn temp_directory() -> TempDir {
    tempfile::tempdir().expect("create a temporary directory")
}

/// Starts a listening controller with a certificate for its address and the controller name.
async fn controller_with_keys(
    directory: &TempDir,
    authority: &Authority,
    subnet: u8,
) -> (Node, u16) {
    let node = Node::controller([127, 31, subnet, 1]);
    let names = [&*format!("127.31.{subnet}.1"), "controller"];
    let keys = authority.issue(directory.path(), "controller", &names, &[authority]);
    node.context.set_keys(Some(&keys)).expect("usable keys");
    let port = node.listen().await;
    (node, port)
}

/// Creates a node with a certificate for `certified_name`, which need not match its address.
fn node_with_keys(
    directory: &TempDir,
    authority: &Authority,
    address: [u8; 4],
    role: Role,
    certified_name: &str,
) -> Node {
    let node = Node::new(address, role);
    let file = format!("node-{}", address[3]);
    let keys = authority.issue(directory.path(), &file, &[certified_name], &[authority]);
    node.context.set_keys(Some(&keys)).expect("usable keys");
    node
}

#[test]
fn certified_machine_opens_session() {
    let (directory, authority) = (temp_directory(), Authority::new());
    run(async {
        let (mut controller, port) = controller_with_keys(&directory, &authority, 2).await;
        let address = [127, 31, 2, 11];
        let mut gateway = node_with_keys(
            &directory,
            &authority,
            address,
            Role::Gateway,
            "127.31.2.11",
        );

        gateway.dial(&controller, port);
        assert_eq!(controller.expect_opened().await.peer.role, Role::Gateway);
        let session = gateway.expect_opened().await;
        session.send(&Message::PrimarySelected(true));
        assert_eq!(
            controller.expect_message().await,
            Message::PrimarySelected(true)
        );
    });
}

#[test]
fn uncertified_machine_or_role_is_rejected() {
    let (directory, authority) = (temp_directory(), Authority::new());
    run(async {
        let (mut controller, port) = controller_with_keys(&directory, &authority, 5).await;

        // The peer has no keys and sends a plain-text handshake.
        Node::gateway([127, 31, 5, 12]).dial(&controller, port);
        controller.expect_rejection("bad certificate").await;

        let address = [127, 31, 5, 13];
        let wrong_machine = node_with_keys(
            &directory,
            &authority,
            address,
            Role::Gateway,
            "127.31.5.99",
        );
        wrong_machine.dial(&controller, port);
        controller.expect_rejection("other machine").await;

        // The certificate lacks the controller name.
        let address = [127, 31, 5, 14];
        let uncertified_controller = node_with_keys(
            &directory,
            &authority,
            address,
            Role::Controller,
            "127.31.5.14",
        );
        uncertified_controller.dial(&controller, port);
        controller.expect_rejection("role not certified").await;
    });
}

#[test]
fn dialer_rejects_listener_of_untrusted_authority() {
    let (directory, trusted, untrusted) = (temp_directory(), Authority::new(), Authority::new());
    run(async {
        let address = [127, 31, 6, 11];
        let mut gateway =
            node_with_keys(&directory, &trusted, address, Role::Gateway, "127.31.6.11");
        let (mut controller, port) = controller_with_keys(&directory, &untrusted, 6).await;

        gateway.dial(&controller, port);
        gateway.expect_rejection("bad certificate").await;
        assert!(controller.events.try_recv().is_err());
    });
}

/// A node whose keys are replaced while it runs.
struct RotatingNode<'a> {
    node: Node,
    names: &'a [&'a str],
    directory: &'a TempDir,
    file: &'a str,
}

impl RotatingNode<'_> {
    /// Installs a new certificate signed by `issuer`, with the authorities in `trusted`.
    fn set_keys(&self, issuer: &Authority, trusted: &[&Authority]) -> PeerKeyFiles {
        let keys = issuer.issue(self.directory.path(), self.file, self.names, trusted);
        self.node
            .context
            .set_keys(Some(&keys))
            .expect("usable keys");
        keys
    }

    /// Asserts that a key file without a key is rejected with an error that names the file.
    fn set_unusable_keys(&self, keys: PeerKeyFiles) {
        let unusable = PeerKeyFiles {
            key: keys.certificate.clone(),
            ..keys
        };
        let error = self
            .node
            .context
            .set_keys(Some(&unusable))
            .expect_err("a file without a key");
        let text = error.to_string();
        let file = format!("{}.cert", self.file);
        assert!(text.contains(&file), "the file is named: {text}");
    }
}

/// A controller and a gateway with an open session between them.
struct ConnectedPair<'a> {
    controller: RotatingNode<'a>,
    gateway: RotatingNode<'a>,
    port: u16,
    session: Session,
}

impl ConnectedPair<'_> {
    async fn start<'a>(directory: &'a TempDir, authority: &Authority) -> ConnectedPair<'a> {
        let mut controller = RotatingNode {
            node: Node::controller([127, 31, 3, 1]),
            names: &["127.31.3.1", "controller"],
            directory,
            file: "0",
        };
        let mut gateway = RotatingNode {
            node: Node::gateway([127, 31, 3, 11]),
            names: &["127.31.3.11"],
            directory,
            file: "1",
        };
        controller.set_keys(authority, &[authority]);
        gateway.set_keys(authority, &[authority]);
        let port = controller.node.listen().await;
        gateway.node.dial(&controller.node, port);
        controller.node.expect_opened().await;
        let session = gateway.node.expect_opened().await;
        ConnectedPair {
            controller,
            gateway,
            port,
            session,
        }
    }

    /// Opens a second session with the current keys, and closes it.
    async fn open_and_close_second_session(&mut self) {
        let (controller, gateway) = (&mut self.controller.node, &mut self.gateway.node);
        gateway.dial(controller, self.port);
        controller.expect_opened().await;
        let second = gateway.expect_opened().await;
        second.close();
        gateway.expect_closed("the second session is closed").await;
        controller
            .expect_closed("the second session is closed")
            .await;
    }

    async fn assert_first_session_is_open(&mut self) {
        self.session.send(&Message::PrimarySelected(true));
        assert_eq!(
            self.controller.node.expect_message().await,
            Message::PrimarySelected(true),
            "the first session is still open"
        );
    }
}

/// Key rotation in three steps: trust both authorities, switch to certificates of the new one, then drop the old one.
/// Open sessions must survive each step, and unusable files must not replace the current keys.
#[test]
fn key_rotation_keeps_open_sessions() {
    let (directory, old, new) = (temp_directory(), Authority::new(), Authority::new());
    run(async {
        let mut pair = ConnectedPair::start(&directory, &old).await;
        let steps: [(&Authority, &[&Authority]); 3] = [
            (&old, &[&old, &new]),
            (&new, &[&old, &new]),
            (&new, &[&new]),
        ];
        for (issuer, trusted) in steps {
            pair.controller.set_keys(issuer, trusted);
            // Nodes are updated one after the other, so new sessions must also work while their keys differ.
            pair.open_and_close_second_session().await;
            let keys = pair.gateway.set_keys(issuer, trusted);
            pair.gateway.set_unusable_keys(keys);
            pair.assert_first_session_is_open().await;
        }
        assert!(pair.controller.node.context.rejections().is_empty());
        assert!(pair.gateway.node.context.rejections().is_empty());
    });
}
