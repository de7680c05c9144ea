//! Names of zones and request classes.

use crate::deployment::DeploymentSettings;

/// The names of zones and request classes in the platform's protocol, by the positions under which the policy knows
/// them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Zones, by their `ZoneId`.
    pub zones: Vec<String>,
    /// Request classes, by their `ClassId`.
    pub classes: Vec<String>,
}

impl From<&DeploymentSettings> for Names {
    fn from(settings: &DeploymentSettings) -> Names {
        let classes = settings.categories.iter().map(|class| class.name.clone());
        Names {
            zones: settings.zones.clone(),
            classes: classes.collect(),
        }
    }
}
