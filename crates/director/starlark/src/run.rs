//! Evaluation of a script within bounds.

use starlark::environment::{Globals, Module};
use starlark::eval::Evaluator;
use starlark::syntax::{AstModule, Dialect};

/// Bytes of a script; calls and turns of loops that it may make; bytes that its values may take; calls within calls.
/// A file of settings needs a hundredth of each.
pub const TEXT_MOST: usize = 64 << 10;
const TICKS_MOST: u64 = 200_000;
const HEAP_MOST: usize = 4 << 20;
const DEPTH_MOST: usize = 40;

/// What went wrong, with the place where it did.
fn located(name: &str, error: starlark::Error) -> String {
    let what = error.without_diagnostic().to_string();
    match error.span() {
        Some(span) => {
            let begin = span.resolve().span.begin;
            format!("{name}:{}:{}: {what}", begin.line + 1, begin.column + 1)
        }
        None => format!("{name}: {what}"),
    }
}

/// Evaluates a text with the functions of `globals`, which keep what they are told.
pub fn run(name: &str, text: &str, globals: &Globals) -> Result<(), String> {
    if text.len() > TEXT_MOST {
        return Err(format!("{name}: {} bytes, {TEXT_MOST} at most", text.len()));
    }
    let dialect = Dialect {
        enable_load: false,
        enable_top_level_stmt: true,
        ..Dialect::Standard
    };
    let ast = AstModule::parse(name, text.to_string(), &dialect).map_err(|e| located(name, e))?;
    Module::with_temp_heap(|module| {
        let mut eval = Evaluator::new(&module);
        let bounds = |e: anyhow::Error| format!("{name}: {e}");
        eval.set_max_tick_count(TICKS_MOST).map_err(bounds)?;
        eval.set_max_heap_size(HEAP_MOST).map_err(bounds)?;
        eval.set_max_callstack_size(DEPTH_MOST).map_err(bounds)?;
        eval.eval_module(ast, globals)
            .map(|_| ())
            .map_err(|e| located(name, e))
    })
}
