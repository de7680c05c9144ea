//! The file of fronts: `grpc(...)` opens the gRPC front, `platform(relay = False)` goes without the platform's relay.

// A function of a script takes each setting by its name; the macro drops an attribute nearer to it.
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

/// What a file of fronts says.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontsConfig {
    /// The gRPC front, if there is one.
    pub grpc: Option<GrpcConfig>,
    /// Whether proxies are reached by the platform's relay.
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

/// What the calls of a script have set so far.
#[derive(Debug, Default)]
struct ScriptResult {
    fronts: FrontsConfig,
    /// The functions that were called.
    called: Vec<&'static str>,
}

thread_local! {
    /// Of the script that is being evaluated on this thread. A place in the evaluator would take a derive that writes
    /// unsafe code.
    static RESULT: RefCell<ScriptResult> = RefCell::default();
}

/// Keeps what a call sets. Each function may be called once.
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
    /// Serves proxies, and asks hosts, over gRPC.
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

    /// The platform's own parts.
    fn platform(
        #[starlark(require = named, default = true)] relay: bool,
    ) -> anyhow::Result<NoneType> {
        record_call("platform", |fronts| fronts.relay = relay)?;
        Ok(NoneType)
    }
}

/// Parses the text of a file of fronts; `file` is what errors call it.
///
/// # Errors
/// What is wrong, with the place where that is known.
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

/// Reads a file of fronts.
///
/// # Errors
/// The file can't be read, or as for `parse_fronts`.
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
