//! Command-line arguments. `rushctl --help` prints the doc comments of structs in full, and the first line of the doc
//! comments of fields and variants.

use gumdrop::Options;

/// rushctl: inspects and configures a gateway through the control addresses of its controllers.
#[derive(Options)]
pub(crate) struct Arguments {
    /// print this help
    pub(crate) help: bool,
    /// comma-separated control addresses of controllers
    #[options(meta = "ADDR,...", default = "127.0.0.1:8544")]
    pub(crate) at: String,
    /// print the JSON of the controllers unchanged
    pub(crate) json: bool,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

#[derive(Options)]
pub(crate) enum Command {
    /// upload a configuration: put FILE
    Put(Operands),
    /// print the newest committed configuration
    Get(NoArguments),
    /// validate a configuration file: check FILE
    Check(Operands),
    /// validate a settings file: check-settings FILE
    CheckSettings(Operands),
    /// compare two configuration files, or the committed configuration with a file: diff [OLD] NEW
    Diff(Operands),
    /// status of each controller: epoch, votes, versions, claims, sessions
    Status(NoArguments),
    /// hosts with state and age, from the first controller that responds
    Hosts(NoArguments),
    /// endpoint tables and the gateways bound to them, from the first controller that responds
    Tables(NoArguments),
    /// gateways with their controller sessions and primary controller
    Members(NoArguments),
    /// voting set of each controller: reached members, complete state, votes, version held
    Voters(NoArguments),
    /// state files of controllers: size, syncs, refused writes, stalled writes
    Disks(NoArguments),
    /// usage duty: holder, fence, settled and undelivered reports, at each controller
    Duty(NoArguments),
    /// show which claim holds an operation key: key KEY [TENANT]
    Key(Operands),
    /// show the order in which each service sheds requests: order FILE
    Order(Operands),
    /// create certificates and keys for TLS between nodes: make-keys FOLDER SETTINGS...
    MakeKeys(Operands),
    /// create settings files of an example gateway on loopback: make-settings FOLDER
    MakeSettings(Operands),
    /// print the manual
    Manual(NoArguments),
}

// Arguments of commands without operands. A doc comment here would be printed by `--help`.
#[derive(Options)]
pub(crate) struct NoArguments {
    /// print this help
    pub(crate) help: bool,
}

// Arguments of commands with operands. A doc comment here would be printed by `--help`.
#[derive(Options)]
pub(crate) struct Operands {
    /// print this help
    pub(crate) help: bool,
    #[options(free)]
    pub(crate) files: Vec<String>,
}
