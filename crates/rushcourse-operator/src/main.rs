//! operator: the operators' command line. It asks the core directors one after the other until one answers clearly.
//! Ends with 0 when it is done, 1 when it was refused or something is wrong with a file, 2 when no director answered.

mod calls;
mod make;
mod show;

use gumdrop::Options;
use rushcourse_directory::{Boot, Configuration};

/// operator: looks at and changes a gateway through the control addresses of its core directors.
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
    #[options(help = "what differs between two configurations: diff FILE FILE")]
    Diff(Named),
    #[options(help = "one line for each core director: set, votes, versions, claims, sessions")]
    Status(Plain),
    #[options(help = "hosts with state and age, as one core director sees them")]
    Hosts(Plain),
    #[options(help = "tables of hosts that frontend directors are bound to, by core director")]
    Tables(Plain),
    #[options(help = "make settings files for a small gateway on loopback: make-settings FOLDER")]
    MakeSettings(Named),
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
    Configuration::read(&text).map_err(|e| wrong(format!("{path}: {e}")))
}

fn carry(line: &Line, command: &Command) -> Came {
    let at: Vec<String> =
        line.at.split(',').map(|a| a.trim().to_string()).filter(|a| !a.is_empty()).collect();
    let file =
        |n: &Named, k: usize| n.files.get(k).cloned().ok_or_else(|| wrong("a file must be named".into()));
    match command {
        Command::Check(n) => configuration(&file(n, 0)?).map(|c| format!("version {}: well\n", c.version)),
        Command::CheckSettings(n) => {
            let path = file(n, 0)?;
            let text =
                String::from_utf8(read(&path).map_err(wrong)?).map_err(|e| wrong(format!("{path}: {e}")))?;
            Boot::read(&text)
                .map(|b| format!("{}: well\n", b.node_name))
                .map_err(|e| wrong(format!("{path}: {e}")))
        }
        Command::Diff(n) => Ok(show::diff(&configuration(&file(n, 0)?)?, &configuration(&file(n, 1)?)?)),
        Command::MakeSettings(n) => make::settings(&file(n, 0)?).map_err(wrong),
        Command::Put(n) => {
            let path = file(n, 0)?;
            let version = configuration(&path)?.version;
            let text = read(&path).map_err(wrong)?;
            let (who, body) = calls::until_clear(&at, "PUT", "/-/configuration", text)?;
            if line.json { Ok(body) } else { Ok(format!("version {version} acknowledged by {who}\n")) }
        }
        Command::Get(_) => {
            calls::until_clear(&at, "GET", "/-/configuration", Vec::new()).map(|(_, body)| body + "\n")
        }
        Command::Status(_) => {
            let pages = calls::each(&at, "/-/status");
            if line.json { Ok(show::raw(&pages)) } else { show::status(&pages) }
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

fn main() {
    let line = Line::parse_args_default_or_exit();
    let Some(command) = &line.command else {
        println!("{}\n\nCommands:\n{}", Line::usage(), Command::usage());
        std::process::exit(2);
    };
    match carry(&line, command) {
        Ok(text) => print!("{text}"),
        Err((why, code)) => {
            eprintln!("operator: {why}");
            std::process::exit(code);
        }
    }
}
