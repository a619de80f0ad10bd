use serde_json::{Value, json};

use super::*;

/// What comes out of these pieces.
fn read<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> Result<Vec<Value>, ObjectError> {
    let (mut objects, mut read) = (Objects::default(), Vec::new());
    for piece in pieces {
        objects.take(piece, |v| read.push(v))?;
    }
    Ok(read)
}

fn list() -> Value {
    let odd = "a } in \"quotes\" \\ and a { \\\" too";
    json!({"revision": 43, "members": [{"id": odd, "host_port": "127.0.0.1:1"}, {"id": "ä\n"}], "more": [[], {}]})
}

#[test]
fn an_object_is_read_in_any_layout_and_split_at_any_byte() {
    for text in [list().to_string(), serde_json::to_string_pretty(&list()).expect("text")] {
        // Heartbeats before, between and behind; two objects at once.
        let text = format!("\n\r\n{text}\n\n\t{text}{text}\n");
        for at in 0..=text.len() {
            let (a, b) = text.as_bytes().split_at(at);
            assert_eq!(read([a, b]).expect("objects"), vec![list(); 3], "split at {at}");
        }
        assert_eq!(read(text.as_bytes().chunks(1)).expect("objects"), vec![list(); 3]);
    }
}

#[test]
fn white_space_within_an_object_parts_and_joins_nothing() {
    let text = b"{\"a\":\n\n 1 ,\r\n \"b  c\" : [ 2\n, 3 ] }".as_slice();
    assert_eq!(read([text]).expect("an object"), [json!({"a": 1, "b  c": [2, 3]})]);
    assert!(read([b"{\"a\": 1\n 2}".as_slice()]).is_err(), "no 12");
}

#[test]
fn what_is_no_object_ends_the_stream() {
    for text in ["nothing", "}", "]{}", "{\"a\":}", "{]", "{\"a\": 1]", "<html>{}", "\u{7f}{}"] {
        let text = text.as_bytes();
        assert!(matches!(read([text]), Err(ObjectError::Malformed(_))), "{text:?}");
    }
}

#[test]
fn an_object_without_end_is_given_up_within_the_bound() {
    let (mut objects, mut pieces) = (Objects::default(), 0);
    let mut take = |piece: &[u8]| objects.take(piece, |_: Value| panic!("an object"));
    take(b"{\"a\": \"").expect("it begins");
    let piece = [b'x'; 1 << 16];
    while take(&piece).is_ok() {
        pieces += 1;
        assert!(pieces <= LONGEST_OBJECT / piece.len(), "no bound");
    }
    assert!(objects.text.len() <= LONGEST_OBJECT + 1);
    // White space is no growth.
    let mut objects = Objects::default();
    for _ in 0..=LONGEST_OBJECT / piece.len() {
        objects.take(&[b' '; 1 << 16], |_: Value| panic!("an object")).expect("heartbeats");
    }
    assert!(objects.text.is_empty());
}
