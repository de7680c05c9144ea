//! Table of gateways, collected from the sessions that controllers report.

use super::controller_table::error_note;
use crate::control_api::ControllerPage;
use crate::error::CliError;
use crate::status_page::{ABSENT, Fields, StatusPage};
use crate::text_table::TextTable;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Value of the `role` field in sessions with gateways.
const GATEWAY_ROLE: &str = "gateway";
/// Text that [`Fields::text`] returns for `true`.
const TRUE: &str = "yes";

/// A gateway, merged from the sessions of all controllers.
#[derive(Default)]
struct ReportedGateway {
    address: String,
    zone: String,
    /// Names of the controllers that have a session with the gateway.
    controllers: Vec<String>,
    /// Names of the controllers that the gateway uses as its primary, the source of its endpoint tables.
    primaries: Vec<String>,
}

impl ReportedGateway {
    fn add_session(&mut self, controller: &str, session: Fields<'_>) {
        self.address = session.text("address");
        self.zone = session.text("zone");
        self.controllers.push(controller.into());
        if session.text("primary") == TRUE {
            self.primaries.push(controller.into());
        }
    }

    fn row(self, name: String) -> Vec<String> {
        let primary = if self.primaries.is_empty() {
            ABSENT.into()
        } else {
            self.primaries.join(",")
        };
        vec![
            name,
            self.address,
            self.zone,
            primary,
            self.controllers.join(","),
        ]
    }
}

/// Renders the gateways sorted by name, with their primary controllers and all controllers in session with them.
///
/// # Errors
/// [`CliError::InvalidPage`] if a page is not valid JSON.
pub fn members(pages: &[ControllerPage]) -> Result<String, CliError> {
    let mut gateways: BTreeMap<String, ReportedGateway> = BTreeMap::new();
    let mut failures = String::new();
    for ControllerPage { controller, page } in pages {
        match page {
            Ok(text) => {
                let page = StatusPage::read(text)?;
                if let Some(page) = page.fields() {
                    add_sessions(&mut gateways, page);
                }
            }
            Err(error) => {
                let _ = writeln!(failures, "{controller}  {}", error_note(error));
            }
        }
    }
    let mut table = TextTable::new(&["gateway", "address", "zone", "primary", "in session with"]);
    for (name, gateway) in gateways {
        table.add_row(gateway.row(name));
    }
    Ok(format!("{table}{failures}"))
}

fn add_sessions(gateways: &mut BTreeMap<String, ReportedGateway>, page: Fields<'_>) {
    let controller = page.text("name");
    for session in page.objects("sessions") {
        if session.text("role") == GATEWAY_ROLE {
            let gateway = gateways.entry(session.text("name")).or_default();
            gateway.add_session(&controller, session);
        }
    }
}
