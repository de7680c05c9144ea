//! Implementations of the commands. Each returns the text to print.

use crate::arguments::{Arguments, Command, Operands};
use crate::configuration_diff::ConfigurationDiff;
use crate::control_api::{ControlApi, ControllerPage, SuccessResponse};
use crate::error::{AtPath, CliError, FileProblem};
use crate::manual::MANUAL;
use crate::shedding_order::shedding_order;
use crate::{certificates, example_settings, views};
use bytes::Bytes;
use hyper::Method;
use rushcourse_config::{Configuration, NodeSettings, OperationScope, Tenants};

/// Path of the committed configuration in the control API.
const CONFIGURATION_PATH: &str = "/-/configuration";
const STATUS_PATH: &str = "/-/status";
const CLAIMS_PATH: &str = "/-/claims";
/// Field that a controller's response contains if a different text is committed under the uploaded version.
const VERSION_CONFLICT_FIELD: &str = "another_text_in_force";

/// Runs a command and returns the text to print.
///
/// # Errors
/// A file or the command line is invalid, a controller rejected the request, or all controllers failed.
pub(crate) fn run(arguments: &Arguments, command: &Command) -> Result<String, CliError> {
    let api = ControlApi::new(&arguments.at);
    let json = arguments.json;
    match command {
        Command::Check(operands) => check(operands),
        Command::CheckSettings(operands) => check_settings(operands),
        Command::Diff(operands) => diff(&api, operands),
        Command::Order(operands) => Ok(shedding_order(&read_configuration(operands.first()?)?)),
        Command::Put(operands) => put(&api, operands, json),
        Command::Get(_) => get(&api),
        Command::Key(key) => show_key(&api, key, json),
        Command::Status(_) => show_all(&api, json, views::status),
        Command::Members(_) => show_all(&api, json, views::members),
        Command::Voters(_) => show_all(&api, json, views::voters),
        Command::Disks(_) => show_all(&api, json, views::disks),
        Command::Duty(_) => show_all(&api, json, views::duty),
        Command::Hosts(_) => show_first(&api, json, views::hosts),
        Command::Tables(_) => show_first(&api, json, views::tables),
        Command::MakeKeys(operands) => make_keys(operands),
        Command::MakeSettings(operands) => example_settings::write(operands.first()?),
        Command::Manual(_) => Ok(MANUAL.into()),
    }
}

impl Operands {
    fn first(&self) -> Result<&str, CliError> {
        self.at(0)
    }

    fn at(&self, position: usize) -> Result<&str, CliError> {
        let operand = self.files.get(position).map(String::as_str);
        operand.ok_or(CliError::MissingArgument("a file"))
    }
}

fn read_file(path: &str) -> Result<Vec<u8>, CliError> {
    std::fs::read(path)
        .map_err(FileProblem::Unreadable)
        .at_path(path)
}

fn read_configuration(path: &str) -> Result<Configuration, CliError> {
    Configuration::parse_upload(&read_file(path)?).at_path(path)
}

fn check(operands: &Operands) -> Result<String, CliError> {
    let configuration = read_configuration(operands.first()?)?;
    let tenants = configuration
        .tenants
        .as_ref()
        .map_or_else(String::new, tenant_summary);
    Ok(format!(
        "version {}: valid{tenants}\n",
        configuration.version
    ))
}

/// Formats the numbers of tenants and API keys, with a leading comma.
fn tenant_summary(tenants: &Tenants) -> String {
    let keys: usize = tenants.iter().map(|tenant| tenant.api_keys.len()).sum();
    format!(", {} tenants with {keys} API keys", tenants.iter().count())
}

fn check_settings(operands: &Operands) -> Result<String, CliError> {
    let path = operands.first()?;
    let text = String::from_utf8(read_file(path)?).at_path(path)?;
    let settings = NodeSettings::parse(&text).at_path(path)?;
    Ok(format!("{}: valid\n", settings.node.name))
}

/// Compares two files, or the committed configuration with one file.
fn diff(api: &ControlApi, operands: &Operands) -> Result<String, CliError> {
    let (old, new) = if operands.files.len() == 1 {
        (committed_configuration(api)?, operands.first()?)
    } else {
        (read_configuration(operands.first()?)?, operands.at(1)?)
    };
    let new = read_configuration(new)?;
    let diff = ConfigurationDiff {
        old: &old,
        new: &new,
    };
    Ok(diff.to_string())
}

fn committed_configuration(api: &ControlApi) -> Result<Configuration, CliError> {
    let reply = api.first_success(&Method::GET, CONFIGURATION_PATH, &Bytes::new())?;
    Configuration::parse(reply.body.as_bytes()).map_err(|reason| CliError::InvalidConfiguration {
        controller: reply.controller,
        reason,
    })
}

fn put(api: &ControlApi, operands: &Operands, json: bool) -> Result<String, CliError> {
    let path = operands.first()?;
    let version = read_configuration(path)?.version;
    let text = Bytes::from(read_file(path)?);
    let reply = api.first_success(&Method::PUT, CONFIGURATION_PATH, &text)?;
    if reply.body.contains(VERSION_CONFLICT_FIELD) {
        return Err(CliError::VersionConflict(version));
    }
    if json {
        return Ok(reply.body);
    }
    Ok(format!(
        "version {version} acknowledged by {}\n",
        reply.controller
    ))
}

fn get(api: &ControlApi) -> Result<String, CliError> {
    let reply = api.first_success(&Method::GET, CONFIGURATION_PATH, &Bytes::new())?;
    Ok(reply.body + "\n")
}

fn make_keys(operands: &Operands) -> Result<String, CliError> {
    match operands.files.split_first() {
        Some((folder, settings)) if !settings.is_empty() => certificates::create(folder, settings),
        _ => Err(CliError::MissingArgument("a folder and settings files")),
    }
}

fn show_key(api: &ControlApi, operands: &Operands, json: bool) -> Result<String, CliError> {
    let key = operands.first()?;
    let tenant = operands.files.get(1).map(String::as_str);
    let scope = operation_scope(tenant);
    let digest = scope.digest(key.as_bytes());
    let path = format!("{CLAIMS_PATH}/{:x}", digest.0);
    let pages = api.fetch_all(&path);
    if json {
        Ok(views::json(&pages))
    } else {
        views::operation_key(&pages)
    }
}

/// Returns the clients among whom a key names one operation. `tenant` is empty for clients without an API key, `None`
/// where the configuration has no tenants.
fn operation_scope(tenant: Option<&str>) -> OperationScope<'_> {
    match tenant {
        None => OperationScope::Cluster,
        Some("") => OperationScope::Public,
        Some(name) => OperationScope::Tenant(name),
    }
}

/// Shows the status pages of all controllers, as JSON or through `view`.
fn show_all(
    api: &ControlApi,
    json: bool,
    view: impl Fn(&[ControllerPage]) -> Result<String, CliError>,
) -> Result<String, CliError> {
    let pages = api.fetch_all(STATUS_PATH);
    if json {
        Ok(views::json(&pages))
    } else {
        view(&pages)
    }
}

/// Shows the status page of the first controller that responds, as JSON or through `view`.
fn show_first(
    api: &ControlApi,
    json: bool,
    view: impl Fn(&SuccessResponse) -> Result<String, CliError>,
) -> Result<String, CliError> {
    let reply = api.first_success(&Method::GET, STATUS_PATH, &Bytes::new())?;
    if json {
        Ok(reply.body + "\n")
    } else {
        view(&reply)
    }
}
