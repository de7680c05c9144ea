//! Evaluation of a script within bounds.

use crate::error::{FrontsError, Position};
use starlark::environment::{Globals, Module};
use starlark::eval::Evaluator;
use starlark::syntax::{AstModule, Dialect};

/// Bytes of a script. A file of settings needs a hundredth of each of these bounds.
pub(crate) const MAX_SCRIPT_SIZE: usize = 64 << 10;
/// Calls and turns of loops that a script may make.
const MAX_TICKS: u64 = 200_000;
/// Bytes that its values may take.
const MAX_HEAP_SIZE: usize = 4 << 20;
/// Calls within calls.
const MAX_CALL_DEPTH: usize = 40;

/// Evaluates a script with the functions of `globals`, which keep what they are called with. `file` is what errors call
/// it.
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
        set_bounds(&mut evaluator).map_err(|error| FrontsError::Script {
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

fn set_bounds(evaluator: &mut Evaluator<'_, '_, '_>) -> anyhow::Result<()> {
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
