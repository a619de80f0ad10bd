//! Compares the list reader, on lists in any layout, order of keys and split into pieces, with `serde_json` on the complete
//! text.

use std::fmt::Write;

use hollowpaddle_gateway::list_reader::{ListError, ListReader};
use hollowpaddle_gateway::members::List;
use proptest::collection::vec;
use proptest::prelude::*;
use serde_json::{Value, json};

/// Reads `text` in pieces whose lengths cycle through `lengths`.
fn read(text: &[u8], lengths: &[usize]) -> Result<Vec<List>, ListError> {
    let (mut reader, mut lists) = (ListReader::default(), Vec::new());
    let (mut rest, mut lengths) = (text, lengths.iter().cycle());
    while !rest.is_empty() {
        let length = lengths.next().copied().unwrap_or(1).clamp(1, rest.len());
        reader.feed(&rest[..length], |list| lists.push(list))?;
        rest = &rest[length..];
    }
    Ok(lists)
}

/// Parses the complete text with `serde_json`, as the reference.
fn reference(text: &str) -> Option<List> {
    let value: Value = serde_json::from_str(text).ok()?;
    value.is_object().then(|| serde_json::from_value(value).ok())?
}

/// Generates strings with characters that could be mistaken for the end of a value.
fn string() -> impl Strategy<Value = String> {
    let odd = prop::sample::select(vec![
        "{", "}", "[", "]", "\"", "\\", ",", ":", " ", "\n", "ä", "members",
    ]);
    vec(prop_oneof![odd.prop_map(str::to_string), "[a-z0-9.:-]{0,6}"], 0..6)
        .prop_map(|parts| parts.concat())
}

fn any_value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        (-1e6..1e6f64).prop_map(Value::from),
        string().prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 24, 4, |inner| {
        prop_oneof![
            vec(inner.clone(), 0..4).prop_map(Value::from),
            vec((key(), inner), 0..4).prop_map(|pairs| pairs.into_iter().collect()),
        ]
    })
}

/// Generates the keys of lists and entries, and other keys.
fn key() -> impl Strategy<Value = String> {
    let known = ["members", "revision", "complete", "id", "host_port", "phase"];
    prop_oneof![prop::sample::select(known.map(str::to_string).to_vec()), string()]
}

/// Generates readable entries with an additional unknown key.
fn entry() -> impl Strategy<Value = Value> {
    let phase = prop::sample::select(vec!["SERVING", "DRAINING", "DELETED", "RESTING"]);
    let address = prop::sample::select(vec!["127.0.0.1:80", "[::1]:8080", "", "nowhere"]);
    let place = ("[a-c]", "[a-f]{1,2}", any::<u32>());
    let figures = (0.0..10.0f64, 0.0..2e12f64);
    (string(), address, place, phase, figures, any_value()).prop_map(
        |(id, address, (zone, kind, cell), phase, (size, since), more)| {
            json!({"id": id, "host_port": address, "locality": zone, "flavor": kind, "cell": cell,
                "phase": phase, "size": size, "up_since_ms": since, "more": more})
        },
    )
}

/// Generates lists as keys and values in the order of writing. Keys may be repeated.
fn list() -> impl Strategy<Value = Vec<(String, Value)>> {
    let members = vec(prop_oneof![4 => entry(), 1 => any_value()], 0..6).prop_map(Value::from);
    let field = prop_oneof![
        3 => members.prop_map(|members| ("members".to_string(), members)),
        2 => any::<u64>().prop_map(|revision| ("revision".to_string(), revision.into())),
        2 => any::<bool>().prop_map(|complete| ("complete".to_string(), complete.into())),
        2 => (string(), any_value()),
        1 => (key(), any_value()),
    ];
    vec(field, 0..6)
}

/// Writes JSON text with the white space of `spaces`, in turn, between all parts.
struct Layout<'a> {
    text: String,
    spaces: std::iter::Cycle<std::slice::Iter<'a, &'static str>>,
    is_escaped: bool,
}

impl Layout<'_> {
    fn part(&mut self, part: &str) {
        self.text.push_str(self.spaces.next().copied().unwrap_or_default());
        self.text.push_str(part);
    }

    fn string(&mut self, string: &str) {
        if !self.is_escaped {
            self.part(&Value::from(string).to_string());
            return;
        }
        let mut text = String::new();
        for unit in string.encode_utf16() {
            write!(text, "\\u{unit:04x}").expect("text");
        }
        self.part(&format!("\"{text}\""));
    }

    fn value(&mut self, value: &Value) {
        match value {
            Value::Object(fields) => {
                self.object(fields.iter().map(|(key, value)| (key.as_str(), value)))
            }
            Value::Array(values) => {
                self.part("[");
                for (i, value) in values.iter().enumerate() {
                    if i > 0 {
                        self.part(",");
                    }
                    self.value(value);
                }
                self.part("]");
            }
            Value::String(string) => self.string(string),
            scalar => self.part(&scalar.to_string()),
        }
    }

    fn object<'v>(&mut self, fields: impl Iterator<Item = (&'v str, &'v Value)>) {
        self.part("{");
        for (i, (key, value)) in fields.enumerate() {
            if i > 0 {
                self.part(",");
            }
            self.string(key);
            self.part(":");
            self.value(value);
        }
        self.part("}");
    }
}

fn layout() -> impl Strategy<Value = (Vec<&'static str>, bool)> {
    let space = prop::sample::select(vec!["", "", " ", "\n", "\r\n\t", "   ", "\n\n"]);
    (vec(space, 1..5), any::<bool>())
}

fn write(fields: &[(String, Value)], (spaces, is_escaped): &(Vec<&'static str>, bool)) -> String {
    let mut layout =
        Layout { text: String::new(), spaces: spaces.iter().cycle(), is_escaped: *is_escaped };
    layout.object(fields.iter().map(|(key, value)| (key.as_str(), value)));
    layout.text
}

proptest! {
    #[test]
    fn reads_each_list_like_serde_json(
        fields in list(),
        layout in layout(),
        lengths in vec(1..200usize, 1..8),
    ) {
        let text = write(&fields, &layout);
        match (reference(&text), read(text.as_bytes(), &lengths)) {
            (Some(expected), Ok(lists)) => prop_assert_eq!(lists, vec![expected]),
            (None, Err(ListError::Malformed(_))) => {}
            (expected, read) => prop_assert!(false, "{text}: {expected:?}, but {read:?}"),
        }
    }

    #[test]
    fn reads_consecutive_lists_one_by_one(
        lists in vec((list(), layout()), 0..5),
        separator in prop::sample::select(vec!["", "\n", "\n\n \n"]),
        lengths in vec(1..200usize, 1..8),
    ) {
        let texts: Vec<String> = lists.iter().map(|(fields, layout)| write(fields, layout)).collect();
        let expected: Vec<List> = texts.iter().map_while(|text| reference(text)).collect();
        let read = read(texts.join(separator).as_bytes(), &lengths);
        if expected.len() == texts.len() {
            prop_assert_eq!(read.expect("lists"), expected);
        } else {
            prop_assert!(read.is_err());
        }
    }

    #[test]
    fn truncated_list_is_not_delivered(
        fields in list(),
        layout in layout(),
        at in 0.0..1.0f64,
        lengths in vec(1..200usize, 1..8),
    ) {
        let text = write(&fields, &layout);
        let end = ((text.trim_end().len() - 1) as f64 * at) as usize;
        // Malformed values may be found before the end, but no list is complete.
        if let Ok(lists) = read(&text.as_bytes()[..end], &lengths) {
            prop_assert_eq!(lists, vec![]);
        }
    }

    #[test]
    fn any_bytes_give_lists_or_an_error(
        begin in prop::sample::select(vec!["", "{", "{\"members\":[", "{\"members\":[{\"id\":\"a\",", "{\"a\":["]),
        bytes in vec(prop_oneof![any::<u8>(), prop::sample::select(br#"{}[]",:\ 1tn"#.to_vec())], 0..400),
        lengths in vec(1..50usize, 1..8),
    ) {
        let text = [begin.as_bytes(), &bytes].concat();
        let split = read(&text, &lengths);
        let at_once = read(&text, &[text.len()]);
        prop_assert_eq!(format!("{split:?}"), format!("{at_once:?}"), "the result depends on the split");
        let Ok(lists) = split else { return Ok(()) };
        // The lists are equal to those that `serde_json` reads from the complete text.
        let values = serde_json::Deserializer::from_slice(&text).into_iter::<Value>();
        let expected: Vec<Value> = values.map_while(Result::ok).collect();
        prop_assert_eq!(lists.len(), expected.len());
        for (list, value) in lists.iter().zip(expected) {
            prop_assert_eq!(list, &serde_json::from_value::<List>(value).expect("a list"));
        }
    }
}
