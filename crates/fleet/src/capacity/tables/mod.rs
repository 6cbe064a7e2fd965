//! The tables of a capacity plan, as Markdown.

mod budgets;
mod call_chain;
mod events;
mod machines;
mod roles;
mod sources;

use super::{Capacity, Estimate};

/// All tables with their names, in the order in which the page shows them. The page's markers refer to the names.
pub fn tables(capacity: &Capacity) -> Vec<(&'static str, String)> {
    vec![
        ("sizes", sources::sizes(&capacity.plan)),
        ("slopes", sources::slopes(capacity)),
        ("ordinary", roles::steady_state(capacity)),
        ("to come", roles::planned(capacity)),
        ("events", events::estimated(capacity)),
        ("played", events::recorded(capacity)),
        ("deep", call_chain::call_chain(capacity)),
        ("machines", machines::placement(&capacity.plan)),
        ("lost", machines::losses(&capacity.plan)),
        ("breaks", budgets::breaking_points(capacity)),
    ]
}

/// Formats a Markdown table.
fn table(heads: &[&str], rows: &[Vec<String>]) -> String {
    let line =
        |cells: &mut dyn Iterator<Item = String>| format!("| {} |\n", cells.collect::<Vec<_>>().join(" | "));
    let mut text = line(&mut heads.iter().map(|h| (*h).to_owned()));
    text.push_str(&line(&mut heads.iter().map(|_| "---".to_owned())));
    for row in rows {
        // Texts from files must not end a cell.
        text.push_str(&line(&mut row.iter().map(|cell| cell.replace('|', "\\|").replace('\n', " "))));
    }
    text
}

/// Formats a figure with three significant digits and thousands separators.
fn number(value: f64) -> String {
    let size = value.abs();
    if size == 0.0 {
        return "0".into();
    }
    if !(1e-4..1e15).contains(&size) {
        return format!("{value:.2e}");
    }
    let decimals = (2 - size.log10().floor() as i32).clamp(0, 6) as usize;
    let text = format!("{size:.decimals$}");
    let (whole, part) =
        text.split_once('.').map_or((text.as_str(), ""), |(w, p)| (w, p.trim_end_matches('0')));
    let mut grouped = String::new();
    for (i, digit) in whole.chars().enumerate() {
        if i > 0 && (whole.len() - i) % 3 == 0 {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    let (sign, dot) = (if value < 0.0 { "-" } else { "" }, if part.is_empty() { "" } else { "." });
    format!("{sign}{grouped}{dot}{part}")
}

/// Formats an estimate; `scale` converts its value from the measured unit to the displayed one.
fn format_estimate(estimate: &Estimate, scale: f64) -> String {
    match estimate {
        Estimate::Computed { value, missing_slopes, .. } if missing_slopes.is_empty() => {
            number(value * scale)
        }
        Estimate::Computed { value, missing_slopes, .. } => {
            format!("{}, without {}", number(value * scale), missing_slopes.join(", "))
        }
        Estimate::NoUsableLine { slope, largest_measured: (x, y) } => {
            format!("no usable line ({slope}); {} at {}", number(y * scale), number(*x))
        }
        Estimate::NotMeasured => NOT_MEASURED.into(),
    }
}

const NOT_MEASURED: &str = "not measured";
