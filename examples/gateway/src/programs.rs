//! The gateway's programs: the operators' command line, and processes that end with the scenario.

use crate::error::ScenarioError;
use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Where the programs are, and a folder for their settings, keys and logs.
pub struct Programs {
    binaries: PathBuf,
    folder: PathBuf,
}

impl Programs {
    /// `binaries`: the folder of the built programs; `folder`: one that may be made and is removed at the end.
    pub fn new(binaries: &Path, folder: PathBuf) -> Programs {
        Programs {
            binaries: binaries.into(),
            folder,
        }
    }

    /// The scenario's folder.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// The path of a file in the scenario's folder.
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Runs `rushctl` with these words; what it printed.
    ///
    /// # Errors
    /// It can't be started, or ends with another code than 0.
    pub fn rushctl(&self, words: &[&str]) -> Result<String, ScenarioError> {
        let output = Command::new(self.binaries.join("rushctl"))
            .args(words)
            .output()
            .map_err(ScenarioError::process("rushctl"))?;
        if output.status.success() {
            return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
        }
        Err(ScenarioError::Command {
            words: words.join(" "),
            output: String::from_utf8_lossy(&output.stderr).trim().to_string(),
        })
    }

    /// Starts a program by the settings file `name`.conf; its log goes to `name`.log.
    ///
    /// # Errors
    /// The log can't be made, or the program not be started.
    pub fn start(&self, program: &str, name: &str) -> Result<Process, ScenarioError> {
        let path = self.path(&format!("{name}.log"));
        let log = File::create(&path).map_err(ScenarioError::file(&path))?;
        let child = Command::new(self.binaries.join(program))
            .arg("--settings")
            .arg(self.path(&format!("{name}.conf")))
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(ScenarioError::process(program))?;
        Ok(Process {
            name: name.to_string(),
            child,
        })
    }

    /// Removes the scenario's folder.
    pub fn remove_folder(&self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A process that is killed when this goes.
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// The name of its node.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Kills it, and waits until it has ended.
    ///
    /// # Errors
    /// It can't be killed.
    pub fn kill(&mut self) -> Result<(), ScenarioError> {
        self.child
            .kill()
            .and_then(|()| self.child.wait())
            .map(drop)
            .map_err(ScenarioError::process(&self.name))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Adds lines to the end of a file.
///
/// # Errors
/// It can't be read or written.
pub fn append_to_file(path: &Path, lines: &str) -> Result<(), ScenarioError> {
    let text = fs::read_to_string(path).map_err(ScenarioError::file(path))?;
    fs::write(path, text + lines).map_err(ScenarioError::file(path))
}
