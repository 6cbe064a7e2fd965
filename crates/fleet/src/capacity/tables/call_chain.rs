//! How added latency, retries and timeouts accumulate over the levels of a deep call chain.

use super::{format_estimate, number, table};
use crate::capacity::{Capacity, Demand, Mode, Role};

/// Latency, retries and timeouts of a call chain of the plan's depth.
pub fn call_chain(capacity: &Capacity) -> String {
    let plan = &capacity.plan;
    let (s, a) = (&plan.sizes, &plan.assumptions);
    let (depth, added) = (s.depth.value, plan.budgets.added_ms.value);
    let levels = number(depth);
    let (attempts, share) = (a.attempts.value, a.retry_share.value);
    let deadline = a.deadline_ms.value;
    let demand = Demand::steady_state(plan, Mode::Whole, s.servers.value);
    let measured = |mode| capacity.estimate(mode, Role::Sidecar, "added_us_p99", &demand);
    let all_levels = |mode| format_estimate(&measured(mode), 1e-3 * depth);
    // Levels at which an even split of the timeout leaves an attempt at least the latency budget of all sidecars
    // below it.
    let leaves_enough =
        |level: &u32| deadline / attempts.powi(*level as i32) >= added * (depth - f64::from(*level));
    let lowest_level = (1..=depth as u32).take_while(leaves_enough).last();
    let lowest_level = lowest_level.map_or_else(|| "none".into(), |level| number(f64::from(level)));
    let retry_budget = "retry budget of each sidecar";
    let propagated_today = "X-Time-Left, from each sidecar to its server";
    let missing_propagation = "servers that propagate the remaining time of a call to their own calls";
    let rows = [
        [
            format!("added by a chain of {levels} sidecars, each at its budget, ms"),
            number(added * depth),
            "letter".into(),
            "none".into(),
            "a budget per call chain".into(),
        ],
        [
            "the same with each sidecar at its estimated p99, ms: whole; services".into(),
            format!("{}; {}", all_levels(Mode::Whole), all_levels(Mode::Services)),
            "measured".into(),
            "none".into(),
            "a budget per call chain".into(),
        ],
        [
            "calls of that depth in which a level exceeds its p99, levels independent, %".into(),
            number(100.0 * (1.0 - 0.99f64.powf(depth))),
            "letter".into(),
            "none".into(),
            "a stricter quantile for each level".into(),
        ],
        [
            format!("share of calls within budget that each level needs for 99% over {levels} levels, %"),
            format!("{:.3}", 100.0 * 0.99f64.powf(1.0 / depth)),
            "letter".into(),
            "none".into(),
            "a stricter quantile for each level".into(),
        ],
        [
            "share of each level if the budget were for the whole chain, ms".into(),
            number(added / depth),
            "letter".into(),
            "none".into(),
            "a budget per call chain".into(),
        ],
        [
            format!(
                "attempts at the lowest level for one call if all fail, {} at each level",
                number(attempts)
            ),
            number(attempts.powf(depth)),
            a.attempts.source.name().into(),
            format!("{retry_budget}, below"),
            "-".into(),
        ],
        [
            "the same limited by the retry budgets, on average".into(),
            number((1.0 + share).powf(depth)),
            a.retry_share.source.name().into(),
            retry_budget.into(),
            "a rejection that the levels above must not retry".into(),
        ],
        [
            "retries in the budgets of all sidecars at the start of a failure".into(),
            number(a.retry_burst.value * s.servers.value),
            a.retry_burst.source.name().into(),
            retry_budget.into(),
            "-".into(),
        ],
        [
            format!(
                "time left for an attempt at the lowest level if each level splits a timeout of {} ms evenly over its attempts, ms",
                number(deadline)
            ),
            number(deadline / attempts.powf(depth)),
            a.deadline_ms.source.name().into(),
            "no retries that would leave an attempt too little time".into(),
            missing_propagation.into(),
        ],
        [
            "lowest level at which that split covers the latency budgets of the sidecars below it".into(),
            lowest_level,
            a.deadline_ms.source.name().into(),
            "as above".into(),
            missing_propagation.into(),
        ],
        [
            "time left for the lowest server if no time is reserved for retries, less added latency, ms"
                .into(),
            number(deadline - added * depth),
            a.deadline_ms.source.name().into(),
            propagated_today.into(),
            missing_propagation.into(),
        ],
    ];
    let rows: Vec<Vec<String>> = rows.map(|r| r.to_vec()).to_vec();
    table(&["what", "figure", "source", "mechanism today", "missing mechanism"], &rows)
}
