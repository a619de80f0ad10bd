use serde_json::{Value, json};

use super::*;

/// Returns the lists that the reader delivers for these pieces.
fn read<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> Result<Vec<List>, ListError> {
    let (mut reader, mut read) = (ListReader::default(), Vec::new());
    for piece in pieces {
        reader.feed(piece, |list| read.push(list))?;
    }
    Ok(read)
}

/// Parses the complete text with `serde_json`.
fn complete(text: &str) -> List {
    let value: Value = serde_json::from_str(text).expect("text");
    serde_json::from_value(value).expect("a list")
}

fn list() -> Value {
    let odd = "a } in \"quotes\" \\ and a { \\\" too";
    json!({"revision": 43, "members": [
        {"id": odd, "host_port": "127.0.0.1:1", "phase": "SERVING", "locality": "a", "more": [{"members": [1]}]},
        {"id": "ä\n", "phase": "DELETED"}], "more": [[], {"members": [{}]}]})
}

#[test]
fn reads_list_in_any_layout_and_split_at_any_byte() {
    for text in [list().to_string(), serde_json::to_string_pretty(&list()).expect("text")] {
        let expected = vec![complete(&text); 3];
        assert_eq!(expected[0].members.len(), 2);
        // Heartbeats precede, separate and follow the lists, and two lists follow each other directly.
        let text = format!("\n\r\n{text}\n\n\t{text}{text}\n");
        for at in 0..=text.len() {
            let (a, b) = text.as_bytes().split_at(at);
            assert_eq!(read([a, b]).expect("lists"), expected, "split at {at}");
        }
        assert_eq!(read(text.as_bytes().chunks(1)).expect("lists"), expected);
    }
}

#[test]
fn white_space_neither_splits_nor_joins_values() {
    let text = "{\"revision\":\n\n 1 ,\r\n \"members\" : [ {\"id\": \"b  c\"\n, \"cell\":\t2,\"phase\" : \"X\"} ] }";
    let lists = read([text.as_bytes()]).expect("a list");
    assert_eq!(lists, [complete(text)]);
    assert_eq!((lists[0].revision, &*lists[0].members[0].id), (1, "b  c"));
    for text in [
        "{\"revision\": 1\n 2}",
        "{\"members\": [{\"id\": \"a\", \"phase\": \"SERVING\", \"cell\": 1 2}]}",
    ] {
        assert!(read([text.as_bytes()]).is_err(), "1 and 2 are not joined to 12");
    }
}

#[test]
fn invalid_text_ends_the_stream() {
    let texts = [
        "nothing",
        "}",
        "]{}",
        "{\"a\":}",
        "{]",
        "{\"a\": 1]",
        "<html>{}",
        "\u{7f}{}",
        "[1, true, []]",
        "{\"members\": 7}",
        "{\"members\": null}",
        "{\"members\": [], \"members\": {}}",
        "{\"revision\": -1}",
        "{\"members\": [,]}",
        "{\"members\": [{},]}",
        "{\"members\": [{}{}]}",
        "{\"members\": [{}}",
        "{\"members\": [}",
        "{\"members\": [{\"a\":}]}",
        "{\"members\": [nothing]}",
        "{\"members\": [1 2]}",
        "{\"members\" []}",
        "{\"members\": []",
    ];
    for text in &texts[..texts.len() - 1] {
        assert!(matches!(read([text.as_bytes()]), Err(ListError::Malformed(_))), "{text:?}");
    }
    // The last text is only truncated.
    assert_eq!(read([texts[texts.len() - 1].as_bytes()]).expect("nothing yet"), []);
}

#[test]
fn unreadable_entry_does_not_affect_other_entries() {
    let entries = [
        "{\"id\": \"a\", \"phase\": \"SERVING\", \"phase\": \"DRAINING\"}",
        "{}",
        "7",
        "\"text, ] and }\"",
        "[[1], {\"id\": 1}]",
        "null",
        "-1e3",
        "{\"id\": \"b\", \"phase\": \"SERVING\", \"cell\": \"x\"}",
        "{\"id\": \"c\", \"phase\": \"SOMETHING\", \"host_port\": \"nowhere\"}",
    ];
    for parted in [",", " ,\n "] {
        let text = format!("{{\"members\": [{}]}}", entries.join(parted));
        let lists = read(text.as_bytes().chunks(1)).expect("a list");
        assert_eq!(lists, [complete(&text)]);
        let ids: Vec<&str> = lists[0].members.iter().map(|entry| &*entry.id).collect();
        assert_eq!(ids, ["a", "c"]);
        assert_eq!(
            lists[0].members[0].phase,
            crate::members::Phase::Draining,
            "the last value is used"
        );
        assert_eq!(lists[0].members[1].address, None);
    }
}

#[test]
fn last_value_of_a_repeated_key_counts() {
    let entry = |id: &str| format!("{{\"id\": \"{id}\", \"phase\": \"SERVING\"}}");
    let (a, b, c) = (entry("a"), entry("b"), entry("c"));
    let text = format!(
        "{{\"revision\": 1, \"members\": [{a}, {b}], \"revision\": 2, \"m\\u0065mbers\": [{c}], \"complete\": true}}"
    );
    let lists = read([text.as_bytes()]).expect("a list");
    assert_eq!(lists, [complete(&text)]);
    assert_eq!((lists[0].revision, lists[0].members.len(), lists[0].complete), (2, 1, true));
}

#[test]
fn rejects_entry_beyond_its_length_limit() {
    let of_length = |length: usize| {
        let text =
            |more: &str| format!("{{\"id\":\"a\",\"phase\":\"SERVING\",\"more\":\"{more}\"}}");
        let text = text(&"x".repeat(length - text("").len()));
        format!("{{\"members\":[{text}]}}")
    };
    let lists = read([of_length(MAX_ENTRY_LENGTH).as_bytes()]).expect("within the limit");
    assert_eq!(lists[0].members.len(), 1);
    let error = read([of_length(MAX_ENTRY_LENGTH + 1).as_bytes()]).expect_err("beyond the limit");
    assert!(matches!(error, ListError::EntryTooLong));
    assert!(error.to_string().contains("65536"), "{error}");
}

#[test]
fn rejects_outline_beyond_its_length_limit() {
    let of_length = |length: usize| {
        let text = |more: &str| format!("{{\"more\":\"{more}\",\"members\":[]}}");
        // Entries are not part of the outline.
        let entry = "{\"id\":\"a\",\"phase\":\"SERVING\"}";
        text(&"x".repeat(length - text("").len())).replace("[]", &format!("[{entry},{entry}]"))
    };
    let lists = read([of_length(MAX_OUTLINE_LENGTH).as_bytes()]).expect("within the limit");
    assert_eq!(lists[0].members.len(), 2);
    let error = read([of_length(MAX_OUTLINE_LENGTH + 1).as_bytes()]).expect_err("beyond the limit");
    assert!(matches!(error, ListError::OutlineTooLong));
}

#[test]
fn rejects_values_beyond_the_depth_limit() {
    let nested = |depth: usize| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    let around = |depth: usize| format!("{{\"more\": {}}}", nested(depth - 1));
    let within = |depth: usize| {
        let more = nested(depth - 3);
        format!("{{\"members\": [{{\"id\": \"a\", \"phase\": \"SERVING\", \"more\": {more}}}]}}")
    };
    assert_eq!(read([around(MAX_DEPTH).as_bytes()]).expect("a list").len(), 1);
    assert_eq!(read([within(MAX_DEPTH).as_bytes()]).expect("a list")[0].members.len(), 1);
    for text in [around(MAX_DEPTH + 1), within(MAX_DEPTH + 1)] {
        assert!(matches!(read([text.as_bytes()]), Err(ListError::TooDeep)));
    }
}

#[test]
fn rejects_list_beyond_the_entry_limit() {
    let of_count = |count: usize| {
        let entry = |i| format!("{{\"id\":\"{i}\",\"phase\":\"SERVING\"}},");
        let entries: String = (0..count).map(entry).collect();
        // The unreadable last entry is not counted.
        format!("{{\"members\":[{entries}{{}}]}}")
    };
    let lists = read([of_count(MAX_ENTRIES).as_bytes()]).expect("within the limit");
    assert_eq!(lists[0].members.len(), MAX_ENTRIES);
    let error = read([of_count(MAX_ENTRIES + 1).as_bytes()]).expect_err("beyond the limit");
    assert!(matches!(error, ListError::TooManyEntries));
    assert!(error.to_string().contains("100000"), "{error}");
}

#[test]
fn rejects_ids_beyond_their_length_limit() {
    const LENGTH: usize = 1 << 15;
    let of_bytes = |bytes: usize| {
        let entry = |length| format!("{{\"id\":\"{}\",\"phase\":\"SERVING\"}}", "x".repeat(length));
        let mut entries = vec![entry(LENGTH); bytes / LENGTH];
        entries.push(entry(bytes % LENGTH));
        format!("{{\"members\":[{}]}}", entries.join(","))
    };
    assert!(read([of_bytes(MAX_ID_BYTES).as_bytes()]).is_ok());
    let error = read([of_bytes(MAX_ID_BYTES + 1).as_bytes()]).expect_err("beyond the limit");
    assert!(matches!(error, ListError::IdsTooLong));
}

#[test]
fn endless_text_is_rejected_within_the_limits() {
    let beginnings =
        ["{\"a\": \"", "{\"members\": [\"", "{\"members\": [{\"id\": \"", "{\"members\": [7"];
    for begin in beginnings {
        let (mut reader, mut bytes) = (ListReader::default(), 0);
        let mut take = |piece: &[u8]| reader.feed(piece, |_| panic!("a list"));
        take(begin.as_bytes()).expect("it begins");
        let piece = [b'1'; 1 << 10];
        while take(&piece).is_ok() {
            bytes += piece.len();
            assert!(bytes <= MAX_OUTLINE_LENGTH, "no limit");
        }
        assert!(reader.outline.len() <= MAX_OUTLINE_LENGTH + 1);
        assert!(reader.entry.len() <= MAX_ENTRY_LENGTH + 1);
    }
    // White space and heartbeats use no memory.
    for begin in ["", "{", "{\"members\": [", "{\"members\": [{"] {
        let mut reader = ListReader::default();
        reader.feed(begin.as_bytes(), |_| panic!("a list")).expect("it begins");
        for _ in 0..100 {
            reader.feed(&[b' '; 1 << 16], |_| panic!("a list")).expect("heartbeats");
        }
        assert!(reader.outline.len() + reader.entry.len() <= begin.len() + 2);
    }
}
