//! rushctl: the operators' command line. It asks the core directors one after the other until one answers clearly.
//! Ends with 0 when it is done, 1 when it was refused or something is wrong with a file, 2 when no director answered.

mod calls;
mod keys;
mod make;
mod show;

use gumdrop::Options;
use rushcourse_config::{Configuration, NodeSettings};

/// rushctl: looks at and changes a gateway through the control addresses of its core directors.
#[derive(Options)]
struct Line {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "control addresses, with commas between them",
        meta = "ADDR,...",
        default = "127.0.0.1:8544"
    )]
    at: String,
    #[options(help = "print JSON as it came")]
    json: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Options)]
enum Command {
    #[options(help = "put a configuration: put FILE")]
    Put(Named),
    #[options(help = "print the newest configuration")]
    Get(Plain),
    #[options(help = "check a configuration: file and place of what is wrong")]
    Check(Named),
    #[options(help = "check a settings file: line and field of what is wrong")]
    CheckSettings(Named),
    #[options(
        help = "what differs between two configurations, or the one in force and a file: diff [OLD] NEW"
    )]
    Diff(Named),
    #[options(help = "one line for each core director: set, votes, versions, claims, sessions")]
    Status(Plain),
    #[options(help = "hosts with state and age, as one core director sees them")]
    Hosts(Plain),
    #[options(help = "tables of hosts that frontend directors are bound to, by core director")]
    Tables(Plain),
    #[options(
        help = "frontend directors: which core directors they are in session with, and which is home"
    )]
    Members(Plain),
    #[options(help = "the voting set: who is reached, remembers, votes, and what it holds")]
    Voters(Plain),
    #[options(help = "state files of core directors: size, syncs, refusals, a write that stalls")]
    Disks(Plain),
    #[options(help = "who holds an operation key: key KEY")]
    Key(Named),
    #[options(help = "who gives way first at each service of a configuration: order FILE")]
    Order(Named),
    #[options(help = "make keys for sessions between directors: make-keys FOLDER SETTINGS...")]
    MakeKeys(Named),
    #[options(help = "make settings files for a small gateway on loopback: make-settings FOLDER")]
    MakeSettings(Named),
    #[options(help = "print the manual")]
    Manual(Plain),
}

#[derive(Options)]
struct Plain {
    #[options(help = "print this help")]
    help: bool,
}

#[derive(Options)]
struct Named {
    #[options(help = "print this help")]
    help: bool,
    #[options(free)]
    files: Vec<String>,
}

fn read(path: &str) -> Result<Vec<u8>, String> {
    std::fs::read(path).map_err(|e| format!("{path}: can't be read: {e}"))
}

/// What a command came to: its text, or why not and the exit code.
type Came = Result<String, (String, i32)>;

fn wrong(e: String) -> (String, i32) {
    (e, 1)
}

fn configuration(path: &str) -> Result<Configuration, (String, i32)> {
    let text = read(path).map_err(wrong)?;
    Configuration::parse(&text).map_err(|e| wrong(format!("{path}: {e}")))
}

/// Field of the answer to an order that changed nothing, as another text is in force under its number.
const ANOTHER_TEXT: &str = "another_text_in_force";

fn carry(line: &Line, command: &Command) -> Came {
    let at: Vec<String> = line
        .at
        .split(',')
        .map(|a| a.trim().to_string())
        .filter(|a| !a.is_empty())
        .collect();
    let file = |n: &Named, k: usize| {
        n.files
            .get(k)
            .cloned()
            .ok_or_else(|| wrong("a file must be named".into()))
    };
    match command {
        Command::Check(n) => {
            configuration(&file(n, 0)?).map(|c| format!("version {}: well\n", c.version))
        }
        Command::CheckSettings(n) => {
            let path = file(n, 0)?;
            let text = String::from_utf8(read(&path).map_err(wrong)?)
                .map_err(|e| wrong(format!("{path}: {e}")))?;
            NodeSettings::parse(&text)
                .map(|b| format!("{}: well\n", b.node.name))
                .map_err(|e| wrong(format!("{path}: {e}")))
        }
        Command::Diff(n) if n.files.len() == 1 => {
            let (who, body) = calls::until_clear(&at, "GET", "/-/configuration", Vec::new())?;
            let held =
                Configuration::parse(body.as_bytes()).map_err(|e| (format!("{who}: {e}"), 2))?;
            Ok(show::diff(&held, &configuration(&file(n, 0)?)?))
        }
        Command::Diff(n) => Ok(show::diff(
            &configuration(&file(n, 0)?)?,
            &configuration(&file(n, 1)?)?,
        )),
        Command::MakeKeys(n) if n.files.len() < 2 => {
            Err(wrong("a folder and settings files must be named".into()))
        }
        Command::MakeKeys(n) => keys::make(&n.files[0], &n.files[1..]).map_err(wrong),
        Command::Order(n) => Ok(show::order(&configuration(&file(n, 0)?)?)),
        Command::Manual(_) => Ok(MANUAL.into()),
        Command::Key(n) => {
            let path = format!("/-/keys/{}", escaped(&file(n, 0)?));
            let pages = calls::each(&at, &path);
            if line.json {
                Ok(show::raw(&pages))
            } else {
                show::key(&pages)
            }
        }
        Command::MakeSettings(n) => make::settings(&file(n, 0)?).map_err(wrong),
        Command::Put(n) => {
            let path = file(n, 0)?;
            let version = configuration(&path)?.version;
            let text = read(&path).map_err(wrong)?;
            let (who, body) = calls::until_clear(&at, "PUT", "/-/configuration", text)?;
            if body.contains(ANOTHER_TEXT) {
                return Err((
                    format!(
                        "version {version}: another text is in force, this one changed nothing"
                    ),
                    1,
                ));
            }
            if line.json {
                Ok(body)
            } else {
                Ok(format!("version {version} acknowledged by {who}\n"))
            }
        }
        Command::Get(_) => calls::until_clear(&at, "GET", "/-/configuration", Vec::new())
            .map(|(_, body)| body + "\n"),
        Command::Status(_) | Command::Members(_) | Command::Voters(_) | Command::Disks(_) => {
            let pages = calls::each(&at, "/-/status");
            match command {
                _ if line.json => Ok(show::raw(&pages)),
                Command::Members(_) => show::members(&pages),
                Command::Voters(_) => show::voters(&pages),
                Command::Disks(_) => show::disks(&pages),
                _ => show::status(&pages),
            }
        }
        Command::Hosts(_) | Command::Tables(_) => {
            let (who, body) = calls::until_clear(&at, "GET", "/-/status", Vec::new())?;
            match command {
                _ if line.json => Ok(body + "\n"),
                Command::Hosts(_) => show::hosts(&who, &body),
                _ => show::tables(&who, &body),
            }
        }
    }
}

/// A word as a part of a path.
fn escaped(word: &str) -> String {
    let plain = |b: &u8| b.is_ascii_alphanumeric() || b"-._~".contains(b);
    word.bytes()
        .map(|b| {
            if plain(&b) {
                char::from(b).to_string()
            } else {
                format!("%{b:02X}")
            }
        })
        .collect()
}

const MANUAL: &str = "\
NAME
    rushctl - looks at and changes a gateway through the control addresses of its core directors

SYNOPSIS
    rushctl [--at ADDR,...] [--json] COMMAND [ARGUMENTS]

DESCRIPTION
    Directors are asked one after the other until one answers clearly; status, members, voters, disks and key ask each.
    --at takes the control addresses, with commas between them. --json prints pages as they came, a line each.

CONFIGURATIONS
    check FILE          file, row and field of what is wrong; asks nobody
    diff [OLD] NEW      what differs, a line each; without OLD, from the configuration in force
    put FILE            puts it, and says who acknowledged it: a majority of disks holds it then.
                        Ends with 1 if another text is in force under its number
    order FILE          who gives way first at each service, as docs/giving-way.md has it; asks nobody
    get                 prints the newest one that was acknowledged

LOOKING
    status              a line for each core director: set, votes, versions, claims, sessions, refused sessions
    members             frontend directors, with the core directors that each is in session with, and its home
    voters              the voting set: reached, remembers, votes, version held; tells where directors differ
    disks               state files: bytes, syncs, refusals, how long the last, the longest and a stalled write take
    hosts, tables       as one core director sees and orders them
    key KEY             who holds an operation key, since when, at each director

SETTINGS AND KEYS
    check-settings FILE         line and field of what is wrong
    make-settings FOLDER        a small gateway on loopback
    make-keys FOLDER FILE...    an authority, unless the folder has one, and a certificate for each machine whose
                                settings file this is; prints the lines that belong into it

EXIT CODES
    0  done: acknowledged, or well
    1  refused, or something is wrong with a file or the command line
    2  no director answered clearly: the same call may be made again

EXAMPLES
    rushctl --at 10.1.0.36:8544,10.2.0.36:8544 diff new.json && rushctl --at 10.1.0.36:8544 put new.json
    rushctl make-keys /etc/rushcourse/keys /etc/rushcourse/*.conf
";

fn main() {
    let line = Line::parse_args_default_or_exit();
    let Some(command) = &line.command else {
        println!("{}\n\nCommands:\n{}", Line::usage(), Command::usage());
        std::process::exit(2);
    };
    match carry(&line, command) {
        Ok(text) => print!("{text}"),
        Err((why, code)) => {
            eprintln!("rushctl: {why}");
            std::process::exit(code);
        }
    }
}
