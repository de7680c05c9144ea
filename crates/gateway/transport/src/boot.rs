//! The settings file: found by a variable or by name, read and checked whole.

use error_stack::{Report, ResultExt};
use rushcourse_config::NodeSettings;
use std::fmt;
use std::path::{Path, PathBuf};

/// Names the settings file (DEPLOY.md).
pub const SETTINGS_VARIABLE: &str = "RUSHCOURSE_NODE_FILE";

/// A program can't start.
#[derive(Debug)]
pub enum StartError {
    NoFile,
    Unreadable(PathBuf),
    Wrong(PathBuf),
    Unbound(String),
    Disk,
    Keys,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::NoFile => {
                write!(
                    f,
                    "no settings file: give --settings FILE or set {SETTINGS_VARIABLE}"
                )
            }
            StartError::Unreadable(path) => write!(f, "{}: can't be read", path.display()),
            StartError::Wrong(path) => write!(f, "{}: can't be used", path.display()),
            StartError::Unbound(what) => write!(f, "can't listen at {what}"),
            StartError::Disk => write!(f, "the state on disk can't be used"),
            StartError::Keys => write!(
                f,
                "the keys for sessions between directors (peers.) can't be used"
            ),
        }
    }
}

impl std::error::Error for StartError {}

/// The settings file that is named, or the variable's.
///
/// # Errors
/// None is named.
pub fn place(named: Option<&str>) -> Result<PathBuf, Report<StartError>> {
    let found = named
        .map(PathBuf::from)
        .or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    found.ok_or_else(|| Report::new(StartError::NoFile))
}

/// Starts a program by its settings file, or only checks that. Ends the process with code 2 where it can't.
pub fn launch(
    named: Option<&str>,
    check: bool,
    serve: impl FnOnce(&Path, NodeSettings) -> Result<(), Report<StartError>>,
) {
    let done = place(named)
        .and_then(|path| start(&path).map(|boot| (path, boot)))
        .and_then(|(path, boot)| if check { Ok(()) } else { serve(&path, boot) });
    if let Err(report) = done {
        eprintln!("{report:?}");
        std::process::exit(2);
    }
}

/// Reads a settings file whole.
///
/// # Errors
/// A file that can't be read, or its first line or field that can't be used.
pub fn start(path: &Path) -> Result<NodeSettings, Report<StartError>> {
    let text = std::fs::read_to_string(path)
        .change_context_lazy(|| StartError::Unreadable(path.into()))?;
    NodeSettings::parse(&text).change_context_lazy(|| StartError::Wrong(path.into()))
}
