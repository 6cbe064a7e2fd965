//! What a call's depth makes of what each level adds, retries and waits.

use super::{number, table, told};
use crate::capacity::{Capacity, Demand, Mode, Role};

/// What the levels of a deep call come to.
pub fn of_levels(capacity: &Capacity) -> String {
    let plan = &capacity.plan;
    let (s, a) = (&plan.sizes, &plan.assumptions);
    let (depth, added) = (s.depth.value, plan.budgets.added_ms.value);
    let levels = number(depth);
    let (attempts, share) = (a.attempts.value, a.retry_share.value);
    let deadline = a.deadline_ms.value;
    let demand = Demand::ordinary(plan, Mode::Whole, s.servers.value);
    let measured = |mode| capacity.estimate(mode, Role::Sidecar, "added_us_p99", &demand);
    let all_levels = |mode| told(&measured(mode), 1e-3 * depth);
    // Down to here an even split leaves an attempt what the sidecars beneath it may add.
    let splits = |level: &u32| deadline / attempts.powi(*level as i32) >= added * (depth - f64::from(*level));
    let split = (1..=depth as u32).take_while(splits).last();
    let split = split.map_or_else(|| "none".into(), |level| number(f64::from(level)));
    let budget = "retry budget of each sidecar";
    let passed = "X-Time-Left, from each sidecar to its server";
    let missing_time = "servers that pass on, in the calls that they make, what their own has left";
    let rows = [
        [
            format!("added to a path of {levels} sidecars, each at its budget, ms"),
            number(added * depth),
            "letter".into(),
            "nothing adds it up".into(),
            "a budget for a path".into(),
        ],
        [
            "the same at the p99 of the slopes, all levels at it at once, ms: whole; services".into(),
            format!("{}; {}", all_levels(Mode::Whole), all_levels(Mode::Services)),
            "measured".into(),
            "nothing adds it up".into(),
            "a budget for a path".into(),
        ],
        [
            "calls of that depth that meet a level beyond its 99 in 100, %, levels taken as independent"
                .into(),
            number(100.0 * (1.0 - 0.99f64.powf(depth))),
            "letter".into(),
            "nothing".into(),
            "a stricter quantile for each level".into(),
        ],
        [
            format!("what each level would have to hold for 99 in 100 calls of {levels} levels, %"),
            format!("{:.3}", 100.0 * 0.99f64.powf(1.0 / depth)),
            "letter".into(),
            "nothing".into(),
            "a stricter quantile for each level".into(),
        ],
        [
            "each level's part, were the budget one for a whole path, ms".into(),
            number(added / depth),
            "letter".into(),
            "nothing".into(),
            "a budget for a path".into(),
        ],
        [
            format!(
                "attempts at the lowest level for one call, {} at each level, all failing",
                number(attempts)
            ),
            number(attempts.powf(depth)),
            a.attempts.source.name().into(),
            format!("{budget}, below"),
            "-".into(),
        ],
        [
            "the same held by the retry budgets, on average".into(),
            number((1.0 + share).powf(depth)),
            a.retry_share.source.name().into(),
            budget.into(),
            "a refusal that tells the levels above not to try again".into(),
        ],
        [
            "retries that the budgets of all sidecars hold at the start of a failure".into(),
            number(a.retry_burst.value * s.servers.value),
            a.retry_burst.source.name().into(),
            budget.into(),
            "-".into(),
        ],
        [
            format!(
                "left to an attempt at the lowest level, a wait of {} ms split evenly at each, ms",
                number(deadline)
            ),
            number(deadline / attempts.powf(depth)),
            a.deadline_ms.source.name().into(),
            "patience: retries that would leave an attempt too little are not planned".into(),
            missing_time.into(),
        ],
        [
            "lowest level at which that split leaves what the sidecars beneath may add".into(),
            split,
            a.deadline_ms.source.name().into(),
            "patience, the same".into(),
            missing_time.into(),
        ],
        [
            "left to the lowest server where no level keeps time for a retry, less what sidecars may add, ms"
                .into(),
            number(deadline - added * depth),
            a.deadline_ms.source.name().into(),
            passed.into(),
            missing_time.into(),
        ],
    ];
    let rows: Vec<Vec<String>> = rows.map(|r| r.to_vec()).to_vec();
    table(&["what", "figure", "source", "carried now by", "missing"], &rows)
}
