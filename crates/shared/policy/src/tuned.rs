//! Every tuned value: unit, reason, source ("ours": a default we chose, by reasoning and simulated days).

use crate::interface::Ms;

/// ms after its answer until a removal is certain (design; paper 4.3: removals late).
pub(crate) const REMOVAL_DELAY: Ms = 1000.0;
/// ms until an unanswered line counts as certain (design); longer while the channel is seen to be slow.
pub(crate) const ANSWER_TIMEOUT: Ms = 3000.0;
/// ms after which a host is forgotten that is gone and that nothing names: far beyond late reports (ours).
pub(crate) const FORGOTTEN_AFTER: Ms = 60_000.0;
/// ms that a change may fail the check before the fallback takes it (design).
pub(crate) const FALLBACK_AFTER: Ms = 2000.0;
/// Part of its listed weight at which a started host enters, ms until it has all (design), steps (ours).
pub(crate) const RAMP_FROM: f64 = 0.1;
pub(crate) const RAMP_OVER: Ms = 10_000.0;
pub(crate) const RAMP_STEPS: f64 = 6.0;
/// Lines in a table at most (design: under 30), and hosts a pool is planned for, with room to grow (ours).
pub(crate) const TABLE_MOST: usize = 29;
pub(crate) const POOL_PLAN: usize = 24;
/// A proxy changes to a pool that, with it, has this much less to carry for its weight (ours).
pub(crate) const EVEN: f64 = 1.2;
/// ms for which the rate that a proxy is said to bring counts beside what is seen to come (ours).
pub(crate) const RATE_HOLDS: Ms = 10_000.0;
/// ms between rounds of ordinary changes; withdrawals and bare proxies don't wait for a round (ours).
pub(crate) const ROUND: Ms = 250.0;
/// Parts of the channel's limit for ordinary and urgent orders; of a proxy's messages for ordinary (ours).
pub(crate) const ORDINARY_PART: f64 = 0.35;
pub(crate) const URGENT_PART: f64 = 0.9;
pub(crate) const ORDINARY_MESSAGES: f64 = 0.5;
/// Part of a drain's grace for which other orders may lie in the channel, by its data sheet, and at least so
/// many ms of it: usual joinings are bound at once (ours).
pub(crate) const AHEAD_OF_DRAINS: f64 = 0.25;
pub(crate) const AHEAD_LEAST: Ms = 1800.0;
/// ms without a joining after which none is on the way (ours).
pub(crate) const JOINING: Ms = 300.0;
/// Smallest change of weight worth an order: part of the target, and of what is listed in a well zone (ours).
pub(crate) const WORTH_A_LINE: f64 = 0.1;
pub(crate) const WORTH_OF_LISTED: f64 = 0.05;
/// Other zones' lines weigh at least this over the price of a crossing, 1 at most: never 0, so that no zone's
/// loss empties a table. Part by which a reach must be off to be set anew (ours).
pub(crate) const ACROSS: f64 = 0.01;
pub(crate) const REACH_MOVES: f64 = 0.3;
/// Report periods over which sums decay to a third, and after which they are too old to go by (ours).
pub(crate) const MEMORY: f64 = 1.2;
pub(crate) const STALE: f64 = 2.5;
/// A host is ejected from this part of failed tries and so many tries, while the others are not jammed and
/// took this part of all tries: they can carry it. ms that it stays out, doubled up to four times (ours).
pub(crate) const OUTLIER_FAILS: f64 = 0.85;
pub(crate) const OUTLIER_TRIES: f64 = 4.0;
pub(crate) const REST_PART: f64 = 0.3;
pub(crate) const OUT_FOR: Ms = 4000.0;
/// Strain from which a host that strains twice as much as the rest loses weight, a higher one while hardly
/// a try fails (then weights stay as listed); it comes back once the host is well. The step, the least
/// part, the tries it takes, pauses between gains (ours).
pub(crate) const GRADE_DOWN: f64 = 1.3;
pub(crate) const GRADE_CALM: f64 = 2.6;
pub(crate) const GRADE_STEP: f64 = 0.7;
pub(crate) const GRADE_LEAST: f64 = 0.2;
pub(crate) const GRADE_TRIES: f64 = 7.0;
pub(crate) const GRADE_REST: f64 = 9.0;

/// Mean time of good answers, as a part of the aim, at which hosts are full: later ones miss it. Part of the
/// tries, at the hosts that strain least, that speaks for the fleet: a few struck hosts do not (ours).
pub(crate) const FULL_LAG: f64 = 0.4;
pub(crate) const BETTER_PART: f64 = 0.75;
/// Safe part of what makes a cold host fall over, over what a weight usually carries (ours).
pub(crate) const COLD_PART: f64 = 0.5;
/// Fullness or failed part from which a zone is jammed, under which it is well; the part also as the chance
/// of a run of failures that makes proxies keep away, from which they are taken to flee (ours).
pub(crate) const FULL_DOWN: f64 = 1.1;
pub(crate) const FULL_UP: f64 = 0.8;
pub(crate) const FAILS_DOWN: f64 = 0.1;
/// Part let in of what hosts were seen to carry: steps in a jam and when well, its least; least level (ours).
pub(crate) const PART_DOWN: f64 = 0.85;
pub(crate) const PART_UP: f64 = 1.5;
pub(crate) const PART_LEAST: f64 = 0.15;
pub(crate) const LEVEL_LEAST: f64 = 0.01;
