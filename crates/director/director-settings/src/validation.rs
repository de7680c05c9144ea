//! Validation of the settings of a director on sockets.

use crate::deployment::DeploymentSettings;
use std::fmt;

/// Sets of classes are represented as masks of 32 bits.
const MAX_CLASSES: usize = 32;

/// A setting that validation rejects.
#[derive(Clone, Debug, PartialEq)]
pub struct InvalidSetting {
    /// Path of the setting, such as `family-info.backlog` or `zones[1]`.
    pub field: String,
    /// Why the setting is rejected.
    pub problem: Problem,
}

/// Why a setting is rejected.
#[derive(Clone, Debug, PartialEq)]
pub enum Problem {
    /// The list of request classes is empty.
    NoClass,
    /// There are more request classes than the 32 bits of a class mask; holds their number.
    TooManyClasses(usize),
    /// The name is empty or contains a separator of the relay's orders.
    UnusableName(String),
    /// The index is not below the number of zones.
    NoSuchZone,
    /// The number is not finite and above 0.
    NotPositive(f64),
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings.{} ", self.field)?;
        match &self.problem {
            Problem::NoClass => write!(f, "has no request class"),
            Problem::TooManyClasses(count) => {
                write!(f, "has {count} classes, {MAX_CLASSES} at most")
            }
            Problem::UnusableName(name) => write!(f, "is empty or contains a separator: {name:?}"),
            Problem::NoSuchZone => write!(f, "is not the index of a zone"),
            Problem::NotPositive(value) => write!(f, "must be above 0, got {value}"),
        }
    }
}

impl std::error::Error for InvalidSetting {}

impl DeploymentSettings {
    /// Checks the settings that a director on sockets depends on: request classes, zones, and the relay's rate and
    /// queue length.
    ///
    /// # Errors
    /// The first invalid setting.
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

/// Requires a name to be a single word in the relay's orders.
fn require_usable_name(field: &str, name: &str) -> Result<(), InvalidSetting> {
    let is_separator = |c: char| c.is_whitespace() || ",;+*".contains(c);
    if name.is_empty() || name.contains(is_separator) {
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
