//! The body of a usage report, as posted to the platform.

use rushcourse_messages::UsageReport;
use rushcourse_types::WindowNumber;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Builds the report of a window: `{"window_number":N,"counts":{"TENANT":REQUESTS,...}}`, tenants in ascending order.
pub fn build_report(window: WindowNumber, totals: &BTreeMap<Arc<str>, u64>) -> UsageReport {
    let counts: Vec<String> = totals
        .iter()
        .map(|(tenant, requests)| format!("{}:{requests}", quoted(tenant)))
        .collect();
    let body = format!(
        "{{\"window_number\":{window},\"counts\":{{{}}}}}",
        counts.join(",")
    );
    UsageReport {
        window,
        body: body.into_bytes().into(),
    }
}

/// Formats `text` as a JSON string with quotes and escapes.
fn quoted(text: &str) -> String {
    facet_json::to_string(&text.to_string()).unwrap_or_else(|_| "\"?\"".into())
}
