//! Reading TOML field by field, so that one pass finds every mistake and says where it is. What the fields mean is for
//! whoever reads them; a key that nobody asked for is a mistake too.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::{Range, RangeInclusive};
use std::time::Duration;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// One mistake in a file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}:{column}: {what}")]
pub struct Problem {
    /// As it was named to us.
    pub file: String,
    /// From 1.
    pub line: usize,
    /// From 1, in characters.
    pub column: usize,
    /// What stands there, what was expected, and what to do.
    pub what: String,
}

/// All mistakes of a file, in its order; never empty.
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

/// A file that is being read.
pub struct File<'a> {
    name: &'a str,
    text: &'a str,
    problems: RefCell<Vec<(usize, String)>>,
}

impl<'a> File<'a> {
    /// `name` is how messages call it.
    pub fn new(name: &'a str, text: &'a str) -> Self {
        Self { name, text, problems: RefCell::default() }
    }

    /// Something is wrong at this byte.
    pub fn wrong(&self, at: usize, what: impl Into<String>) {
        self.problems.borrow_mut().push((at, what.into()));
    }

    /// Whether something was found wrong so far.
    pub fn is_wrong(&self) -> bool {
        !self.problems.borrow().is_empty()
    }

    /// The line of this byte, from 1.
    pub fn line(&self, at: usize) -> usize {
        self.text.as_bytes()[..at.min(self.text.len())].iter().filter(|b| **b == b'\n').count() + 1
    }

    /// What was found wrong, in the order of the file.
    pub fn problems(self) -> Option<Problems> {
        let mut found = self.problems.take();
        found.sort_by_key(|(at, _)| *at);
        let problem = |(at, what): (usize, String)| {
            let at = at.min(self.text.len());
            let start = self.text.as_bytes()[..at].iter().rposition(|b| *b == b'\n');
            let before = &self.text.as_bytes()[start.map_or(0, |n| n + 1)..at];
            let column = String::from_utf8_lossy(before).chars().count() + 1;
            Problem { file: self.name.to_string(), line: self.line(at), column, what }
        };
        let problems: Vec<Problem> = found.into_iter().map(problem).collect();
        (!problems.is_empty()).then_some(Problems(problems))
    }
}

/// Reads a file by `read`, which asks its table for every field and ends with [`Table::finish`].
///
/// # Errors
/// Everything that is wrong with it, each with its line, in the order of the file.
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
    // What a half-read file lacks is no mistake of its own.
    if !errors.is_empty() {
        return Err(file.problems().unwrap_or(Problems(Vec::new())));
    }
    let value = read(&file, table.get_ref());
    match file.problems() {
        None => Ok(value),
        Some(problems) => Err(problems),
    }
}

/// One table of it.
pub struct Table<'f, 'a> {
    file: &'f File<'a>,
    table: &'f DeTable<'a>,
    /// Where it stands, in bytes.
    pub span: Range<usize>,
    name: String,
    asked: RefCell<BTreeSet<&'static str>>,
}

/// How a value is called in a message.
fn kind(value: &DeValue) -> &'static str {
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
    /// The file's own table.
    pub fn top(file: &'f File<'a>, table: &'f DeTable<'a>) -> Self {
        let name = String::new();
        Self { file, table, span: 0..0, name, asked: RefCell::default() }
    }

    fn get(&self, key: &'static str) -> Option<(&'f DeValue<'a>, Range<usize>)> {
        self.asked.borrow_mut().insert(key);
        let value: &Spanned<DeValue> = self.table.get(key)?;
        Some((value.get_ref(), value.span()))
    }

    /// Whether this key is there.
    pub fn has(&self, key: &'static str) -> bool {
        self.get(key).is_some()
    }

    fn path(&self, key: &str) -> String {
        if self.name.is_empty() { key.to_string() } else { format!("{}.{key}", self.name) }
    }

    /// Something is wrong there.
    pub fn wrong(&self, at: &Range<usize>, what: impl Into<String>) {
        self.file.wrong(at.start, what);
    }

    /// Its line, from 1.
    pub fn line(&self) -> usize {
        self.file.line(self.span.start)
    }

    fn missing(&self, key: &str, expected: &str) {
        let what = format!("`{}` is missing: expected {expected}; add it", self.path(key));
        self.wrong(&self.span, what);
    }

    fn mistaken(&self, key: &str, at: &Range<usize>, value: &DeValue, expected: &str) {
        let what = format!("`{}` is {}: expected {expected}", self.path(key), kind(value));
        self.wrong(at, what);
    }

    /// A number within a range; `default` where the file says nothing, and an error where that is `None`.
    /// A number in this range; without a default it has to be there.
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
                self.missing(key, &expected);
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
                self.mistaken(key, &at, value, &expected);
                fallback
            }
        }
    }

    /// A whole number in this range.
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

    /// A length of time from its key's unit: `_s` or `_ms`.
    pub fn time(
        &self,
        key: &'static str,
        range: RangeInclusive<f64>,
        default: Option<f64>,
    ) -> Duration {
        let unit = if key.ends_with("_ms") { 1e-3 } else { 1.0 };
        Duration::from_secs_f64(self.number(key, range, default) * unit)
    }

    /// True or false.
    pub fn flag(&self, key: &'static str, default: bool) -> bool {
        match self.get(key) {
            None => default,
            Some((DeValue::Boolean(b), _)) => *b,
            Some((other, at)) => {
                self.mistaken(key, &at, other, "true or false");
                default
            }
        }
    }

    /// A text.
    pub fn text(&self, key: &'static str, default: Option<&str>) -> String {
        match self.get(key) {
            None => {
                if default.is_none() {
                    self.missing(key, "a text");
                }
                default.unwrap_or_default().to_string()
            }
            Some((DeValue::String(s), _)) => s.to_string(),
            Some((other, at)) => {
                self.mistaken(key, &at, other, "a text");
                String::new()
            }
        }
    }

    /// Where a key's value stands; the table, if there is none.
    pub fn span_of(&self, key: &'static str) -> Range<usize> {
        self.get(key).map_or(self.span.clone(), |(_, at)| at)
    }

    /// One of some words; an error names them all.
    pub fn choice<T: Copy>(&self, key: &'static str, words: &[(&str, T)], default: Option<T>) -> T {
        let names: Vec<&str> = words.iter().map(|(w, _)| *w).collect();
        let expected = format!("one of {}", names.join(", "));
        let fallback = default.unwrap_or(words[0].1);
        match self.get(key) {
            None => {
                if default.is_none() {
                    self.missing(key, &expected);
                }
                fallback
            }
            Some((DeValue::String(s), at)) => {
                let found = words.iter().find(|(w, _)| w == s);
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
                self.mistaken(key, &at, other, &expected);
                fallback
            }
        }
    }

    /// A list of texts.
    pub fn texts(&self, key: &'static str, default: &[&str]) -> Vec<String> {
        let Some((value, at)) = self.get(key) else {
            return default.iter().map(|s| s.to_string()).collect();
        };
        let DeValue::Array(all) = value else {
            self.mistaken(key, &at, value, "a list of texts");
            return Vec::new();
        };
        let text = |v: &Spanned<DeValue>| match v.get_ref() {
            DeValue::String(s) => Some(s.to_string()),
            other => {
                self.mistaken(key, &v.span(), other, "a text");
                None
            }
        };
        all.iter().filter_map(text).collect()
    }

    /// Whole numbers below `limit`.
    pub fn places(&self, key: &'static str, limit: usize) -> Option<Vec<usize>> {
        let (value, at) = self.get(key)?;
        let expected = format!("a list of whole numbers from 0 to {}", limit.saturating_sub(1));
        let DeValue::Array(all) = value else {
            self.mistaken(key, &at, value, &expected);
            return None;
        };
        let place = |v: &Spanned<DeValue>| {
            let n = number(v.get_ref()).filter(|n| n.fract() == 0.0 && *n >= 0.0);
            let n = n.map(|n| n as usize).filter(|n| *n < limit);
            if n.is_none() {
                let path = self.path(key);
                self.wrong(&v.span(), format!("`{path}`: expected {expected}"));
            }
            n
        };
        Some(all.iter().filter_map(place).collect())
    }

    /// A table inside; an empty one where there is none.
    pub fn table(&self, key: &'static str) -> Option<Table<'f, 'a>> {
        let (value, at) = self.get(key)?;
        let DeValue::Table(table) = value else {
            self.mistaken(key, &at, value, "a table");
            return None;
        };
        let name = self.path(key);
        Some(Table { file: self.file, table, span: at, name, asked: RefCell::default() })
    }

    /// The tables of a list of tables.
    pub fn tables(&self, key: &'static str) -> Vec<Table<'f, 'a>> {
        let Some((value, at)) = self.get(key) else { return Vec::new() };
        let DeValue::Array(all) = value else {
            let expected = format!("tables headed [[{}]]", self.path(key));
            self.mistaken(key, &at, value, &expected);
            return Vec::new();
        };
        let table = |v: &'f Spanned<DeValue<'a>>| match v.get_ref() {
            DeValue::Table(table) => Some(Table {
                file: self.file,
                table,
                span: v.span(),
                name: self.path(key),
                asked: RefCell::default(),
            }),
            other => {
                self.mistaken(key, &v.span(), other, "a table");
                None
            }
        };
        all.iter().filter_map(table).collect()
    }

    /// Reports every key that nobody asked for: a slip of the pen must not pass for a default.
    pub fn finish(self) {
        let asked = self.asked.borrow();
        for key in self.table.keys() {
            let name: &str = key.get_ref();
            if !asked.contains(name) {
                let known: Vec<&str> = asked.iter().copied().collect();
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
