//! The gateways, by the sessions that controllers have with them.

use super::each::remark;
use crate::control_api::ControllerPage;
use crate::error::CliError;
use crate::status_page::{ABSENT, Fields, StatusPage};
use crate::text_table::TextTable;
use std::collections::BTreeMap;
use std::fmt::Write;

/// The role of gateways' sessions on pages.
const GATEWAY_ROLE: &str = "gateway";
/// A truth value that holds, as [`Fields::text`] shows it.
const TRUE: &str = "yes";

/// A gateway as controllers report it.
#[derive(Default)]
struct ReportedGateway {
    address: String,
    zone: String,
    /// Names of the controllers that have a session with it.
    controllers: Vec<String>,
    /// Those of them that it takes its tables from.
    primaries: Vec<String>,
}

impl ReportedGateway {
    fn add_session(&mut self, controller: &str, session: Fields<'_>) {
        self.address = session.text("address");
        self.zone = session.text("zone");
        self.controllers.push(controller.into());
        if session.text("home") == TRUE {
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

/// The gateways by name, with who is in session with each and which controller is its primary one.
///
/// # Errors
/// [`CliError::InvalidPage`]: a page that can't be read.
pub fn members(pages: &[ControllerPage]) -> Result<String, CliError> {
    let mut gateways: BTreeMap<String, ReportedGateway> = BTreeMap::new();
    let mut unanswered = String::new();
    for ControllerPage { controller, page } in pages {
        match page {
            Ok(text) => {
                let page = StatusPage::read(text)?;
                if let Some(page) = page.fields() {
                    add_sessions(&mut gateways, page);
                }
            }
            Err(error) => {
                let _ = writeln!(unanswered, "{controller}  {}", remark(error));
            }
        }
    }
    let mut table = TextTable::new(&["gateway", "address", "zone", "primary", "in session with"]);
    for (name, gateway) in gateways {
        table.add_row(gateway.row(name));
    }
    Ok(format!("{table}{unanswered}"))
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
