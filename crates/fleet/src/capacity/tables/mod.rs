//! The tables of a plan, as markdown.

mod budgets;
mod deep;
mod events;
mod machines;
mod roles;
mod sources;

use super::{Capacity, Estimate};

/// All tables by name, in the order in which the page has them.
pub fn tables(capacity: &Capacity) -> Vec<(&'static str, String)> {
    vec![
        ("sizes", sources::sizes(&capacity.plan)),
        ("slopes", sources::slopes(capacity)),
        ("ordinary", roles::ordinary(capacity)),
        ("to come", roles::to_come(capacity)),
        ("events", events::worked(capacity)),
        ("played", events::played(capacity)),
        ("deep", deep::of_levels(capacity)),
        ("machines", machines::placed(&capacity.plan)),
        ("lost", machines::lost(&capacity.plan)),
        ("breaks", budgets::breaks(capacity)),
    ]
}

/// A table: its heads and its rows.
fn table(heads: &[&str], rows: &[Vec<String>]) -> String {
    let line =
        |cells: &mut dyn Iterator<Item = String>| format!("| {} |\n", cells.collect::<Vec<_>>().join(" | "));
    let mut text = line(&mut heads.iter().map(|h| (*h).to_owned()));
    text.push_str(&line(&mut heads.iter().map(|_| "---".to_owned())));
    for row in rows {
        // What files say must not end a cell.
        text.push_str(&line(&mut row.iter().map(|cell| cell.replace('|', "\\|").replace('\n', " "))));
    }
    text
}

/// A figure for a person: three digits that count, thousands apart.
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

/// An estimate in a unit that is so many of the measured one's.
fn told(estimate: &Estimate, scale: f64) -> String {
    match estimate {
        Estimate::Worked { value, without, .. } if without.is_empty() => number(value * scale),
        Estimate::Worked { value, without, .. } => {
            format!("{}, without {}", number(value * scale), without.join(", "))
        }
        Estimate::NoLine { name, most: (x, y) } => {
            format!("no line ({name}); {} at {}", number(y * scale), number(*x))
        }
        Estimate::NotMeasured => NOT_MEASURED.into(),
    }
}

const NOT_MEASURED: &str = "not measured";
