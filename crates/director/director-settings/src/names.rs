//! The mapping between the policy's indices of zones and request classes and their names.

use crate::deployment::DeploymentSettings;

/// The names of zones and request classes in the platform's protocol, indexed by the policy's ids.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Zone names, indexed by `ZoneId`.
    pub zones: Vec<String>,
    /// Names of the request classes, indexed by `ClassId`.
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
