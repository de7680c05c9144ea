//! Records that the decisions rest on. Look-ups and arithmetic only: what is ordered is decided in the policy
//! files.

mod attempts;
mod hosts;
mod outbox;
mod proxies;
mod reports;
mod table_set;
mod updates;
mod verdicts;
mod zones;

pub(crate) use attempts::AttemptTotals;
pub(crate) use hosts::{ChannelHost, HostList, ListedHost, WithdrawalOrder, WithdrawalRepeat};
pub(crate) use outbox::{Outbox, ProxyLines, UnackedBatch, UpdateCost};
pub(crate) use proxies::{GroupBinding, ModeledEndpoint, Proxy, ProxyRegistry};
pub(crate) use reports::HostReports;
pub(crate) use table_set::{Admission, ClassGroup, Table, TableKey, TableSet};
pub(crate) use updates::{PlannedUpdate, TableStatus, URGENT, Update, UpdatePlan};
pub(crate) use verdicts::{Candidate, Derating, HostVerdicts, Outlier, WarmingLimits};
pub(crate) use zones::{CrossZoneWeights, ZoneBalance, ZonePressure, ZoneState};
