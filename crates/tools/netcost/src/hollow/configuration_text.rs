//! The text of a configuration of a size: routes, services, and tenants with one key of 32 characters each.

use super::Size;
use std::fmt::{self, Write};

/// Routes that share a host name.
const ROUTES_PER_HOST: usize = 40;
/// Odd, so that the keys of different tenants differ.
const KEY_FACTOR: u128 = 0x9e37_79b9_7f4a_7c15;

/// The text of version 2.
pub(super) fn configuration_text(size: &Size) -> Vec<u8> {
    let mut text = String::new();
    write_configuration(&mut text, size).expect("writing to a string succeeds");
    text.into_bytes()
}

fn write_configuration(text: &mut String, size: &Size) -> fmt::Result {
    text.push_str(
        "{\"version\":2,\"services\":{\"columns\":[\"name\",\"connection_capacity\"],\"rows\":[",
    );
    for number in 0..size.services {
        write!(text, "{}[\"service-{number:03}\",480]", comma(number))?;
    }
    text.push_str("]},\"routes\":{\"columns\":[\"name\",\"host\",\"path_prefix\",\"service\",\"route_kind\",\"timeout_s\",");
    text.push_str("\"target_latency_s\",\"maximum_attempts\",\"priority\"],\"rows\":[");
    for number in 0..size.routes {
        write_route(text, number, size)?;
    }
    text.push_str("]},\"tenants\":{\"columns\":[\"name\",\"api_keys\"],\"rows\":[");
    for number in 0..size.tenants {
        let key = number as u128 * KEY_FACTOR;
        write!(
            text,
            "{}[\"tenant-{number:06}\",[\"{key:032x}\"]]",
            comma(number)
        )?;
    }
    text.push_str("]},\"limits\":{}}");
    Ok(())
}

fn write_route(text: &mut String, number: usize, size: &Size) -> fmt::Result {
    let host = number / ROUTES_PER_HOST;
    let service = number % size.services;
    write!(
        text,
        "{}[\"route-{number:04}\",\"host-{host:03}.example\",\"/area-{number:04}\",\"service-{service:03}\",\
         \"idempotent\",8,0.8,2,1]",
        comma(number)
    )
}

/// What stands before a row.
fn comma(number: usize) -> &'static str {
    if number == 0 { "" } else { "," }
}
