//! Hosts many balancers on the bench's wire: reads batches, writes replies, decides nothing.

mod instance;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use instance::Instance;
use rustc_hash::FxHashMap;
use wire::{Batch, BatchNumber, Event};

/// What ends the adapter: a plain message.
type Failure = String;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("hollowpaddle-simulator-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Failure> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut line = Vec::new();
    let mut reply = Vec::new();
    let mut instances = FxHashMap::default();
    let mut last = None;
    loop {
        line.clear();
        let read = input.read_until(b'\n', &mut line);
        if read.map_err(|e| format!("standard input: {e}"))? == 0 {
            return Ok(());
        }
        if line.trim_ascii().is_empty() {
            continue;
        }
        let batch = parse(&line, last)?;
        last = Some(batch.batch);
        reply.clear();
        answer(&mut instances, &batch, &mut reply)
            .map_err(|e| format!("batch {}: {e}", batch.batch))?;
        let sent = output.write_all(&reply).and_then(|()| output.flush());
        sent.map_err(|e| format!("standard output: {e}"))?;
    }
}

fn parse(line: &[u8], last: Option<u64>) -> Result<Batch<'_>, Failure> {
    serde_json::from_slice(line).map_err(|_| malformed(line, last))
}

/// Reads the line again, slowly, to name the batch and the field.
fn malformed(line: &[u8], last: Option<u64>) -> Failure {
    let batch = match (serde_json::from_slice::<BatchNumber>(line), last) {
        (Ok(n), _) => format!("batch {}", n.batch),
        (Err(_), Some(n)) => format!("the batch after {n}"),
        (Err(_), None) => "the first batch".to_string(),
    };
    let mut reader = serde_json::Deserializer::from_slice(line);
    let error = match serde_path_to_error::deserialize::<_, Batch>(&mut reader) {
        Err(error) if error.path().iter().len() == 0 => error.into_inner().to_string(),
        Err(error) => format!("field `{}`: {}", error.path(), error.inner()),
        Ok(_) => "something follows the batch on its line".to_string(),
    };
    format!("{batch}: {error}")
}

fn answer(
    instances: &mut FxHashMap<u64, Instance>,
    batch: &Batch,
    reply: &mut Vec<u8>,
) -> Result<(), Failure> {
    let _ = write!(reply, "{{\"batch\":{},\"cmds\":[", batch.batch);
    let empty = reply.len();
    for (place, event) in batch.msgs.iter().enumerate() {
        deliver(instances, batch.ts, event, reply).map_err(|e| format!("message {place}: {e}"))?;
    }
    if reply.len() > empty {
        reply.pop();
    }
    reply.extend_from_slice(b"]}\n");
    Ok(())
}

fn deliver(
    instances: &mut FxHashMap<u64, Instance>,
    ts: f64,
    event: &Event,
    reply: &mut Vec<u8>,
) -> Result<(), Failure> {
    let now = instance::time(ts);
    let who = match event {
        Event::Init(m) => {
            let made = Instance::new(now, m);
            let made = made.map_err(|e| format!("field `Facts`: {e}"))?;
            instances.insert(m.who, made);
            return Ok(());
        }
        Event::Down(m) => {
            instances.remove(&m.who);
            return Ok(());
        }
        Event::Order(m) => m.who,
        Event::Result(m) => m.who,
        Event::TimeoutFired(m) => m.who,
        Event::Left(m) => m.who,
        Event::Membership(m) => m.who,
        Event::Sampled(m) => m.who,
        Event::Established(m) => m.who,
        Event::Memo(m) => m.who,
    };
    // An instance that is down, or was never started, hears nothing.
    let Some(instance) = instances.get_mut(&who) else { return Ok(()) };
    match event {
        Event::Order(m) => instance.order(now, m, reply)?,
        Event::Result(m) => instance.result(now, m, reply)?,
        Event::TimeoutFired(m) => instance.timer(now, m.token, reply),
        Event::Left(m) => instance.left(now, &m.job, reply),
        Event::Membership(m) => instance.membership(now, m, reply),
        Event::Sampled(m) => instance.sampled(now, m, reply),
        Event::Established(m) => instance.established(now, &m.job, reply),
        Event::Memo(_) | Event::Init(_) | Event::Down(_) => {}
    }
    Ok(())
}
