//! Hosts many balancers for the simulator: reads batches of messages and writes replies in the
//! simulator's wire format. This program makes no decisions.
#![warn(missing_docs)]

mod instance;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use instance::Instance;
use rustc_hash::FxHashMap;
use wire::{Batch, BatchNumber, Event};

/// An error that ends the adapter: a message for standard error.
type Failure = String;

/// The running balancers, by number in the wire format.
type Instances = FxHashMap<u64, Instance>;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("hollowpaddle-simulator-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Answers each line of standard input with one line of standard output, until the input ends.
fn run() -> Result<(), Failure> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut line = Vec::new();
    let mut reply = Vec::new();
    let mut instances = Instances::default();
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

/// Parses a batch. `last` is the number of the previous batch, for the error message.
fn parse(line: &[u8], last: Option<u64>) -> Result<Batch<'_>, Failure> {
    serde_json::from_slice(line).map_err(|_| malformed(line, last))
}

/// Parses a malformed line again, more slowly, to name the batch and the field in the error message.
fn malformed(line: &[u8], last: Option<u64>) -> Failure {
    let batch = match (serde_json::from_slice::<BatchNumber>(line), last) {
        (Ok(number), _) => format!("batch {}", number.batch),
        (Err(_), Some(number)) => format!("the batch after {number}"),
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

/// Delivers the messages of a batch, and writes the resulting commands as one line.
fn answer(instances: &mut Instances, batch: &Batch, reply: &mut Vec<u8>) -> Result<(), Failure> {
    let _ = write!(reply, "{{\"batch\":{},\"cmds\":[", batch.batch);
    let empty = reply.len();
    for (index, event) in batch.msgs.iter().enumerate() {
        deliver(instances, batch.ts, event, reply).map_err(|e| format!("message {index}: {e}"))?;
    }
    if reply.len() > empty {
        // Each command is followed by a comma.
        reply.pop();
    }
    reply.extend_from_slice(b"]}\n");
    Ok(())
}

/// Starts or stops a balancer, or delivers an event to it. Events for balancers that are not running
/// are ignored.
fn deliver(
    instances: &mut Instances,
    ts: f64,
    event: &Event,
    reply: &mut Vec<u8>,
) -> Result<(), Failure> {
    let now = instance::time(ts);
    match event {
        Event::Init(message) => {
            let instance = Instance::new(now, message);
            let instance = instance.map_err(|e| format!("field `Facts`: {e}"))?;
            instances.insert(message.balancer, instance);
        }
        Event::Down(message) => {
            instances.remove(&message.balancer);
        }
        _ => {
            if let Some(instance) = instances.get_mut(&balancer_of(event)) {
                instance.handle(now, event, reply)?;
            }
        }
    }
    Ok(())
}

/// Returns the number of the balancer that a message is for.
fn balancer_of(event: &Event) -> u64 {
    match event {
        Event::Init(message) => message.balancer,
        Event::Down(message) => message.balancer,
        Event::Order(message) => message.balancer,
        Event::Result(message) => message.balancer,
        Event::TimeoutFired(message) => message.balancer,
        Event::Left(message) => message.balancer,
        Event::Membership(message) => message.balancer,
        Event::Sampled(message) => message.balancer,
        Event::Established(message) => message.balancer,
        Event::Memo(message) => message.balancer,
    }
}
