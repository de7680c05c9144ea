//! The fronts file: `grpc(...)` configures the gRPC front, and `platform(relay = False)` disables the platform's relay.

// Each setting is a named argument of a script function. The `starlark_module` macro drops an `allow` on the function.
#![allow(clippy::too_many_arguments)]

use crate::error::{FieldError, FrontsError};
use crate::evaluation::{self, MAX_SCRIPT_SIZE};
use crate::grpc::{GrpcArguments, GrpcConfig};
use starlark::collections::SmallMap;
use starlark::environment::{Globals, GlobalsBuilder};
use starlark::starlark_module;
use starlark::values::none::NoneType;
use std::cell::RefCell;
use std::path::Path;

/// The configuration in a fronts file.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontsConfig {
    /// Configuration of the gRPC front; `None` if the front is disabled.
    pub grpc: Option<GrpcConfig>,
    /// Whether proxies are served through the platform's relay.
    pub relay: bool,
}

impl Default for FrontsConfig {
    fn default() -> FrontsConfig {
        FrontsConfig {
            grpc: None,
            relay: true,
        }
    }
}

/// The configuration that the script's calls have built so far.
#[derive(Debug, Default)]
struct ScriptResult {
    fronts: FrontsConfig,
    /// Names of the functions called so far.
    called: Vec<&'static str>,
}

thread_local! {
    /// Result of the script being evaluated on this thread. Storing it in the evaluator would need a derive that
    /// generates unsafe code.
    static RESULT: RefCell<ScriptResult> = RefCell::default();
}

/// Applies the settings of a call, or fails if the function was called before.
fn record_call(
    function: &'static str,
    set: impl FnOnce(&mut FrontsConfig),
) -> Result<(), FieldError> {
    RESULT.with_borrow_mut(|result| {
        if result.called.contains(&function) {
            return Err(FieldError::CalledTwice(function));
        }
        result.called.push(function);
        set(&mut result.fronts);
        Ok(())
    })
}

#[starlark_module]
fn script_functions(builder: &mut GlobalsBuilder) {
    /// Configures the gRPC front, which serves proxies and optionally requests load reports from hosts.
    fn grpc(
        #[starlark(require = named)] listen: &str,
        #[starlark(require = named, default = "relay-")] node_prefix: &str,
        #[starlark(require = named, default = SmallMap::default())] node_names: SmallMap<
            String,
            i32,
        >,
        #[starlark(require = named, default = 0)] streams: i32,
        #[starlark(require = named, default = false)] ask_hosts: bool,
        #[starlark(require = named, default = 1200)] join_within_ms: i32,
        #[starlark(require = named, default = 10_000)] take_within_ms: i32,
        #[starlark(require = named, default = 5000)] ping_every_ms: i32,
        #[starlark(require = named, default = 2500)] ping_within_ms: i32,
        #[starlark(require = named, default = "")] tls_cert: &str,
        #[starlark(require = named, default = "")] tls_key: &str,
        #[starlark(require = named, default = "")] tls_client_ca: &str,
    ) -> anyhow::Result<NoneType> {
        let arguments = GrpcArguments {
            listen,
            node_prefix,
            node_names: node_names.into_iter().collect(),
            streams,
            ask_hosts,
            join_within_ms,
            take_within_ms,
            ping_every_ms,
            ping_within_ms,
            tls_cert,
            tls_key,
            tls_client_ca,
        };
        let grpc = arguments.check()?;
        record_call("grpc", |fronts| fronts.grpc = Some(grpc))?;
        Ok(NoneType)
    }

    /// Configures the connection to the platform.
    fn platform(
        #[starlark(require = named, default = true)] relay: bool,
    ) -> anyhow::Result<NoneType> {
        record_call("platform", |fronts| fronts.relay = relay)?;
        Ok(NoneType)
    }
}

/// Parses the text of a fronts file. Errors refer to the text as `file`.
///
/// # Errors
/// The script is invalid, or leaves no front; the error names the position if it is known.
pub fn parse_fronts(file: &str, script: &str) -> Result<FrontsConfig, FrontsError> {
    let globals: Globals = GlobalsBuilder::standard().with(script_functions).build();
    RESULT.set(ScriptResult::default());
    let evaluated = evaluation::evaluate(file, script, &globals);
    let ScriptResult { fronts, .. } = RESULT.take();
    evaluated?;
    if fronts.grpc.is_none() && !fronts.relay {
        return Err(FrontsError::NoFront { file: file.into() });
    }
    Ok(fronts)
}

/// Reads and parses a fronts file.
///
/// # Errors
/// The file can't be read or is too large, or `parse_fronts` fails.
pub fn read_fronts(path: &Path) -> Result<FrontsConfig, FrontsError> {
    let file = path.display().to_string();
    let unreadable = |source| FrontsError::Unreadable {
        file: file.clone(),
        source,
    };
    let size = std::fs::metadata(path).map_err(unreadable)?.len();
    if size > MAX_SCRIPT_SIZE as u64 {
        return Err(FrontsError::TooLarge {
            file,
            size,
            max: MAX_SCRIPT_SIZE,
        });
    }
    let script = std::fs::read_to_string(path).map_err(unreadable)?;
    parse_fronts(&file, &script)
}
