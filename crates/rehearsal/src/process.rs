//! Balancers as processes of this machine, for live runs.

use std::cell::Cell;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;

use rustix::process::{Pid, Signal, kill_process};
use tokio::process::Command;

use crate::cluster::{Control, Launch, LaunchError, Launcher, RunningBalancer};
use crate::record::Resources;
use crate::state_directories::temporary_directory;

/// The kernel's clock ticks per second, the unit of processor time in proc(5); 100 on all of Linux.
const TICKS_PER_SECOND: u64 = 100;

/// Limits on the log excerpt reported when a balancer could not be started.
const LOG_EXCERPT_BYTES: usize = 4096;
const LOG_EXCERPT_LINES: usize = 8;

/// Starts balancers by a command, as the platform does: `/bin/sh -c`, the LB_* variables and a
/// configuration file.
pub struct ProcessLauncher {
    command: String,
    /// Directory of the configurations, and of the logs unless `logs` is set. Deleted on drop.
    temporary_directory: tempfile::TempDir,
    /// Directory for the logs, if one was requested.
    logs: Option<PathBuf>,
}

impl ProcessLauncher {
    /// Creates a launcher that passes `command` to the shell. Each balancer's log goes to a file in
    /// `logs`, if given.
    ///
    /// # Errors
    /// A directory for temporary files or logs can't be created.
    pub fn new(command: &str, logs: Option<&Path>) -> std::io::Result<Self> {
        if let Some(logs) = logs {
            fs::create_dir_all(logs)?;
        }
        let temporary_directory = temporary_directory("rehearsal-")?;
        Ok(Self {
            command: command.to_string(),
            temporary_directory,
            logs: logs.map(Path::to_path_buf),
        })
    }

    fn log(&self, launch: &Launch) -> PathBuf {
        let log_directory = self.logs.as_deref().unwrap_or(self.temporary_directory.path());
        log_directory.join(format!("{}-{}.log", launch.name, launch.start))
    }
}

impl Launcher for ProcessLauncher {
    fn launch(&self, launch: Launch) -> Result<RunningBalancer, LaunchError> {
        let fail = |what: String| LaunchError { name: launch.name.clone(), what };
        let file = self.temporary_directory.path().join(format!("{}.json", launch.name));
        fs::write(&file, &launch.config).map_err(|e| fail(format!("its configuration: {e}")))?;
        let log = self.log(&launch);
        let errors = fs::File::create(&log).map_err(|e| fail(format!("its log: {e}")))?;
        let mut child = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("exec {}", self.command))
            .env("LB_NAME", &launch.name)
            .env("LB_LISTEN", launch.listen.to_string())
            .env("LB_DISCOVERY", launch.discovery.to_string())
            .env("LB_CONFIG", &file)
            .env("TMPDIR", &launch.directory)
            .envs(launch.control.map(|at| ("LB_CONTROL", at.to_string())))
            .envs(launch.state.as_ref().map(|dir| ("LB_STATE_DIR", dir)))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(errors))
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| fail(format!("`{}`: {e}", self.command)))?;
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
        let has_exited = Rc::new(Cell::new(false));
        let command = self.command.clone();
        let control = Box::new(Process { pid, has_exited: has_exited.clone(), file, log, command });
        let ended = Box::pin(async move {
            let status = child.wait().await;
            // The process id may be reused from here on.
            has_exited.set(true);
            status.ok().and_then(|s| s.code())
        });
        Ok(RunningBalancer { control, ended })
    }
}

struct Process {
    pid: Option<Pid>,
    has_exited: Rc<Cell<bool>>,
    file: PathBuf,
    log: PathBuf,
    command: String,
}

impl Process {
    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid.filter(|_| !self.has_exited.get()) {
            let _ = kill_process(pid, signal);
        }
    }
}

impl Control for Process {
    fn kill(&self) {
        self.signal(Signal::KILL);
    }

    fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    fn pause(&self, paused: bool) {
        self.signal(if paused { Signal::STOP } else { Signal::CONT });
    }

    fn reload(&self, config: &str) {
        // Replaced atomically, so that a reader never sees a partial file.
        let next = self.file.with_extension("next");
        if fs::write(&next, config).and_then(|()| fs::rename(&next, &self.file)).is_ok() {
            self.signal(Signal::HUP);
        }
    }

    fn recent_log(&self) -> String {
        let text = fs::read(&self.log).unwrap_or_default();
        let text = String::from_utf8_lossy(&text[text.len().saturating_sub(LOG_EXCERPT_BYTES)..]);
        let lines: Vec<&str> = text.lines().collect();
        let last = &lines[lines.len().saturating_sub(LOG_EXCERPT_LINES)..];
        let wrote = if last.is_empty() {
            "it wrote nothing".to_string()
        } else {
            format!("its last lines:\n  {}", last.join("\n  "))
        };
        format!(": `{}`; {wrote}", self.command)
    }

    fn resources(&self) -> Option<Resources> {
        let pid = self.pid.filter(|_| !self.has_exited.get())?.as_raw_nonzero();
        let proc_directory = PathBuf::from(format!("/proc/{pid}"));
        let status = fs::read_to_string(proc_directory.join("status")).ok()?;
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
        let memory_kib = peak.split_whitespace().next()?.parse().ok()?;
        let descriptors = fs::read_dir(proc_directory.join("fd")).ok()?.count() as u64;
        // The process name may hold any character, parentheses included; the fields after it may
        // not.
        let stat = fs::read_to_string(proc_directory.join("stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks: u64 =
            fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        Some(Resources { memory_kib, descriptors, cpu_ms: ticks * 1000 / TICKS_PER_SECOND })
    }
}
