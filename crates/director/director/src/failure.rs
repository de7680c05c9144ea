//! How the program ends when it can't do what it was asked for.

/// Why the program ends with something to say.
pub enum Failure {
    /// The command line or the environment: exit code 2.
    Usage(String),
    /// Anything else: exit code 1.
    Other(String),
}
