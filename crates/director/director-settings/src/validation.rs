//! Whether the settings of a director on sockets make sense.

use crate::deployment::DeploymentSettings;
use std::fmt;

/// Request classes that a mask of 32 bits can name.
const MAX_CLASSES: usize = 32;

/// A setting that makes no sense.
#[derive(Clone, Debug, PartialEq)]
pub struct InvalidSetting {
    /// Where it stands in the settings, as `family-info.backlog` or `zones[1]`.
    pub field: String,
    /// What is wrong with it.
    pub problem: Problem,
}

/// What is wrong with a setting.
#[derive(Clone, Debug, PartialEq)]
pub enum Problem {
    /// There is no request class.
    NoClass,
    /// There are so many request classes, more than can be told apart.
    TooManyClasses(usize),
    /// The name could not be read back by the relay.
    UnusableName(String),
    /// There is no zone at this position.
    NoSuchZone,
    /// The number has to be above 0.
    NotPositive(f64),
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings.{} ", self.field)?;
        match &self.problem {
            Problem::NoClass => write!(f, "names no class of requests"),
            Problem::TooManyClasses(count) => {
                write!(f, "names {count} classes, {MAX_CLASSES} at most")
            }
            Problem::UnusableName(name) => write!(f, "is no word: {name:?}"),
            Problem::NoSuchZone => write!(f, "is not the index of a zone"),
            Problem::NotPositive(value) => write!(f, "must be above 0, it is {value}"),
        }
    }
}

impl std::error::Error for InvalidSetting {}

impl DeploymentSettings {
    /// Checks what a director on sockets relies on.
    ///
    /// # Errors
    /// The first setting found that makes no sense.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        self.validate_classes()?;
        self.validate_zones()?;
        let info = &self.family_info;
        require_positive("family-info.push-rate", info.push_rate)?;
        require_positive("family-info.backlog", info.backlog)
    }

    fn validate_classes(&self) -> Result<(), InvalidSetting> {
        let count = self.categories.len();
        if count == 0 {
            return Err(invalid("categories", Problem::NoClass));
        }
        if count > MAX_CLASSES {
            return Err(invalid("categories", Problem::TooManyClasses(count)));
        }
        for (class, category) in self.categories.iter().enumerate() {
            require_usable_name(&format!("categories[{class}].name"), &category.name)?;
        }
        Ok(())
    }

    fn validate_zones(&self) -> Result<(), InvalidSetting> {
        for (zone, name) in self.zones.iter().enumerate() {
            require_usable_name(&format!("zones[{zone}]"), name)?;
        }
        match self.my_zone {
            Some(zone) if zone >= self.zones.len() => Err(invalid("my-zone", Problem::NoSuchZone)),
            _ => Ok(()),
        }
    }
}

fn invalid(field: &str, problem: Problem) -> InvalidSetting {
    InvalidSetting {
        field: field.into(),
        problem,
    }
}

/// A name has to be one word in the relay's orders.
fn require_usable_name(field: &str, name: &str) -> Result<(), InvalidSetting> {
    let separates = |c: char| c.is_whitespace() || ",;+*".contains(c);
    if name.is_empty() || name.contains(separates) {
        return Err(invalid(field, Problem::UnusableName(name.into())));
    }
    Ok(())
}

fn require_positive(field: &str, value: f64) -> Result<(), InvalidSetting> {
    if value.is_finite() && value > 0.0 {
        return Ok(());
    }
    Err(invalid(field, Problem::NotPositive(value)))
}
