//! The manual.

/// What `rushctl manual` prints.
pub(crate) const MANUAL: &str = "\
NAME
    rushctl - looks at and changes a gateway through the control addresses of its controllers

SYNOPSIS
    rushctl [--at ADDR,...] [--json] COMMAND [ARGUMENTS]

DESCRIPTION
    Controllers are asked one after the other until one answers clearly; status, members, voters, disks and key ask each.
    --at takes the control addresses, with commas between them. --json prints pages as they came, a line each.

CONFIGURATIONS
    check FILE          file, row and field of what is wrong; asks nobody
    diff [OLD] NEW      what differs, a line each; without OLD, from the committed configuration
    put FILE            puts it, and says who acknowledged it: a majority of disks holds it then.
                        Ends with 1 if another text is committed under its version
    order FILE          which requests are shed first at each service, as docs/giving-way.md has it; asks nobody
    get                 prints the newest one that was acknowledged

LOOKING
    status              a line for each controller: epoch, votes, versions, claims, sessions, refused sessions
    members             gateways, with the controllers that each is in session with, and its primary one
    voters              the voting set: reached, complete state, votes, version held; tells where controllers differ
    disks               state files: bytes, syncs, refusals, how long the last, the longest and a stalled write take
    hosts, tables       as one controller sees and orders them
    key KEY             who holds an operation key, since when, at each controller

SETTINGS AND KEYS
    check-settings FILE         line and field of what is wrong
    make-settings FOLDER        a small gateway on loopback
    make-keys FOLDER FILE...    an authority, unless the folder has one, and a certificate for each machine whose
                                settings file this is; prints the lines that belong into it

EXIT CODES
    0  done: acknowledged, or valid
    1  rejected, or something is wrong with a file or the command line
    2  no controller answered clearly: the same call may be made again

EXAMPLES
    rushctl --at 10.1.0.36:8544,10.2.0.36:8544 diff new.json && rushctl --at 10.1.0.36:8544 put new.json
    rushctl make-keys /etc/rushcourse/keys /etc/rushcourse/*.conf
";
