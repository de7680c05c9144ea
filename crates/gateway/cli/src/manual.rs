//! The manual of rushctl.

/// Text printed by `rushctl manual`.
pub(crate) const MANUAL: &str = "\
NAME
    rushctl - inspects and configures a gateway through the control addresses of its controllers

SYNOPSIS
    rushctl [--at ADDR,...] [--json] COMMAND [ARGUMENTS]

DESCRIPTION
    Controllers are tried in order until one responds; status, members, voters, disks, duty and key query all of them.
    --at takes comma-separated control addresses. --json prints the pages unchanged, one per line.

CONFIGURATIONS
    check FILE          validates a file and prints the row and field of the first error; runs offline
    diff [OLD] NEW      prints the differences, one per line; without OLD, from the committed configuration. API keys of
                        tenants are shown as the first digits of their SHA-256 digests
    put FILE            uploads a configuration and prints which controller acknowledged it; a majority of disks
                        has stored it then. Exits with 1 if a different text is committed under its version
    order FILE          prints the order in which each service sheds requests (docs/giving-way.md); runs offline
    get                 prints the newest acknowledged configuration

INSPECTION
    status              status of each controller: epoch, votes, versions, claims, sessions, refused sessions
    members             gateways with their controller sessions and primary controller
    voters              voting set of each controller: reached members, complete state, votes, version held;
                        reports if controllers differ
    disks               state files: bytes, syncs, refused writes, duration of the last, longest and stalled write
    duty                usage duty at each controller: holder, fence, last settled window, undelivered reports
    hosts, tables       hosts and endpoint tables, from the first controller that responds
    key KEY [TENANT]    the claim that holds an operation key, and its age, at each controller; where the configuration
                        has tenants, TENANT is the name of the client's, or \"\" if the client sent no API key

SETTINGS AND KEYS
    check-settings FILE         validates a settings file and prints the line and field of the first error
    make-settings FOLDER        writes the settings files of an example gateway on loopback
    make-keys FOLDER FILE...    creates an authority, unless the folder has one, and a certificate for the machine of
                                each settings file; prints the lines to add to each settings file

EXIT CODES
    0  success
    1  the request was rejected, or a file or the command line is invalid
    2  no controller gave a usable response; the command can be repeated

EXAMPLES
    rushctl --at 10.1.0.36:8544,10.2.0.36:8544 diff new.json && rushctl --at 10.1.0.36:8544 put new.json
    rushctl make-keys /etc/rushcourse/keys /etc/rushcourse/*.conf
";
