//! Steps that the cells of a timeline consist of.
//!
//! | action | effect |
//! | --- | --- |
//! | `start` | starts the controller, as part of the first start of the deployment |
//! | `new` | starts an empty controller that joins later |
//! | `shutdown` | announces the controller's shutdown |
//! | `kill` | stops the process; the operating system still writes unsynced batches |
//! | `power`, `wipe` | stops the controller and loses unsynced batches, or the whole disk |
//! | `copy`, `restore` | copies the disk; stops the controller and restarts it with that copy |
//! | `put5`, `rival5` | an operator puts version 5; another operator puts a different text under version 5 |
//! | `get` | an operator reads the configuration |
//! | `claim:k:1`, `withdraw:k:1` | gateway 1 claims key k here, or withdraws its claim |
//! | `claim:k&a:1`, `claim:k!a:1` | the same for an operation with alias a, which it shares, or holds exclusively |
//! | `ahead=90000`, `back=90000` | steps the wall clock by this number of ms |
//! | `stall`, `recover`, `refuse` | the disk delays batches, syncs them, or refuses them |
//! | `takeover`, `window7`, `sent7` | proposes the next state of the usage duty: the controller takes over, settles its
//! report of window 7, or marks that report as delivered |
//! | `skip` | proposes a state of the usage duty at the position after the next one |
//! | `isolate`, `reconnect` | ends or restores the sessions with all other controllers |
//!
//! | expectation | condition |
//! | --- | --- |
//! | `committed=5` | version 5 is committed here |
//! | `acked=5`, `other=5` | the latest put acknowledged here is 5; `other`: a different text is committed under 5 |
//! | `unknown=5` | the latest put with an unknown result here is version 5 |
//! | `read=5`, `read=unknown` | the latest read here returned version 5, or no configuration |
//! | `duty=3`, `holder=1`, `fence=2`, `settled=7` | the newest state of the usage duty known here: position (0 for none),
//! holder, fence, and highest settled window |
//! | `duty-records=2` | number of records of the usage duty on the disk |
//! | `epoch=2`, `voters=1,2,5` | epoch or members of the voting set adopted here |
//! | `votes`, `silent` | the controller runs, and votes or doesn't vote |
//! | `granted:k:1`, `denied:k:1`, `pending:k:1` | the latest answer here to gateway 1's claim of key k |
//! | `abstained:k:1` | as `denied:k:1`, and the answer names no holder of the key |
//! | `won:k:1`, `lost:k:1` | whether a majority granted the claim |

use rushcourse_types::{
    ConfigurationVersion, DutySequence, Epoch, Fence, KeyAlias, KeyDigest, NodeId, WindowNumber,
};
use std::num::ParseIntError;
use std::str::FromStr;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GatewayClaim {
    pub key: KeyDigest,
    pub gateway: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskMode {
    Syncs,
    Stalls,
    Refuses,
}

/// A change of the state of the usage duty.
#[derive(Clone, Copy, Debug)]
pub enum DutyAction {
    TakeOver,
    Settle(WindowNumber),
    Delivered(WindowNumber),
    /// Takes over at the position after the next one.
    SkipPosition,
}

/// An action on a controller, its disk, its clock or its network.
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
    Claim(GatewayClaim, Option<KeyAlias>),
    Withdraw(GatewayClaim),
    /// Steps the wall clock by this number of ms.
    StepWallClock(i64),
    SetDisk(DiskMode),
    Duty(DutyAction),
    Isolate,
    Reconnect,
}

/// A condition that is checked at a controller.
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
    Duty(DutySequence),
    Holder(NodeId),
    Fence(Fence),
    Settled(WindowNumber),
    DutyRecords(usize),
    Votes,
    DoesNotVote,
    Granted(GatewayClaim),
    Denied(GatewayClaim),
    Abstained(GatewayClaim),
    Pending(GatewayClaim),
    Won(GatewayClaim),
    Lost(GatewayClaim),
}

#[derive(Clone, Debug)]
pub enum Step {
    Do(Action),
    Expect(Expectation),
}

/// Reason why a text is not a step.
#[derive(Debug)]
pub enum StepError {
    Unknown,
    Number(ParseIntError),
}

impl std::fmt::Display for StepError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StepError::Unknown => f.write_str("unknown timeline step"),
            StepError::Number(error) => write!(f, "invalid number in timeline step: {error}"),
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
        if let Some(argument) = step.strip_prefix("claim:") {
            return claim_action(argument);
        }
        if let Some((name, argument)) = step.split_once(':') {
            return claim_step(name, argument.parse()?);
        }
        if let Some((name, value)) = step.split_once('=') {
            return value_step(name, value);
        }
        plain_step(step)
    }
}

impl FromStr for GatewayClaim {
    type Err = StepError;

    /// Parses the letters of a key and the number of a gateway, separated by a colon.
    fn from_str(text: &str) -> Result<GatewayClaim, StepError> {
        let (key, gateway) = text.split_once(':').ok_or(StepError::Unknown)?;
        Ok(GatewayClaim {
            key: digest(key),
            gateway: gateway.parse()?,
        })
    }
}

fn digest(letters: &str) -> KeyDigest {
    let bytes = letters.bytes();
    KeyDigest(bytes.fold(0, |k, byte| k << 8 | u128::from(byte)))
}

/// Parses the key of a claim, an optional alias behind `&` (shared) or `!` (exclusive), and the number of a gateway.
fn claim_action(text: &str) -> Result<Step, StepError> {
    let (keys, gateway) = text.split_once(':').ok_or(StepError::Unknown)?;
    let (key, alias) = match keys.split_once(['&', '!']) {
        None => (keys, None),
        Some((key, alias)) => {
            let alias = KeyAlias {
                digest: digest(alias),
                is_shared: keys.contains('&'),
            };
            (key, Some(alias))
        }
    };
    let gateway_claim = GatewayClaim {
        key: digest(key),
        gateway: gateway.parse()?,
    };
    Ok(Step::Do(Action::Claim(gateway_claim, alias)))
}

fn claim_step(name: &str, gateway_claim: GatewayClaim) -> Result<Step, StepError> {
    Ok(match name {
        "withdraw" => Step::Do(Action::Withdraw(gateway_claim)),
        "granted" => Step::Expect(Expectation::Granted(gateway_claim)),
        "denied" => Step::Expect(Expectation::Denied(gateway_claim)),
        "abstained" => Step::Expect(Expectation::Abstained(gateway_claim)),
        "pending" => Step::Expect(Expectation::Pending(gateway_claim)),
        "won" => Step::Expect(Expectation::Won(gateway_claim)),
        "lost" => Step::Expect(Expectation::Lost(gateway_claim)),
        _ => return Err(StepError::Unknown),
    })
}

fn value_step(name: &str, value: &str) -> Result<Step, StepError> {
    let version = || value.parse().map(ConfigurationVersion);
    Ok(match (name, value) {
        ("ahead", ms) => Step::Do(Action::StepWallClock(ms.parse()?)),
        ("back", ms) => Step::Do(Action::StepWallClock(-ms.parse::<i64>()?)),
        ("committed", _) => Step::Expect(Expectation::Committed(version()?)),
        ("acked", _) => Step::Expect(Expectation::Acknowledged(version()?)),
        ("other", _) => Step::Expect(Expectation::AcknowledgedOther(version()?)),
        ("unknown", _) => Step::Expect(Expectation::UnknownPut(version()?)),
        ("read", "unknown") => Step::Expect(Expectation::UnknownRead),
        ("read", _) => Step::Expect(Expectation::Read(version()?)),
        ("duty", number) => Step::Expect(Expectation::Duty(DutySequence(number.parse()?))),
        ("holder", node) => Step::Expect(Expectation::Holder(NodeId(node.parse()?))),
        ("fence", number) => Step::Expect(Expectation::Fence(Fence(number.parse()?))),
        ("settled", number) => Step::Expect(Expectation::Settled(WindowNumber(number.parse()?))),
        ("duty-records", count) => Step::Expect(Expectation::DutyRecords(count.parse()?)),
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
    if let Some(window) = step.strip_prefix("window") {
        let action = DutyAction::Settle(WindowNumber(window.parse()?));
        return Ok(Step::Do(Action::Duty(action)));
    }
    if let Some(window) = step.strip_prefix("sent") {
        let action = DutyAction::Delivered(WindowNumber(window.parse()?));
        return Ok(Step::Do(Action::Duty(action)));
    }
    Ok(match step {
        "skip" => Step::Do(Action::Duty(DutyAction::SkipPosition)),
        "takeover" => Step::Do(Action::Duty(DutyAction::TakeOver)),
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
        "silent" => Step::Expect(Expectation::DoesNotVote),
        _ => return Err(StepError::Unknown),
    })
}
