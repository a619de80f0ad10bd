//! `hollowpaddlectl load`: puts a defined load on a server that runs, and tells what came of it.

use std::io::IsTerminal;
use std::net::{SocketAddr, ToSocketAddrs};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_load::account::{About, Report};
use hollowpaddle_load::driver::{self, Progress, Target, Waiting};
use hollowpaddle_load::profile::{Arrivals, Profile};
use hollowpaddle_load::schedule::{Rates, Spacing};
use hollowpaddle_net::Tcp;
use tokio::task::LocalSet;

use crate::output::write_json;

#[derive(clap::Args)]
pub struct Arguments {
    /// Where to: `http://ADDRESS:PORT`, with a path for requests of no profile.
    #[arg(long, value_name = "URL")]
    target: String,
    /// Classes, arrivals and connections; plain GET requests, 100 a second for 10 s, without one.
    #[arg(long, value_name = "FILE")]
    profile: Option<PathBuf>,
    /// So many requests a second, instead of the profile's.
    #[arg(long, value_name = "N", value_parser = rate)]
    rate: Option<f64>,
    /// From A to B requests a second over the run, instead of the profile's.
    #[arg(long, value_name = "A..B", value_parser = ramp, conflicts_with = "rate")]
    ramp: Option<(f64, f64)>,
    /// So many clients that ask one request after another, instead of the profile's arrivals.
    #[arg(long, value_name = "N", conflicts_with_all = ["rate", "ramp"],
        value_parser = clap::value_parser!(u32).range(1..=60_000))]
    closed: Option<u32>,
    /// For how long (`30s`, `2m`), instead of the profile's.
    #[arg(long = "for", value_name = "TIME", value_parser = length)]
    length: Option<Duration>,
    /// Over so many connections at most, instead of the profile's.
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u32).range(1..=60_000))]
    connections: Option<u32>,
    /// What arrivals are drawn from; the same seed has the same.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write the report as JSON; `-` for standard output.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Send to other machines too. Without it only loopback addresses are sent to.
    #[arg(long)]
    beyond_loopback: bool,
}

const DOUBTFUL: u8 = 1;
const BAD: u8 = 2;

fn rate(text: &str) -> Result<f64, String> {
    let rate = text.parse().ok().filter(|r| (0.001..=1e6).contains(r));
    rate.ok_or_else(|| "expected requests a second, from 0.001 to 1000000".to_string())
}

fn ramp(text: &str) -> Result<(f64, f64), String> {
    let (from, to) = text.split_once("..").ok_or("expected A..B, such as 100..800")?;
    Ok((rate(from)?, rate(to)?))
}

fn length(text: &str) -> Result<Duration, String> {
    let length = humantime::parse_duration(text).map_err(|e| e.to_string())?;
    let sound = (Duration::from_millis(100)..=Duration::from_secs(24 * 3600)).contains(&length);
    sound.then_some(length).ok_or_else(|| "expected a time from 100ms to 24h".to_string())
}

pub fn run(arguments: &Arguments) -> ExitCode {
    match play(arguments) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(DOUBTFUL),
        Err(message) => {
            eprintln!("hollowpaddlectl: {message}");
            ExitCode::from(BAD)
        }
    }
}

fn play(arguments: &Arguments) -> Result<bool, String> {
    let (target, path) = target(&arguments.target, arguments.beyond_loopback)?;
    let profile = profile(arguments, &path)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    let shows = std::io::stderr().is_terminal();
    let show = move |p: Progress| {
        if shows {
            eprint!(
                "\r\x1b[K{:.0} s: {} asked, {} answered, {} not served, {} open, longest {:.0} ms",
                p.at.as_secs_f64(),
                p.asked,
                p.answered,
                p.unserved,
                p.open,
                p.most_ms
            );
        }
    };
    let seed = arguments.seed;
    let network = Rc::new(Tcp);
    let run = driver::run(network, target.clone(), &profile, seed, Waiting::BusyWait, show);
    let account = LocalSet::new().block_on(&runtime, run);
    if shows {
        eprint!("\r\x1b[K");
    }
    let open = matches!(profile.arrivals, Arrivals::Open(..));
    let about = About { target: &arguments.target, seed, open, length: profile.length };
    let names: Vec<String> = profile.classes.iter().map(|c| c.name.clone()).collect();
    let report = Report::of(&account, about, &names);
    if let Some(path) = &arguments.json {
        write_json(path, &report)?;
    }
    if arguments.json.as_deref() != Some(Path::new("-")) {
        print!("{}", report.text());
    }
    let asked: u64 = report.classes.iter().map(|c| c.counts.asked).sum();
    let unreachable: u64 = report.classes.iter().map(|c| c.counts.unreachable).sum();
    if asked > 0 && unreachable == asked {
        return Err(format!("{}: nobody takes connections there", target.address));
    }
    Ok(report.doubt.is_none())
}

/// The address behind a URL, and its path.
fn target(url: &str, beyond_loopback: bool) -> Result<(Target, String), String> {
    let wrong = |what: &str| format!("--target {url}: {what}; expected http://ADDRESS:PORT");
    let rest = url.strip_prefix("http://").ok_or_else(|| wrong("not an http URL"))?;
    let (host, path) = match rest.find('/') {
        Some(at) => rest.split_at(at),
        None => (rest, "/"),
    };
    if !path.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(wrong("its path has a character that no request may"));
    }
    let with_port = if host.rsplit(':').next().is_some_and(|p| p.parse::<u16>().is_ok()) {
        host.to_string()
    } else {
        format!("{host}:80")
    };
    let mut all = with_port.to_socket_addrs().map_err(|e| wrong(&e.to_string()))?;
    let address: SocketAddr = all.next().ok_or_else(|| wrong("it has no address"))?;
    if !address.ip().is_loopback() && !beyond_loopback {
        return Err(format!(
            "--target {url}: {address} is no loopback address; a load on another machine wants --beyond-loopback"
        ));
    }
    Ok((Target { address, host: host.to_string() }, path.to_string()))
}

fn profile(arguments: &Arguments, path: &str) -> Result<Profile, String> {
    let mut profile = match &arguments.profile {
        None => Profile::plain(path),
        Some(file) => {
            let name = file.display().to_string();
            let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
            Profile::read(&name, &text).map_err(|problems| problems.to_string())?
        }
    };
    let spacing = match &profile.arrivals {
        Arrivals::Open(spacing, _) => *spacing,
        Arrivals::Closed(_) => Spacing::Poisson,
    };
    if let Some(rate) = arguments.rate {
        profile.arrivals = Arrivals::Open(spacing, Rates::steady(rate));
    }
    if let Some((from, to)) = arguments.ramp {
        profile.arrivals = Arrivals::Open(spacing, Rates::ramp(from, to));
    }
    if let Some(clients) = arguments.closed {
        profile.arrivals = Arrivals::Closed(clients);
    }
    profile.length = arguments.length.unwrap_or(profile.length);
    profile.connections = arguments.connections.unwrap_or(profile.connections);
    Ok(profile)
}
