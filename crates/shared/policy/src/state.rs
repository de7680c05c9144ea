//! The director's records, with look-ups and arithmetic on them. The decisions are made in other modules.

mod attempts;
mod candidates;
mod host_health;
mod hosts;
mod outbox;
mod proxies;
mod reports;
mod table_set;
mod updates;
mod zones;

pub(crate) use attempts::AttemptTotals;
pub(crate) use candidates::{Candidate, WarmingLimits};
pub(crate) use host_health::{Derating, HostHealth, Outlier};
pub(crate) use hosts::{ChannelHost, HostList, ListedHost, SentWithdrawal, WithdrawalRepeat};
pub(crate) use outbox::{Outbox, ProxyLines, UnackedBatch, UpdateCost};
pub(crate) use proxies::{GroupBinding, ModeledEndpoint, Proxy, ProxyRegistry};
pub(crate) use reports::HostReports;
pub(crate) use table_set::{Admission, ClassGroup, Table, TableKey, TableSet};
pub(crate) use updates::{PlannedUpdate, TableStatus, URGENT, Update, UpdatePlan};
pub(crate) use zones::{CrossZoneWeights, ZoneBalance, ZonePressure, ZoneState};
