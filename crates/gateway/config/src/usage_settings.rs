//! Settings of the usage reports that controllers send to the platform.

use crate::seconds::duration_from_seconds;
use crate::settings_file::{SettingsError, SettingsFile};
use std::net::SocketAddrV4;
use std::time::Duration;

/// The duty in `cloud_api.duties` for which these settings are read.
const USAGE_DUTY: &str = "usage_reporting";

/// Where, how often and until when usage is reported.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageSettings {
    /// Address of the platform's API (`cloud_api.address`).
    pub platform: SocketAddrV4,
    /// Length of a report window (`bounds.report_window_s`); default 5 s.
    pub window: Duration,
    /// Time after the end of a window by which its report is due (`bounds.usage_lateness_s`); default 10 s.
    pub lateness: Duration,
    /// Time for which a lost holder of the duty is waited for (`bounds.lease_duration_s`); default 3 s.
    pub lease_duration: Duration,
}

/// Reads the settings; `None` unless an address is set and `cloud_api.duties` lists `usage_reporting`.
pub(crate) fn read_usage_settings(
    file: &SettingsFile<'_>,
) -> Result<Option<UsageSettings>, SettingsError> {
    let platform = file.optional("cloud_api.address", "an address of the form 10.1.0.34:8544")?;
    let duties: Vec<String> = file.list("cloud_api.duties", "a duty")?;
    let Some(platform) = platform.filter(|_| duties.iter().any(|duty| duty == USAGE_DUTY)) else {
        return Ok(None);
    };
    let duration = |name: &str, default: f64| file.number(name, default).map(duration_from_seconds);
    Ok(Some(UsageSettings {
        platform,
        window: duration("bounds.report_window_s", 5.0)?,
        lateness: duration("bounds.usage_lateness_s", 10.0)?,
        lease_duration: duration("bounds.lease_duration_s", 3.0)?,
    }))
}
