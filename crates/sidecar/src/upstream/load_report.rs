//! Parses the load reports that endpoints send in a header of their responses, and maps the protocol's names to those
//! of the balancer.

use hyper::header::HeaderValue;
use lotusmoor_balancer::LoadReport;

/// Parses a load report: `name=value` pairs separated by commas. Unreadable values count as not reported.
pub(super) fn parse_load_report(value: &HeaderValue) -> LoadReport {
    let mut report = LoadReport::default();
    for pair in value.to_str().unwrap_or("").split(',') {
        let Some((name, value)) = pair.split_once('=') else { continue };
        let field = match name.trim() {
            "inflight" => &mut report.active,
            "queue" => &mut report.waiting,
            "util" => &mut report.cpu,
            "latency_ms" => &mut report.avg_ms,
            "qps" => &mut report.rps,
            "eps" => &mut report.err_rps,
            _ => continue,
        };
        *field = value.trim().parse().ok().filter(|value: &f64| value.is_finite());
    }
    report
}

#[cfg(test)]
mod tests;
