//! The command line. `rushctl --help` prints the doc comments of structs, fields and variants, of the latter two the
//! first line.

use gumdrop::Options;

/// rushctl: looks at and changes a gateway through the control addresses of its controllers.
#[derive(Options)]
pub(crate) struct Arguments {
    /// print this help
    pub(crate) help: bool,
    /// control addresses, with commas between them
    #[options(meta = "ADDR,...", default = "127.0.0.1:8544")]
    pub(crate) at: String,
    /// print JSON as it came
    pub(crate) json: bool,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

#[derive(Options)]
pub(crate) enum Command {
    /// put a configuration: put FILE
    Put(Operands),
    /// print the newest configuration
    Get(NoArguments),
    /// check a configuration: file and place of what is wrong
    Check(Operands),
    /// check a settings file: line and field of what is wrong
    CheckSettings(Operands),
    /// what differs between two configurations, or the committed one and a file: diff [OLD] NEW
    Diff(Operands),
    /// one line for each controller: epoch, votes, versions, claims, sessions
    Status(NoArguments),
    /// hosts with state and age, as one controller sees them
    Hosts(NoArguments),
    /// endpoint tables that gateways are bound to, by controller
    Tables(NoArguments),
    /// gateways: which controllers they are in session with, and which is primary
    Members(NoArguments),
    /// the voting set: who is reached, has complete state, votes, and what it holds
    Voters(NoArguments),
    /// state files of controllers: size, syncs, refusals, a write that stalls
    Disks(NoArguments),
    /// who holds an operation key: key KEY
    Key(Operands),
    /// which requests are shed first at each service of a configuration: order FILE
    Order(Operands),
    /// make keys for sessions between nodes: make-keys FOLDER SETTINGS...
    MakeKeys(Operands),
    /// make settings files for a small gateway on loopback: make-settings FOLDER
    MakeSettings(Operands),
    /// print the manual
    Manual(NoArguments),
}

// Of a command that takes no arguments.
#[derive(Options)]
pub(crate) struct NoArguments {
    /// print this help
    pub(crate) help: bool,
}

// Of a command that takes files, a folder or a key.
#[derive(Options)]
pub(crate) struct Operands {
    /// print this help
    pub(crate) help: bool,
    #[options(free)]
    pub(crate) files: Vec<String>,
}
