//! The steps that the cells of a timeline are made of.
//!
//! | step | what happens |
//! | --- | --- |
//! | `start` | the controller starts; its first start is the whole system's |
//! | `new` | an empty controller starts that comes later |
//! | `shutdown` | it is told to end |
//! | `kill`, `power`, `wipe` | it ends: all that it wrote reaches the disk, what was not synced is lost, the disk is lost |
//! | `copy`, `restore` | its disk is copied; it ends, and comes back with that copy |
//! | `put5`, `rival5` | an operator puts version 5, or another text under that version |
//! | `get` | an operator reads |
//! | `claim:k:1`, `withdraw:k:1` | gateway 1 claims key k here, or withdraws its claim |
//! | `ahead=90000`, `back=90000` | its time of day steps by so many ms |
//! | `stall`, `recover`, `refuse` | its disk holds batches back, syncs them, or refuses them |
//! | `isolate`, `reconnect` | it is cut off from all others, or in session with them again |
//!
//! | step | what is checked |
//! | --- | --- |
//! | `committed=5` | version 5 is committed here |
//! | `acked=5`, `other=5` | the last put that was acknowledged here is 5; and another text is committed under 5 |
//! | `unknown=5` | the last put that was left without a clear answer here is 5 |
//! | `read=5`, `read=unknown` | the last read here gave version 5, or nothing |
//! | `epoch=2`, `voters=1,2,5` | the voting set here |
//! | `votes`, `silent` | it votes in its set, or it runs and does not |
//! | `granted:k:1`, `denied:k:1`, `pending:k:1` | its last answer to the claim of gateway 1 |
//! | `won:k:1`, `lost:k:1` | a majority granted the claim, or not |

use rushcourse_types::{ConfigurationVersion, Epoch, KeyDigest, NodeId};
use std::num::ParseIntError;
use std::str::FromStr;

/// A claim of a key by one of the gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Claimed {
    pub key: KeyDigest,
    pub gateway: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskMode {
    Syncs,
    Stalls,
    Refuses,
}

/// What happens to a controller.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    Start,
    StartLater,
    ShutDown,
    Kill,
    LosePower,
    WipeDisk,
    CopyDisk,
    RestoreDisk,
    Put(ConfigurationVersion),
    PutRival(ConfigurationVersion),
    Get,
    Claim(Claimed),
    Withdraw(Claimed),
    /// The time of day steps by so many ms.
    StepTimeOfDay(i64),
    SetDisk(DiskMode),
    Isolate,
    Reconnect,
}

/// What is checked at a controller.
#[derive(Clone, Debug)]
pub enum Expectation {
    Committed(ConfigurationVersion),
    Acknowledged(ConfigurationVersion),
    AcknowledgedOther(ConfigurationVersion),
    UnknownPut(ConfigurationVersion),
    Read(ConfigurationVersion),
    UnknownRead,
    Epoch(Epoch),
    Voters(Vec<NodeId>),
    Votes,
    Silent,
    Granted(Claimed),
    Denied(Claimed),
    Pending(Claimed),
    Won(Claimed),
    Lost(Claimed),
}

#[derive(Clone, Debug)]
pub enum Step {
    Do(Action),
    Expect(Expectation),
}

/// Why a text is no step.
#[derive(Debug)]
pub enum StepError {
    Unknown,
    Number(ParseIntError),
}

impl std::fmt::Display for StepError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StepError::Unknown => f.write_str("no step of a timeline"),
            StepError::Number(error) => write!(f, "not a number: {error}"),
        }
    }
}

impl From<ParseIntError> for StepError {
    fn from(error: ParseIntError) -> StepError {
        StepError::Number(error)
    }
}

impl FromStr for Step {
    type Err = StepError;

    fn from_str(step: &str) -> Result<Step, StepError> {
        if let Some((name, claimed)) = step.split_once(':') {
            return claim_step(name, claimed.parse()?);
        }
        if let Some((name, value)) = step.split_once('=') {
            return value_step(name, value);
        }
        plain_step(step)
    }
}

impl FromStr for Claimed {
    type Err = StepError;

    /// A key's letters and a gateway's number.
    fn from_str(claimed: &str) -> Result<Claimed, StepError> {
        let (key, gateway) = claimed.split_once(':').ok_or(StepError::Unknown)?;
        let digest = key.bytes().fold(0, |k, byte| k << 8 | u128::from(byte));
        Ok(Claimed {
            key: KeyDigest(digest),
            gateway: gateway.parse()?,
        })
    }
}

fn claim_step(name: &str, claimed: Claimed) -> Result<Step, StepError> {
    Ok(match name {
        "claim" => Step::Do(Action::Claim(claimed)),
        "withdraw" => Step::Do(Action::Withdraw(claimed)),
        "granted" => Step::Expect(Expectation::Granted(claimed)),
        "denied" => Step::Expect(Expectation::Denied(claimed)),
        "pending" => Step::Expect(Expectation::Pending(claimed)),
        "won" => Step::Expect(Expectation::Won(claimed)),
        "lost" => Step::Expect(Expectation::Lost(claimed)),
        _ => return Err(StepError::Unknown),
    })
}

fn value_step(name: &str, value: &str) -> Result<Step, StepError> {
    let version = || value.parse().map(ConfigurationVersion);
    Ok(match (name, value) {
        ("ahead", ms) => Step::Do(Action::StepTimeOfDay(ms.parse()?)),
        ("back", ms) => Step::Do(Action::StepTimeOfDay(-ms.parse::<i64>()?)),
        ("committed", _) => Step::Expect(Expectation::Committed(version()?)),
        ("acked", _) => Step::Expect(Expectation::Acknowledged(version()?)),
        ("other", _) => Step::Expect(Expectation::AcknowledgedOther(version()?)),
        ("unknown", _) => Step::Expect(Expectation::UnknownPut(version()?)),
        ("read", "unknown") => Step::Expect(Expectation::UnknownRead),
        ("read", _) => Step::Expect(Expectation::Read(version()?)),
        ("epoch", number) => Step::Expect(Expectation::Epoch(Epoch(number.parse()?))),
        ("voters", list) => {
            let members = list.split(',').map(|number| number.parse().map(NodeId));
            Step::Expect(Expectation::Voters(members.collect::<Result<_, _>>()?))
        }
        _ => return Err(StepError::Unknown),
    })
}

fn plain_step(step: &str) -> Result<Step, StepError> {
    if let Some(version) = step.strip_prefix("put") {
        let version = ConfigurationVersion(version.parse()?);
        return Ok(Step::Do(Action::Put(version)));
    }
    if let Some(version) = step.strip_prefix("rival") {
        let version = ConfigurationVersion(version.parse()?);
        return Ok(Step::Do(Action::PutRival(version)));
    }
    Ok(match step {
        "start" => Step::Do(Action::Start),
        "new" => Step::Do(Action::StartLater),
        "shutdown" => Step::Do(Action::ShutDown),
        "kill" => Step::Do(Action::Kill),
        "power" => Step::Do(Action::LosePower),
        "wipe" => Step::Do(Action::WipeDisk),
        "copy" => Step::Do(Action::CopyDisk),
        "restore" => Step::Do(Action::RestoreDisk),
        "get" => Step::Do(Action::Get),
        "stall" => Step::Do(Action::SetDisk(DiskMode::Stalls)),
        "recover" => Step::Do(Action::SetDisk(DiskMode::Syncs)),
        "refuse" => Step::Do(Action::SetDisk(DiskMode::Refuses)),
        "isolate" => Step::Do(Action::Isolate),
        "reconnect" => Step::Do(Action::Reconnect),
        "votes" => Step::Expect(Expectation::Votes),
        "silent" => Step::Expect(Expectation::Silent),
        _ => return Err(StepError::Unknown),
    })
}
