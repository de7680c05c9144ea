//! Starts the gateway's programs as child processes and runs `rushctl` commands.

use crate::error::ScenarioError;
use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Folder of the built programs, and the scenario's folder with their settings, keys and logs.
pub struct Programs {
    binaries: PathBuf,
    folder: PathBuf,
}

impl Programs {
    /// `binaries` contains the built programs. `folder` is created by `rushctl make-settings` and deleted by
    /// [`Programs::remove_folder`].
    pub fn new(binaries: &Path, folder: PathBuf) -> Programs {
        Programs {
            binaries: binaries.into(),
            folder,
        }
    }

    /// Folder of the settings, keys and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns the path of a file in the scenario's folder.
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Runs `rushctl` to completion and returns its standard output.
    ///
    /// # Errors
    /// Returns an error if it can't be started or exits with a non-zero code.
    pub fn rushctl(&self, arguments: &[&str]) -> Result<String, ScenarioError> {
        let output = Command::new(self.binaries.join("rushctl"))
            .args(arguments)
            .output()
            .map_err(ScenarioError::process("rushctl"))?;
        if output.status.success() {
            return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
        }
        Err(ScenarioError::Command {
            arguments: arguments.join(" "),
            output: String::from_utf8_lossy(&output.stderr).trim().to_string(),
        })
    }

    /// Starts a program with the settings file `NAME.conf`. Its standard error goes to `NAME.log`.
    ///
    /// # Errors
    /// Returns an error if the log file can't be created or the program can't be started.
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

    /// Deletes the scenario's folder with its contents. Errors are ignored.
    pub fn remove_folder(&self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A child process, killed on drop.
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Node name, which is also the stem of the settings and log files.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Kills the process and waits for it to exit.
    ///
    /// # Errors
    /// Returns an error if the process can't be killed or waited for.
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

/// Appends text to an existing file.
///
/// # Errors
/// Returns an error if the file can't be read or written.
pub fn append_to_file(path: &Path, lines: &str) -> Result<(), ScenarioError> {
    let text = fs::read_to_string(path).map_err(ScenarioError::file(path))?;
    fs::write(path, text + lines).map_err(ScenarioError::file(path))
}
