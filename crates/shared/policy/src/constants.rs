//! Constants of the policy. Durations are in milliseconds unless a comment names another unit.

use crate::interface::Ms;

/// Time from the acknowledgement of a removal until it counts as complete: removals take effect late.
pub(crate) const REMOVAL_DELAY: Ms = 1000.0;
/// Time after which an unacknowledged endpoint counts as applied; extended while acknowledgements are slow.
pub(crate) const ACK_TIMEOUT: Ms = 3000.0;
/// How long a gone and unused host is remembered. Must exceed the delay of late reports.
pub(crate) const GONE_HOST_RETENTION: Ms = 60_000.0;
/// How long an update may fail the safety check before the fallback handles it.
pub(crate) const FALLBACK_DELAY: Ms = 2000.0;
/// Fraction of its weight that a host gets at the first step of slow start.
pub(crate) const SLOW_START_WEIGHT: f64 = 0.1;
/// Minimum duration of slow start; the configured warm-up time extends it.
pub(crate) const SLOW_START_DURATION: Ms = 10_000.0;
pub(crate) const SLOW_START_STEPS: f64 = 6.0;
/// The design asks for fewer than 30 hosts in a table.
pub(crate) const MAX_TABLE_HOSTS: usize = 29;
/// Number of hosts per pool when pools are created; below `MAX_TABLE_HOSTS`, so that pools can grow.
pub(crate) const PLANNED_POOL_HOSTS: usize = 24;
/// A proxy changes its pool only if the load per weight there stays lower by at least this factor.
pub(crate) const REBALANCE_MARGIN: f64 = 1.2;
/// Time constant of the exponential decay of a proxy's attempts, its announced rate included.
pub(crate) const PROXY_TRAFFIC_DECAY: Ms = 10_000.0;
/// Time between rounds. Withdrawals and binds of proxies without a usable host do not wait for one.
pub(crate) const ROUND_INTERVAL: Ms = 250.0;
/// Fraction of the channel's maximum queue that ordinary updates may fill.
pub(crate) const ORDINARY_QUEUE_FRACTION: f64 = 0.35;
/// Fraction of the channel's maximum queue that urgent updates may fill.
pub(crate) const URGENT_QUEUE_FRACTION: f64 = 0.9;
/// Fraction of a proxy's message cap that ordinary updates may use.
pub(crate) const ORDINARY_MESSAGE_FRACTION: f64 = 0.5;
/// Fraction of the drain grace period for which queued updates may delay a withdrawal.
pub(crate) const MAX_QUEUE_DELAY_FRACTION: f64 = 0.25;
/// Lower bound of the allowed queueing delay of withdrawals, which leaves room for binds of joining proxies.
pub(crate) const MIN_QUEUE_DELAY: Ms = 1800.0;
/// Time without a join after which a burst of joins counts as over.
pub(crate) const JOIN_QUIET_PERIOD: Ms = 300.0;
/// Smallest weight change that is sent, as a fraction of the target weight.
pub(crate) const MIN_WEIGHT_CHANGE: f64 = 0.1;
/// Smallest weight change that is sent in a healthy zone, as a fraction of the listed weight.
pub(crate) const MIN_LISTED_WEIGHT_CHANGE: f64 = 0.05;
/// Minimum weight of hosts of other zones at a cross-zone price of 1; divided by the price.
/// Not zero, so that the loss of a zone leaves no table empty.
pub(crate) const MIN_CROSS_ZONE_WEIGHT: f64 = 0.01;
/// Maximum weight of hosts of another zone, relative to hosts of the own zone.
pub(crate) const MAX_CROSS_ZONE_WEIGHT: f64 = 4.0;
/// Relative change of a cross-zone weight above which the weights are updated.
pub(crate) const CROSS_ZONE_TOLERANCE: f64 = 0.3;
/// Lower bound of a zone's capacity, as a fraction of the total capacity.
pub(crate) const MIN_ZONE_CAPACITY: f64 = 0.01;
/// Lower bound of a zone's headroom for movable load, as a fraction of its proportional load.
pub(crate) const MIN_ZONE_HEADROOM: f64 = 0.05;
/// Time constant of the exponential decay of reported totals, in report intervals.
pub(crate) const REPORT_DECAY_INTERVALS: f64 = 1.2;
/// Age above which reported totals are ignored, in report intervals.
pub(crate) const MAX_REPORT_AGE: f64 = 2.5;
/// Time until reports reflect an update, in multiples of report interval plus transit time.
pub(crate) const FEEDBACK_INTERVALS: f64 = 2.0;
/// Ratio of failed attempts at which a host is ejected, unless the other hosts are overloaded.
pub(crate) const EJECTION_FAILURE_RATIO: f64 = 0.85;
/// Attempts needed to eject a host; half as many after a recent ejection.
pub(crate) const MIN_EJECTION_ATTEMPTS: f64 = 4.0;
/// Minimum share of attempts or weight that hosts must keep for the others to be ejected: the load must be
/// carried by the rest.
pub(crate) const MIN_REMAINING_FRACTION: f64 = 0.3;
/// Number of steps to which the remaining weight of a table is rounded down.
pub(crate) const REMAINING_STEPS: f64 = 16.0;
/// Duration of a first ejection; doubled for the second and quadrupled for later ones.
pub(crate) const BASE_EJECTION_TIME: Ms = 4000.0;
/// Saturation above which a host is derated, if it is also twice as saturated as the rest.
pub(crate) const DERATE_SATURATION: f64 = 1.3;
/// Value of `DERATE_SATURATION` for hosts with few failed attempts.
pub(crate) const LOW_FAILURE_DERATE_SATURATION: f64 = 2.6;
/// Factor by which a step lowers the weight of a derated host; recovery divides by it.
pub(crate) const DERATE_STEP: f64 = 0.7;
pub(crate) const MIN_DERATING_FACTOR: f64 = 0.2;
pub(crate) const MIN_DERATE_ATTEMPTS: f64 = 7.0;
/// Time between two recovery steps of a derated host, in feedback delays.
pub(crate) const DERATE_RECOVERY_DELAYS: f64 = 9.0;
/// Ratio of mean latency to target latency at which the saturation is 1; later requests then miss the target.
pub(crate) const SATURATED_LATENCY_RATIO: f64 = 0.4;
/// Fraction of a zone's attempts, at its least saturated hosts, that determines its pressure.
/// Below 1, so that a few impaired hosts don't count for the whole zone.
pub(crate) const REPRESENTATIVE_FRACTION: f64 = 0.75;
/// Safety margin for the load of warming hosts, as a fraction of their limit.
pub(crate) const SAFE_WARMING_FRACTION: f64 = 0.5;
pub(crate) const OVERLOAD_SATURATION: f64 = 1.1;
pub(crate) const HEALTHY_SATURATION: f64 = 0.8;
/// Failure ratio above which a zone is overloaded, and probability at which ejections by proxies are assumed.
pub(crate) const OVERLOAD_FAILURE_RATIO: f64 = 0.1;
/// Factor that lowers the admitted fraction of the peak capacity at each step of an overload.
pub(crate) const ADMISSION_DECREASE: f64 = 0.85;
/// Largest factor by which one step raises the admitted fraction of the peak capacity.
pub(crate) const MAX_ADMISSION_INCREASE: f64 = 1.5;
/// Ratio to the previous saturation below which an overload counts as easing.
pub(crate) const EASING_RATIO: f64 = 0.97;
pub(crate) const MIN_CAPACITY_FRACTION: f64 = 0.15;
/// Admission level at which the search for a lower one ends.
pub(crate) const MIN_ADMISSION: f64 = 0.01;
/// Factor between the candidate levels in the search for an admission level.
pub(crate) const ADMISSION_SEARCH_STEP: f64 = 0.95;
/// Admission level below which client retries are assumed to inflate the demand.
pub(crate) const CLIENT_RETRY_ADMISSION: f64 = 0.95;
/// Admission level above which a zone that is not overloaded admits all requests.
pub(crate) const FULL_ADMISSION: f64 = 0.9;
