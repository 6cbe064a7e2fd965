use super::*;
use crate::experiment::Point;
use crate::model::Figures;

#[test]
fn page_is_self_contained_with_table_and_plots() {
    let line = |seed, load, variant: &str| RunResult {
        experiment: "a <b>".into(),
        commit: "c".into(),
        scenario: "s".into(),
        variant: variant.into(),
        point: Point { load: Some(load), ..Point::default() },
        seed,
        figures: Figures {
            score: 0.5,
            windows: vec![Window { requests: 10, in_time: 9, ..Window::default() }; 3],
            ..Figures::default()
        },
    };
    let lines = [line(1, 0.5, "x"), line(2, 0.5, "x"), line(1, 0.9, "y")];
    let page = report(&lines, &["g".into()]).expect("a page");
    assert!(page.contains("a &lt;b&gt;") && page.contains("0.5000"));
    assert_eq!(page.matches("<svg").count(), 2 * OVER_TIME.len() + OVER_SCALE.len());
    assert!(!page.contains("src=") && !page.contains("href="));
    assert!(matches!(report(&[], &[]), Err(ReportError::Empty)));
}
