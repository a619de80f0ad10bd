//! Tests the parsing of well-formed and malformed load reports.

use super::*;

#[test]
fn reads_load_report_and_skips_what_is_malformed() {
    let fields = ReportFields::new(&["eps", "qps", "inflight"].map(String::from));
    let read = |text: &str| {
        let mut headers = HeaderMap::new();
        headers.insert("x-load", text.parse().expect("a header"));
        let report = fields.read(&headers);
        (report.eps, report.qps, report.inflight)
    };
    assert_eq!(read("TEXT eps=0.5, qps=140, inflight=7"), (Some(0.5), Some(140.0), Some(7.0)));
    assert_eq!(read("TEXT inflight=7,queue=2, qps=NaN, eps=x,"), (None, None, Some(7.0)));
    assert_eq!(read("TEXT eps=-1, qps=1e300, inflight=0"), (None, None, Some(0.0)));
    assert_eq!(read("JSON {\"eps\": 1}"), (None, None, None));
}
