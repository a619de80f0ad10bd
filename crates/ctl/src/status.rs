//! `hollowpaddlectl status`: asks a balancer's door from what it started, and how saving for its next start goes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

use serde_json::Value;

/// The door answers within 2 s or not at all.
const LONGEST: Duration = Duration::from_secs(3);
/// An answer is no longer than this, in bytes.
const ANSWER: u64 = 1 << 20;

#[derive(clap::Args)]
pub struct Arguments {
    /// The balancer's door for operators (its `control`).
    #[arg(long, value_name = "ADDR")]
    at: SocketAddr,
    /// Print the answer as JSON, as it came.
    #[arg(long)]
    json: bool,
}

const UNUSUAL: u8 = 1;
const BAD: u8 = 2;

pub fn run(arguments: &Arguments) -> ExitCode {
    match ask(arguments.at) {
        Ok(told) => {
            if arguments.json {
                println!("{told}");
            } else {
                print!("{}", text(&told));
            }
            if is_usual(&told) { ExitCode::SUCCESS } else { ExitCode::from(UNUSUAL) }
        }
        Err(message) => {
            eprintln!("hollowpaddlectl: {}: {message}", arguments.at);
            ExitCode::from(BAD)
        }
    }
}

fn ask(at: SocketAddr) -> Result<Value, String> {
    let fail = |what: &str| format!("{what}; expected the door of a balancer (its `control`)");
    let stream = TcpStream::connect_timeout(&at, LONGEST);
    let mut stream = stream.map_err(|e| fail(&e.to_string()))?;
    let limits =
        stream.set_read_timeout(Some(LONGEST)).and(stream.set_write_timeout(Some(LONGEST)));
    let call = b"GET /admin/start HTTP/1.1\r\nHost: door\r\nConnection: close\r\n\r\n";
    let mut answer = Vec::new();
    let asked = limits
        .and_then(|()| stream.write_all(call))
        .and_then(|()| stream.take(ANSWER).read_to_end(&mut answer));
    asked.map_err(|e| fail(&e.to_string()))?;
    let answer = String::from_utf8_lossy(&answer);
    let (head, body) = answer.split_once("\r\n\r\n").ok_or_else(|| fail("no answer in HTTP"))?;
    let first = head.lines().next().unwrap_or_default();
    if first.split(' ').nth(1) != Some("200") {
        return Err(fail(&format!("it answers `{first}`: {}", body.trim())));
    }
    serde_json::from_str(body).map_err(|e| fail(&format!("its answer is no JSON ({e})")))
}

/// Whether there is nothing for an operator to look at.
fn is_usual(told: &Value) -> bool {
    let start = &told["start"];
    let aside = start["set_aside"].as_array().is_some_and(|a| !a.is_empty());
    let kept = start["way"] == "usual" && !aside && told["saving"]["failing"].is_null();
    let is_sound = told["said"]["doubted"].is_null() && told["list_expired"] != true;
    (told["keeps"] == false || kept) && is_sound
}

fn text(told: &Value) -> String {
    let mut said = String::new();
    if told["list_expired"] == true {
        said += "LIST EXPIRED: discovery turns calls away; requests are refused until it tells a list\n";
    }
    if let Some(doubt) = told["said"]["doubted"].as_str() {
        let cordoned = told["said"]["cordoned"].as_array().into_iter().flatten();
        let names: Vec<&str> = cordoned.filter_map(Value::as_str).collect();
        let names = if names.is_empty() { "nothing".to_string() } else { names.join(", ") };
        said += &format!("CORDONS IN DOUBT: {doubt}\n  cordoned now: {names}\n");
        said += "  cordon what is missing, uncordon what is back, then POST /admin/confirm\n";
    }
    if told["keeps"] == false {
        return format!("keeps nothing for its next start: no state directory\n{said}");
    }
    let (start, saving) = (&told["start"], &told["saving"]);
    let word = |v: &Value| v.as_str().unwrap_or("?").to_string();
    let age = |v: &Value| v.as_f64().map_or(String::new(), |s| format!(", {s:.1} s old"));
    let mut out = format!(
        "start {}, way {}, from {}{}; {} of the starts just before it ended badly\n",
        start["starts"],
        word(&start["way"]),
        word(&start["from"]),
        age(&start["age_s"]),
        start["crashes"]
    );
    for aside in start["set_aside"].as_array().into_iter().flatten() {
        out += &format!("not believed: {}\n", word(aside));
    }
    out += &match saving["generation"].as_u64() {
        Some(generation) => format!("saved: generation {generation}{}\n", age(&saving["age_s"])),
        None => "saved: nothing yet\n".to_string(),
    };
    if let Some(failing) = saving["failing"].as_str() {
        out += &format!("SAVING FAILS: {failing}\n");
    }
    out + &said
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn a_doubt_is_told_with_what_stands_whether_anything_is_kept_or_not() {
        let start =
            json!({"starts": 2, "way": "usual", "from": "nothing", "crashes": 0, "set_aside": []});
        for mut told in
            [json!({"keeps": false}), json!({"keeps": true, "start": start, "saving": {}})]
        {
            assert!(is_usual(&told) && !text(&told).contains("DOUBT"), "{told}");
            told["said"] = json!({"cordoned": ["s-1", "s-2"], "doubted": "it was torn"});
            let shown = text(&told);
            assert!(!is_usual(&told) && shown.contains("CORDONS IN DOUBT: it was torn"), "{shown}");
            assert!(shown.contains("cordoned now: s-1, s-2"), "{shown}");
        }
    }

    #[test]
    fn an_expired_list_is_shown_and_is_not_usual() {
        let mut told = json!({"keeps": false, "list_expired": false});
        assert!(is_usual(&told) && !text(&told).contains("EXPIRED"), "{told}");
        told["list_expired"] = true.into();
        assert!(!is_usual(&told) && text(&told).contains("LIST EXPIRED"), "{}", text(&told));
    }
}
