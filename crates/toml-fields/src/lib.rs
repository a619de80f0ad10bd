//! Reads TOML field by field, so that one pass finds every error in a file and reports its position. The caller interprets
//! the fields. A key that the caller does not read is an error, too.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::{Range, RangeInclusive};
use std::time::Duration;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// One error in a file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}:{column}: {what}")]
pub struct Problem {
    /// Name of the file, as the caller passed it.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Description: the value found, the value expected, and the correction.
    pub what: String,
}

/// All errors of a file, in the order of their positions. Never empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}

/// A file that is being read, with the errors found so far.
pub struct File<'a> {
    name: &'a str,
    text: &'a str,
    problems: RefCell<Vec<(usize, String)>>,
}

impl<'a> File<'a> {
    /// Creates a file without errors. Error messages refer to it by `name`.
    pub fn new(name: &'a str, text: &'a str) -> Self {
        Self { name, text, problems: RefCell::default() }
    }

    /// Records an error at a byte offset.
    pub fn wrong(&self, at: usize, what: impl Into<String>) {
        self.problems.borrow_mut().push((at, what.into()));
    }

    /// Returns whether any error was recorded so far.
    pub fn is_wrong(&self) -> bool {
        !self.problems.borrow().is_empty()
    }

    /// Returns the line of a byte offset, from 1.
    pub fn line(&self, at: usize) -> usize {
        self.text.as_bytes()[..at.min(self.text.len())].iter().filter(|b| **b == b'\n').count() + 1
    }

    /// Returns the recorded errors in the order of their positions, or `None` if there are none.
    pub fn problems(self) -> Option<Problems> {
        let mut found = self.problems.take();
        found.sort_by_key(|(at, _)| *at);
        let to_problem = |(at, what): (usize, String)| {
            let at = at.min(self.text.len());
            let line_break = self.text.as_bytes()[..at].iter().rposition(|b| *b == b'\n');
            let before = &self.text.as_bytes()[line_break.map_or(0, |n| n + 1)..at];
            let column = String::from_utf8_lossy(before).chars().count() + 1;
            Problem { file: self.name.to_string(), line: self.line(at), column, what }
        };
        let problems: Vec<Problem> = found.into_iter().map(to_problem).collect();
        (!problems.is_empty()).then_some(Problems(problems))
    }
}

/// Reads a file with `read`, which reads every field from the root table and then calls [`Table::finish`].
///
/// # Errors
/// Returns all errors of the file with their positions, in the order of the file.
pub fn read<T>(
    name: &str,
    text: &str,
    read: impl for<'f, 'a> FnOnce(&'f File<'a>, &'f DeTable<'a>) -> T,
) -> Result<T, Problems> {
    let file = File::new(name, text);
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        let at = error.span().map_or(0, |s| s.start);
        file.wrong(at, format!("this is not TOML: {}", error.message().trim()));
    }
    // A file that is not valid TOML is parsed in part only, so a missing field would be a consequential error.
    if !errors.is_empty() {
        return Err(file.problems().unwrap_or(Problems(Vec::new())));
    }
    let value = read(&file, table.get_ref());
    match file.problems() {
        None => Ok(value),
        Some(problems) => Err(problems),
    }
}

/// One table of a file.
pub struct Table<'f, 'a> {
    file: &'f File<'a>,
    table: &'f DeTable<'a>,
    /// Position of the table in the file, in bytes.
    pub span: Range<usize>,
    name: String,
    /// Keys that the caller has read.
    read_keys: RefCell<BTreeSet<&'static str>>,
}

/// Returns the name of a value's type for error messages.
fn type_name(value: &DeValue) -> &'static str {
    match value {
        DeValue::String(_) => "a text",
        DeValue::Integer(_) => "a whole number",
        DeValue::Float(_) => "a number",
        DeValue::Boolean(_) => "true or false",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "a list",
        DeValue::Table(_) => "a table",
    }
}

fn number(value: &DeValue) -> Option<f64> {
    match value {
        DeValue::Integer(n) => i64::from_str_radix(n.as_str(), n.radix()).ok().map(|n| n as f64),
        DeValue::Float(n) => n.as_str().parse().ok(),
        _ => None,
    }
}

impl<'f, 'a> Table<'f, 'a> {
    /// Creates the root table of a file.
    pub fn top(file: &'f File<'a>, table: &'f DeTable<'a>) -> Self {
        let name = String::new();
        Self { file, table, span: 0..0, name, read_keys: RefCell::default() }
    }

    fn get(&self, key: &'static str) -> Option<(&'f DeValue<'a>, Range<usize>)> {
        self.read_keys.borrow_mut().insert(key);
        let value: &Spanned<DeValue> = self.table.get(key)?;
        Some((value.get_ref(), value.span()))
    }

    /// Returns whether the table contains this key.
    pub fn has(&self, key: &'static str) -> bool {
        self.get(key).is_some()
    }

    fn path(&self, key: &str) -> String {
        if self.name.is_empty() { key.to_string() } else { format!("{}.{key}", self.name) }
    }

    /// Records an error at the start of a span.
    pub fn wrong(&self, at: &Range<usize>, what: impl Into<String>) {
        self.file.wrong(at.start, what);
    }

    /// Returns the line at which the table starts, from 1.
    pub fn line(&self) -> usize {
        self.file.line(self.span.start)
    }

    fn report_missing(&self, key: &str, expected: &str) {
        let what = format!("`{}` is missing: expected {expected}; add it", self.path(key));
        self.wrong(&self.span, what);
    }

    fn report_type_mismatch(&self, key: &str, at: &Range<usize>, value: &DeValue, expected: &str) {
        let what = format!("`{}` is {}: expected {expected}", self.path(key), type_name(value));
        self.wrong(at, what);
    }

    /// Reads a number within a range. A missing key yields `default`, or an error if `default` is `None`.
    pub fn number(
        &self,
        key: &'static str,
        range: RangeInclusive<f64>,
        default: Option<f64>,
    ) -> f64 {
        let (low, high) = (*range.start(), *range.end());
        let expected = format!("a number from {low} to {high}");
        let fallback = default.unwrap_or(low);
        let Some((value, at)) = self.get(key) else {
            if default.is_none() {
                self.report_missing(key, &expected);
            }
            return fallback;
        };
        match number(value) {
            Some(n) if range.contains(&n) => n,
            Some(n) => {
                self.wrong(&at, format!("`{}` is {n}: expected {expected}", self.path(key)));
                fallback
            }
            None => {
                self.report_type_mismatch(key, &at, value, &expected);
                fallback
            }
        }
    }

    /// Reads a whole number within a range, otherwise as [`Table::number`].
    pub fn whole(
        &self,
        key: &'static str,
        range: RangeInclusive<u32>,
        default: Option<u32>,
    ) -> u32 {
        let bounds = f64::from(*range.start())..=f64::from(*range.end());
        let n = self.number(key, bounds, default.map(f64::from));
        if n.fract() != 0.0
            && let Some((_, at)) = self.get(key)
        {
            self.wrong(&at, format!("`{}` is {n}: expected a whole number", self.path(key)));
        }
        n as u32
    }

    /// Reads a duration within a range. The unit is milliseconds for a key that ends with `_ms`, otherwise seconds.
    pub fn time(
        &self,
        key: &'static str,
        range: RangeInclusive<f64>,
        default: Option<f64>,
    ) -> Duration {
        let unit = if key.ends_with("_ms") { 1e-3 } else { 1.0 };
        Duration::from_secs_f64(self.number(key, range, default) * unit)
    }

    /// Reads a boolean. A missing key yields `default`.
    pub fn flag(&self, key: &'static str, default: bool) -> bool {
        match self.get(key) {
            None => default,
            Some((DeValue::Boolean(b), _)) => *b,
            Some((other, at)) => {
                self.report_type_mismatch(key, &at, other, "true or false");
                default
            }
        }
    }

    /// Reads a string. A missing key yields `default`, or an error if `default` is `None`.
    pub fn text(&self, key: &'static str, default: Option<&str>) -> String {
        match self.get(key) {
            None => {
                if default.is_none() {
                    self.report_missing(key, "a text");
                }
                default.unwrap_or_default().to_string()
            }
            Some((DeValue::String(s), _)) => s.to_string(),
            Some((other, at)) => {
                self.report_type_mismatch(key, &at, other, "a text");
                String::new()
            }
        }
    }

    /// Returns the span of a key's value, or that of the table if the key is missing.
    pub fn span_of(&self, key: &'static str) -> Range<usize> {
        self.get(key).map_or(self.span.clone(), |(_, at)| at)
    }

    /// Reads a string that has to be one of `choices`, and returns the value paired with that string. The error for any other
    /// string lists all of `choices`.
    pub fn choice<T: Copy>(
        &self,
        key: &'static str,
        choices: &[(&str, T)],
        default: Option<T>,
    ) -> T {
        let names: Vec<&str> = choices.iter().map(|(w, _)| *w).collect();
        let expected = format!("one of {}", names.join(", "));
        let fallback = default.unwrap_or(choices[0].1);
        match self.get(key) {
            None => {
                if default.is_none() {
                    self.report_missing(key, &expected);
                }
                fallback
            }
            Some((DeValue::String(s), at)) => {
                let found = choices.iter().find(|(w, _)| w == s);
                found.map_or_else(
                    || {
                        let path = self.path(key);
                        self.wrong(&at, format!("`{path}` is \"{s}\": expected {expected}"));
                        fallback
                    },
                    |(_, t)| *t,
                )
            }
            Some((other, at)) => {
                self.report_type_mismatch(key, &at, other, &expected);
                fallback
            }
        }
    }

    /// Reads a list of strings. A missing key yields `default`.
    pub fn texts(&self, key: &'static str, default: &[&str]) -> Vec<String> {
        let Some((value, at)) = self.get(key) else {
            return default.iter().map(|s| s.to_string()).collect();
        };
        let DeValue::Array(elements) = value else {
            self.report_type_mismatch(key, &at, value, "a list of texts");
            return Vec::new();
        };
        let to_text = |v: &Spanned<DeValue>| match v.get_ref() {
            DeValue::String(s) => Some(s.to_string()),
            other => {
                self.report_type_mismatch(key, &v.span(), other, "a text");
                None
            }
        };
        elements.iter().filter_map(to_text).collect()
    }

    /// Reads a list of whole numbers below `limit`. Returns `None` if the key is missing or is no list. Other elements are
    /// reported as errors and left out.
    pub fn places(&self, key: &'static str, limit: usize) -> Option<Vec<usize>> {
        let (value, at) = self.get(key)?;
        let expected = format!("a list of whole numbers from 0 to {}", limit.saturating_sub(1));
        let DeValue::Array(elements) = value else {
            self.report_type_mismatch(key, &at, value, &expected);
            return None;
        };
        let to_index = |v: &Spanned<DeValue>| {
            let n = number(v.get_ref()).filter(|n| n.fract() == 0.0 && *n >= 0.0);
            let n = n.map(|n| n as usize).filter(|n| *n < limit);
            if n.is_none() {
                let path = self.path(key);
                self.wrong(&v.span(), format!("`{path}`: expected {expected}"));
            }
            n
        };
        Some(elements.iter().filter_map(to_index).collect())
    }

    /// Reads a nested table. Returns `None` if the key is missing or is no table.
    pub fn table(&self, key: &'static str) -> Option<Table<'f, 'a>> {
        let (value, at) = self.get(key)?;
        let DeValue::Table(table) = value else {
            self.report_type_mismatch(key, &at, value, "a table");
            return None;
        };
        let name = self.path(key);
        Some(Table { file: self.file, table, span: at, name, read_keys: RefCell::default() })
    }

    /// Reads an array of tables. A missing key yields an empty list.
    pub fn tables(&self, key: &'static str) -> Vec<Table<'f, 'a>> {
        let Some((value, at)) = self.get(key) else { return Vec::new() };
        let DeValue::Array(elements) = value else {
            let expected = format!("tables headed [[{}]]", self.path(key));
            self.report_type_mismatch(key, &at, value, &expected);
            return Vec::new();
        };
        let to_table = |v: &'f Spanned<DeValue<'a>>| match v.get_ref() {
            DeValue::Table(table) => Some(Table {
                file: self.file,
                table,
                span: v.span(),
                name: self.path(key),
                read_keys: RefCell::default(),
            }),
            other => {
                self.report_type_mismatch(key, &v.span(), other, "a table");
                None
            }
        };
        elements.iter().filter_map(to_table).collect()
    }

    /// Records an error for every key that the caller has not read, so that a misspelled key does not silently leave its
    /// field at the default.
    pub fn finish(self) {
        let read_keys = self.read_keys.borrow();
        for key in self.table.keys() {
            let name: &str = key.get_ref();
            if !read_keys.contains(name) {
                let known: Vec<&str> = read_keys.iter().copied().collect();
                let path = self.path(name);
                let what = format!(
                    "`{path}` is not known here: expected one of {}; correct or remove it",
                    known.join(", ")
                );
                self.wrong(&key.span(), what);
            }
        }
    }
}
