//! Parses the load reports that upstreams send with their responses.

use hollowpaddle_policy::interface::Report;
use hollowpaddle_policy::settings::Field;
use hyper::header::HeaderMap;

/// Values outside this range are ignored as implausible.
const PLAUSIBLE_VALUES: std::ops::RangeInclusive<f64> = 0.0..=1e6;

/// The fields that reports may have, by their names in the settings.
pub(super) struct ReportFields(Vec<(String, Field)>);

impl ReportFields {
    /// Creates the set of fields with these names.
    pub(super) fn new(names: &[String]) -> Self {
        Self(names.iter().map(|name| (name.clone(), Field::named(name))).collect())
    }

    /// Parses the header `X-Load: TEXT name=value, name=value`. Malformed, unknown and implausible fields are ignored.
    pub(super) fn read(&self, headers: &HeaderMap) -> Report {
        let mut report = Report::default();
        let header = headers.get("x-load").and_then(|value| value.to_str().ok());
        let pairs = header.and_then(|text| text.trim().strip_prefix("TEXT"));
        for pair in pairs.into_iter().flat_map(|pairs| pairs.split(',')) {
            let Some((name, value)) = pair.split_once('=') else { continue };
            let Ok(value) = value.trim().parse::<f64>() else { continue };
            if !PLAUSIBLE_VALUES.contains(&value) {
                continue;
            }
            if let Some((_, field)) = self.0.iter().find(|(known, _)| known == name.trim()) {
                field.set(&mut report, value);
            }
        }
        report
    }
}

#[cfg(test)]
mod tests;
