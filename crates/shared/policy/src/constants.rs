//! Constants of the policy. Durations are in milliseconds unless a comment names another unit.

use crate::interface::Ms;

/// ms after its acknowledgement until a removal is certain (design; paper 4.3: removals late).
pub(crate) const REMOVAL_DELAY: Ms = 1000.0;
/// ms until an unacknowledged endpoint is certain (design); longer while the channel is seen to be slow.
pub(crate) const ACK_TIMEOUT: Ms = 3000.0;
/// ms after which a host is forgotten that is gone and that nothing names: far beyond late reports (ours).
pub(crate) const GONE_HOST_RETENTION: Ms = 60_000.0;
/// ms that an update may fail the check before the fallback takes it (design).
pub(crate) const FALLBACK_DELAY: Ms = 2000.0;
/// Part of its listed weight at which a started host enters (design).
pub(crate) const SLOW_START_WEIGHT: f64 = 0.1;
/// ms until a started host has all of its weight (design).
pub(crate) const SLOW_START_DURATION: Ms = 10_000.0;
/// Steps in which it gets there (ours).
pub(crate) const SLOW_START_STEPS: f64 = 6.0;
/// Hosts in a table at most (design: under 30).
pub(crate) const MAX_TABLE_HOSTS: usize = 29;
/// Hosts that a pool is planned for, with room to grow (ours).
pub(crate) const PLANNED_POOL_HOSTS: usize = 24;
/// A proxy changes to a pool that, with it, has this much less to carry for its weight (ours).
pub(crate) const REBALANCE_MARGIN: f64 = 1.2;
/// ms for which the rate that a proxy is said to bring counts beside what is seen to come (ours).
pub(crate) const PROXY_TRAFFIC_DECAY: Ms = 10_000.0;
/// ms between rounds of ordinary updates; withdrawals and proxies without a host wait for none (ours).
pub(crate) const ROUND_INTERVAL: Ms = 250.0;
/// Part of the channel's limit that ordinary updates may fill (ours).
pub(crate) const ORDINARY_QUEUE_PART: f64 = 0.35;
/// Part of the channel's limit that urgent updates may fill (ours).
pub(crate) const URGENT_QUEUE_PART: f64 = 0.9;
/// Part of a proxy's messages that ordinary updates may use (ours).
pub(crate) const ORDINARY_MESSAGE_PART: f64 = 0.5;
/// Part of a drain's grace for which other updates may lie in the channel, by its data sheet (ours).
pub(crate) const MAX_QUEUE_AHEAD_OF_DRAINS: f64 = 0.25;
/// ms for which they may lie there at least: usual joins are bound at once (ours).
pub(crate) const MIN_QUEUE_AHEAD_OF_DRAINS: Ms = 1800.0;
/// ms without a join after which none is on the way (ours).
pub(crate) const JOIN_QUIET_PERIOD: Ms = 300.0;
/// Smallest change of weight worth an order, as a part of the target (ours).
pub(crate) const MIN_WEIGHT_CHANGE: f64 = 0.1;
/// Smallest change of weight worth an order in a healthy zone, as a part of what is listed (ours).
pub(crate) const MIN_LISTED_WEIGHT_CHANGE: f64 = 0.05;
/// Least weight of other zones' hosts over the price of a crossing: no zone's loss empties a table (ours).
pub(crate) const MIN_CROSS_ZONE_WEIGHT: f64 = 0.01;
/// Largest weight of other zones' hosts beside one's own (ours).
pub(crate) const MAX_CROSS_ZONE_WEIGHT: f64 = 4.0;
/// Part by which a cross-zone weight must be off to be set anew (ours).
pub(crate) const CROSS_ZONE_TOLERANCE: f64 = 0.3;
/// Least part of all capacity that a zone is taken to have (ours).
pub(crate) const MIN_ZONE_CAPACITY: f64 = 0.01;
/// Least part of a zone's own load that is room for what may move there (ours).
pub(crate) const MIN_ZONE_ROOM: f64 = 0.05;
/// Report intervals over which totals decay to a third (ours).
pub(crate) const REPORT_DECAY: f64 = 1.2;
/// Report intervals after which totals are too old to go by (ours).
pub(crate) const MAX_REPORT_AGE: f64 = 2.5;
/// Report intervals and transits until the effect of an update shows in the totals (ours).
pub(crate) const FEEDBACK_INTERVALS: f64 = 2.0;
/// Part of failed attempts from which a host is ejected, while the others are not overloaded (ours).
pub(crate) const EJECTION_FAILURES: f64 = 0.85;
/// Attempts from which a host is ejected; half of them at a relapse (ours).
pub(crate) const EJECTION_ATTEMPTS: f64 = 4.0;
/// Part of all attempts that the others took, or of a table that is left: they can carry the rest (ours).
pub(crate) const MIN_REMAINING_PART: f64 = 0.3;
/// Steps in which the weight that is left in a table is counted (ours).
pub(crate) const REMAINING_STEPS: f64 = 16.0;
/// ms that an ejected host stays out, doubled up to four times (ours).
pub(crate) const BASE_EJECTION_TIME: Ms = 4000.0;
/// Saturation from which a host that is twice as saturated as the rest loses weight (ours).
pub(crate) const DERATE_SATURATION: f64 = 1.3;
/// The same while hardly an attempt fails: then weights stay as listed (ours).
pub(crate) const CALM_DERATE_SATURATION: f64 = 2.6;
/// Part of its weight that a step leaves a derated host; a healthy one gains as much (ours).
pub(crate) const DERATE_STEP: f64 = 0.7;
/// Least part of its weight that a derated host keeps (ours).
pub(crate) const MIN_DERATED_PART: f64 = 0.2;
/// Attempts from which a host may be derated (ours).
pub(crate) const DERATE_ATTEMPTS: f64 = 7.0;
/// Feedback delays between two gains of a derated host (ours).
pub(crate) const DERATE_RECOVERY_DELAYS: f64 = 9.0;
/// Mean latency of good attempts, as a part of the target, from which later ones miss it: saturation 1
/// (ours).
pub(crate) const SATURATED_LATENCY: f64 = 0.4;
/// Part of the attempts, at the least saturated hosts, that speaks for all: a few struck hosts do not (ours).
pub(crate) const REPRESENTATIVE_PART: f64 = 0.75;
/// Safe part of what makes a warming host fail, over what a weight usually carries (ours).
pub(crate) const SAFE_WARMING_PART: f64 = 0.5;
/// Saturation from which a zone is overloaded (ours).
pub(crate) const OVERLOAD_SATURATION: f64 = 1.1;
/// Saturation under which a zone or a host is healthy (ours).
pub(crate) const HEALTHY_SATURATION: f64 = 0.8;
/// Failed part from which a zone is overloaded; also the chance of a run of failures from which proxies are
/// taken to eject a host (ours).
pub(crate) const OVERLOAD_FAILURES: f64 = 0.1;
/// Step down, in an overload, of the admitted part of what hosts were seen to carry (ours).
pub(crate) const ADMISSION_DECREASE: f64 = 0.85;
/// Largest step up of that part when healthy (ours).
pub(crate) const MAX_ADMISSION_INCREASE: f64 = 1.5;
/// Part of the last saturation under which an overload is easing (ours).
pub(crate) const EASING_PART: f64 = 0.97;
/// Least admitted part of what hosts were seen to carry (ours).
pub(crate) const MIN_CAPACITY_PART: f64 = 0.15;
/// Least admission level (ours).
pub(crate) const MIN_ADMISSION: f64 = 0.01;
/// Steps in which a level is searched at which what is admitted can be carried (ours).
pub(crate) const ADMISSION_SEARCH_STEP: f64 = 0.95;
/// Level under which rejected clients are seen to ask again (ours).
pub(crate) const REOPENED_ADMISSION: f64 = 0.95;
/// Level from which a zone that is not overloaded admits all (ours).
pub(crate) const OPEN_ADMISSION: f64 = 0.9;
