//! Evaluation of scripts with limits on size, time and memory.

use crate::error::{FrontsError, Position};
use starlark::environment::{Globals, Module};
use starlark::eval::Evaluator;
use starlark::syntax::{AstModule, Dialect};

/// Largest script, in bytes.
/// A settings file needs about a hundredth of each of these limits.
pub(crate) const MAX_SCRIPT_SIZE: usize = 64 << 10;
/// Limit on function calls and loop iterations.
const MAX_TICKS: u64 = 200_000;
/// Limit on the memory used by the script's values, in bytes.
const MAX_HEAP_SIZE: usize = 4 << 20;
/// Limit on nested function calls.
const MAX_CALL_DEPTH: usize = 40;

/// Evaluates a script, which may call the functions in `globals`. Errors refer to the script as `file`.
pub(crate) fn evaluate(file: &str, script: &str, globals: &Globals) -> Result<(), FrontsError> {
    if script.len() > MAX_SCRIPT_SIZE {
        return Err(FrontsError::TooLarge {
            file: file.into(),
            size: script.len() as u64,
            max: MAX_SCRIPT_SIZE,
        });
    }
    let dialect = Dialect {
        enable_load: false,
        enable_top_level_stmt: true,
        ..Dialect::Standard
    };
    let ast = AstModule::parse(file, script.to_string(), &dialect)
        .map_err(|error| script_error(file, &error))?;
    Module::with_temp_heap(|module| {
        let mut evaluator = Evaluator::new(&module);
        set_limits(&mut evaluator).map_err(|error| FrontsError::Script {
            file: file.into(),
            position: None,
            message: error.to_string(),
        })?;
        evaluator
            .eval_module(ast, globals)
            .map(|_| ())
            .map_err(|error| script_error(file, &error))
    })
}

fn set_limits(evaluator: &mut Evaluator<'_, '_, '_>) -> anyhow::Result<()> {
    evaluator.set_max_tick_count(MAX_TICKS)?;
    evaluator.set_max_heap_size(MAX_HEAP_SIZE)?;
    evaluator.set_max_callstack_size(MAX_CALL_DEPTH)
}

fn script_error(file: &str, error: &starlark::Error) -> FrontsError {
    let position = error.span().map(|span| {
        let begin = span.resolve().span.begin;
        Position {
            line: begin.line + 1,
            column: begin.column + 1,
        }
    });
    FrontsError::Script {
        file: file.into(),
        position,
        message: error.without_diagnostic().to_string(),
    }
}
