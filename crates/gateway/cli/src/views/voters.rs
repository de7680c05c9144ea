//! The voting set as each controller sees it.

use super::each::table_of_each;
use crate::control_api::ControllerPage;
use crate::error::CliError;
use crate::status_page::{ABSENT, Fields, StatusPage};
use std::collections::BTreeSet;

const EPOCHS_DIFFER: &str = "controllers differ: not all vote in one epoch\n";

/// A voting set as a page reports it.
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

/// What each controller says of itself, how many members it is in session with, and whether controllers differ.
///
/// # Errors
/// [`CliError::InvalidPage`]: a page that can't be read.
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
    let table = table_of_each(pages, &headings, |page| Some(voter_row(page)))?;
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
    // A controller is no peer of its own.
    let reached = set.members.iter().filter(is_reached).count() + 1;
    let own = page.texts(&["remembers", "votes", "held"]);
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
