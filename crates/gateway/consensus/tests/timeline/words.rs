//! The words of a timeline's cells.
//!
//! | word | what happens |
//! | --- | --- |
//! | `start` | the controller starts; its first start is the whole system's |
//! | `new` | an empty controller starts that comes later |
//! | `shutdown` | it is told to end |
//! | `kill`, `power`, `wipe` | it ends: all that it wrote reaches the disk, what was not synced is lost, the disk is lost |
//! | `put5`, `rival5` | an operator puts version 5, or another text under that version |
//! | `get` | an operator reads |
//! | `claim:k:1`, `withdraw:k:1` | gateway 1 claims key k here, or withdraws its claim |
//! | `ahead=90000`, `back=90000` | its time of day steps by so many ms |
//! | `stall`, `recover`, `refuse` | its disk holds batches back, syncs them, or refuses them |
//! | `isolate`, `reconnect` | it is cut off from all others, or in session with them again |
//!
//! | word | what is checked |
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
pub enum Word {
    Do(Action),
    Expect(Expectation),
}

/// Why a word is none.
#[derive(Debug)]
pub enum WordError {
    Unknown,
    Number(ParseIntError),
}

impl std::fmt::Display for WordError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            WordError::Unknown => f.write_str("no word of a timeline"),
            WordError::Number(error) => write!(f, "not a number: {error}"),
        }
    }
}

impl From<ParseIntError> for WordError {
    fn from(error: ParseIntError) -> WordError {
        WordError::Number(error)
    }
}

impl FromStr for Word {
    type Err = WordError;

    fn from_str(word: &str) -> Result<Word, WordError> {
        if let Some((name, claimed)) = word.split_once(':') {
            return claim_word(name, claimed.parse()?);
        }
        if let Some((name, value)) = word.split_once('=') {
            return value_word(name, value);
        }
        plain_word(word)
    }
}

impl FromStr for Claimed {
    type Err = WordError;

    /// A key's letters and a gateway's number.
    fn from_str(claimed: &str) -> Result<Claimed, WordError> {
        let (key, gateway) = claimed.split_once(':').ok_or(WordError::Unknown)?;
        let digest = key.bytes().fold(0, |k, byte| k << 8 | u128::from(byte));
        Ok(Claimed {
            key: KeyDigest(digest),
            gateway: gateway.parse()?,
        })
    }
}

fn claim_word(name: &str, claimed: Claimed) -> Result<Word, WordError> {
    Ok(match name {
        "claim" => Word::Do(Action::Claim(claimed)),
        "withdraw" => Word::Do(Action::Withdraw(claimed)),
        "granted" => Word::Expect(Expectation::Granted(claimed)),
        "denied" => Word::Expect(Expectation::Denied(claimed)),
        "pending" => Word::Expect(Expectation::Pending(claimed)),
        "won" => Word::Expect(Expectation::Won(claimed)),
        "lost" => Word::Expect(Expectation::Lost(claimed)),
        _ => return Err(WordError::Unknown),
    })
}

fn value_word(name: &str, value: &str) -> Result<Word, WordError> {
    let version = || value.parse().map(ConfigurationVersion);
    Ok(match (name, value) {
        ("ahead", ms) => Word::Do(Action::StepTimeOfDay(ms.parse()?)),
        ("back", ms) => Word::Do(Action::StepTimeOfDay(-ms.parse::<i64>()?)),
        ("committed", _) => Word::Expect(Expectation::Committed(version()?)),
        ("acked", _) => Word::Expect(Expectation::Acknowledged(version()?)),
        ("other", _) => Word::Expect(Expectation::AcknowledgedOther(version()?)),
        ("unknown", _) => Word::Expect(Expectation::UnknownPut(version()?)),
        ("read", "unknown") => Word::Expect(Expectation::UnknownRead),
        ("read", _) => Word::Expect(Expectation::Read(version()?)),
        ("epoch", number) => Word::Expect(Expectation::Epoch(Epoch(number.parse()?))),
        ("voters", list) => {
            let members = list.split(',').map(|number| number.parse().map(NodeId));
            Word::Expect(Expectation::Voters(members.collect::<Result<_, _>>()?))
        }
        _ => return Err(WordError::Unknown),
    })
}

fn plain_word(word: &str) -> Result<Word, WordError> {
    if let Some(version) = word.strip_prefix("put") {
        let version = ConfigurationVersion(version.parse()?);
        return Ok(Word::Do(Action::Put(version)));
    }
    if let Some(version) = word.strip_prefix("rival") {
        let version = ConfigurationVersion(version.parse()?);
        return Ok(Word::Do(Action::PutRival(version)));
    }
    Ok(match word {
        "start" => Word::Do(Action::Start),
        "new" => Word::Do(Action::StartLater),
        "shutdown" => Word::Do(Action::ShutDown),
        "kill" => Word::Do(Action::Kill),
        "power" => Word::Do(Action::LosePower),
        "wipe" => Word::Do(Action::WipeDisk),
        "get" => Word::Do(Action::Get),
        "stall" => Word::Do(Action::SetDisk(DiskMode::Stalls)),
        "recover" => Word::Do(Action::SetDisk(DiskMode::Syncs)),
        "refuse" => Word::Do(Action::SetDisk(DiskMode::Refuses)),
        "isolate" => Word::Do(Action::Isolate),
        "reconnect" => Word::Do(Action::Reconnect),
        "votes" => Word::Expect(Expectation::Votes),
        "silent" => Word::Expect(Expectation::Silent),
        _ => return Err(WordError::Unknown),
    })
}
