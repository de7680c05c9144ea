//! Table of the voting set that each controller reports.

use super::controller_table::controller_table;
use crate::control_api::ControllerPage;
use crate::error::CliError;
use crate::status_page::{ABSENT, Fields, StatusPage};
use std::collections::BTreeSet;

const EPOCHS_DIFFER: &str = "controllers differ: not all vote in one epoch\n";

/// A voting set read from a status page.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ReportedVotingSet {
    epoch: String,
    members: Vec<String>,
}

impl ReportedVotingSet {
    fn of(page: Fields<'_>) -> Option<ReportedVotingSet> {
        let set = page.object("set")?;
        Some(ReportedVotingSet {
            epoch: set.text("number"),
            members: set.strings("members"),
        })
    }
}

/// Renders the voting set of each controller with the number of members it reaches, followed by a note if the
/// controllers report different sets.
///
/// # Errors
/// [`CliError::InvalidPage`] if a page is not valid JSON.
pub fn voters(pages: &[ControllerPage]) -> Result<String, CliError> {
    let headings = [
        "name",
        "epoch",
        "members",
        "reached",
        "complete state",
        "votes",
        "held",
    ];
    let table = controller_table(pages, &headings, |page| Some(voter_row(page)))?;
    let note = if sets_differ(pages) {
        EPOCHS_DIFFER
    } else {
        ""
    };
    Ok(format!("{table}{note}"))
}

fn voter_row(page: Fields<'_>) -> Vec<String> {
    let set = ReportedVotingSet::of(page).unwrap_or_else(|| ReportedVotingSet {
        epoch: ABSENT.into(),
        members: Vec::new(),
    });
    let peers = page.strings("peers");
    let is_reached = |member: &&String| peers.contains(member);
    // `peers` doesn't contain the controller itself, which counts as reached.
    let reached = set.members.iter().filter(is_reached).count() + 1;
    let own = page.texts(&["complete_state", "votes", "held"]);
    let shared = vec![
        page.text("name"),
        set.epoch,
        set.members.join(","),
        reached.to_string(),
    ];
    [shared, own].concat()
}

fn sets_differ(pages: &[ControllerPage]) -> bool {
    let texts = pages.iter().filter_map(|page| page.page.as_ref().ok());
    let sets: BTreeSet<ReportedVotingSet> = texts
        .filter_map(|text| StatusPage::read(text).ok())
        .filter_map(|page| ReportedVotingSet::of(page.fields()?))
        .collect();
    sets.len() > 1
}
