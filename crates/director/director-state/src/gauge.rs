//! A size or an age, as monitors read it.

/// A gauge as it stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GaugeSample {
    /// Its name.
    pub name: &'static str,
    /// What it shows.
    pub help: &'static str,
    /// Its value.
    pub value: f64,
}
