//! Balancer processes on loopback, for tests that inject faults between them. Each has a name, an
//! address and a directory that outlive the process, an endpoint list and upstreams that the test
//! scripts, and a relay to each other process. Every wait is for an event, with a timeout wide
//! enough for a busy machine, and every process ends with its owner.
#![allow(clippy::missing_panics_doc)] // Unexpected conditions panic with a description.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process;
use std::rc::Rc;
use std::sync::mpsc::{Receiver, channel};
use std::thread::{self, JoinHandle};
use std::time::Instant;

use hollowpaddle_link_faults::Rule;
use serde_json::Value;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::LocalSet;

use crate::peers::{Addresses, Peers};
use crate::record::Observation;
use crate::run_context::{Host, Testbed};
use crate::scripted::{Client, Discovery, EVENT_TIMEOUT, Node};
use crate::state_directories::temporary_directory;

/// Waits until a condition holds. Panics with its description if it doesn't.
pub fn until(what: &str, mut is: impl FnMut() -> bool) {
    let from = Instant::now();
    while !is() {
        assert!(from.elapsed() < EVENT_TIMEOUT, "{what}");
        thread::sleep(std::time::Duration::from_millis(5));
    }
}

/// A relay between the balancers, on a thread of its own.
struct Relay {
    addresses: Vec<Addresses>,
    commands: Option<UnboundedSender<RelayCommand>>,
    seen: Receiver<Observation>,
    thread: Option<JoinHandle<()>>,
}

enum RelayCommand {
    Begin(usize, Rule),
    End(usize),
}

impl Relay {
    fn start(net: u8, count: usize) -> Self {
        let ((commands, mut received), (observe, seen)) = (unbounded_channel(), channel());
        let (ready, addresses) = channel();
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.expect("a runtime");
            LocalSet::new().block_on(&runtime, async move {
                let observe = move |seen| drop(observe.send(seen));
                let testbed = Testbed::Loopback { net };
                let peers = Peers::new(testbed, count, 1, observe).expect("addresses for a relay");
                let all = (0..count).map(|b| peers.addresses(b)).collect();
                ready.send(all).expect("the starter waits");
                while let Some(command) = received.recv().await {
                    match command {
                        RelayCommand::Begin(key, rule) => peers.begin(key, rule),
                        RelayCommand::End(key) => peers.end(key),
                    }
                }
            });
        });
        let addresses = addresses.recv_timeout(EVENT_TIMEOUT).expect("the relay starts");
        Self { addresses, commands: Some(commands), seen, thread: Some(thread) }
    }

    fn command(&self, command: RelayCommand) {
        let sent = self.commands.as_ref().map(|sender| sender.send(command).is_ok());
        assert_eq!(sent, Some(true), "the relay has ended");
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        // The relay ends when its command channel closes.
        self.commands = None;
        self.thread.take().into_iter().for_each(|t| drop(t.join()));
    }
}

/// One balancer, running or not.
struct Member {
    name: String,
    config: Value,
    listen: SocketAddr,
    discovery: Rc<Discovery>,
    directory: PathBuf,
    node: Option<Node>,
}

/// A cluster of balancer processes.
pub struct ProcessCluster {
    program: PathBuf,
    members: Vec<Member>,
    relay: Relay,
    next_fault_key: RefCell<usize>,
    _directory: tempfile::TempDir,
}

impl ProcessCluster {
    /// Starts `count` processes of `program`, each with this configuration under its own name, and
    /// waits until all listen. Peer messages and the admin API are enabled.
    pub fn start(program: &str, count: usize, config: &Value) -> Self {
        let root = temporary_directory("fleet-").expect("a directory");
        let net = Testbed::loopback_net();
        let (testbed, relay) = (Testbed::Loopback { net }, Relay::start(net, count));
        let member = |number: usize| {
            let mut config = config.clone();
            let Addresses { listen, peers, all } = &relay.addresses[number];
            config["peer_listen"] = listen.to_string().into();
            config["peers"] = peers.iter().map(ToString::to_string).collect();
            config["peers_all"] = all.to_string().into();
            config["settings"]["Balancers"] = count.into();
            config["settings"]["Position"] = number.into();
            config["settings"]["PolicyLimits"]["PeerMessages"] = true.into();
            let directory = root.path().join(format!("n{number}"));
            std::fs::create_dir(&directory).expect("a directory");
            let listen = testbed.address(Host::Balancer(number));
            let (name, discovery) = (format!("n{number}"), Rc::new(Discovery::start()));
            Member { name, config, listen, discovery, directory, node: None }
        };
        let members = (0..count).map(member).collect();
        let (program, next_fault_key) = (PathBuf::from(program), RefCell::new(0));
        let mut cluster = Self { program, members, relay, next_fault_key, _directory: root };
        cluster.start_all();
        cluster
    }

    /// Returns the number of balancers, running or not.
    pub fn count(&self) -> usize {
        self.members.len()
    }

    /// Starts a stopped balancer under its name and address, and waits until it listens.
    pub fn start_one(&mut self, number: usize) {
        let member = &mut self.members[number];
        assert!(member.node.is_none(), "{} runs already", member.name);
        let mut command = process::Command::new(&self.program);
        // The address is assigned at the first start and stays the same.
        command.env("TMPDIR", &member.directory).env("LB_CONTROL", "127.0.0.1:0");
        command.env("LB_STATE_DIR", member.directory.join("state"));
        let discovery = member.discovery.clone();
        let node = Node::start_as(command, &member.name, member.listen, discovery, &member.config);
        member.listen = node.address;
        member.node = Some(node);
    }

    /// Starts all stopped balancers.
    pub fn start_all(&mut self) {
        for number in 0..self.count() {
            if self.members[number].node.is_none() {
                self.start_one(number);
            }
        }
    }

    /// Kills a balancer, and waits for its end.
    pub fn kill(&mut self, number: usize) {
        self.members[number].node = None;
    }

    /// Kills all balancers at once.
    pub fn kill_all(&mut self) {
        for node in self.members.iter_mut().filter_map(|m| m.node.as_mut()) {
            let _ = node.child.kill();
        }
        (0..self.count()).for_each(|n| self.kill(n));
    }

    /// Returns the process of a running balancer.
    pub fn node(&mut self, number: usize) -> &mut Node {
        let member = &mut self.members[number];
        member.node.as_mut().unwrap_or_else(|| panic!("n{number} does not run"))
    }

    /// Suspends a balancer.
    pub fn pause(&mut self, number: usize) {
        self.node(number).signal("STOP");
    }

    /// Resumes a suspended balancer.
    pub fn resume(&mut self, number: usize) {
        self.node(number).signal("CONT");
    }

    /// Returns the directory of a balancer, running or not.
    pub fn directory(&self, number: usize) -> &Path {
        &self.members[number].directory
    }

    /// Returns the endpoint list service of a balancer.
    pub fn discovery(&self, number: usize) -> &Discovery {
        &self.members[number].discovery
    }

    /// Opens a connection to a balancer.
    pub fn client(&mut self, number: usize) -> Client {
        self.node(number).client()
    }

    /// Returns whether a balancer reports itself ready.
    pub fn is_ready(&mut self, number: usize) -> bool {
        let Ok(mut client) = Client::try_to(self.node(number).address) else { return false };
        client.ask("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").status() == 200
    }

    /// Waits until all running balancers report themselves ready.
    pub fn until_ready(&mut self) {
        for number in 0..self.count() {
            if self.members[number].node.is_some() {
                until(&format!("n{number} is ready"), || self.is_ready(number));
            }
        }
    }

    /// Applies a rule to the links between balancers until [`ProcessCluster::heal`] with the
    /// returned key.
    pub fn break_links(&self, rule: Rule) -> usize {
        let key = self.next_fault_key.replace_with(|k| *k + 1);
        self.relay.command(RelayCommand::Begin(key, rule));
        key
    }

    /// Ends the rule of [`ProcessCluster::break_links`] with this key.
    pub fn heal(&self, key: usize) {
        self.relay.command(RelayCommand::End(key));
    }

    /// Returns the peer addresses in a balancer's configuration.
    pub fn addresses(&self, number: usize) -> &Addresses {
        &self.relay.addresses[number]
    }

    /// Returns the datagrams sent since the last call: sender, recipient and number of copies that
    /// arrive.
    pub fn datagrams(&self) -> Vec<(usize, usize, usize)> {
        let one = |seen| match seen {
            Observation::Datagram { from, to, copies, .. } => Some((from, to, copies)),
            _ => None,
        };
        self.relay.seen.try_iter().filter_map(one).collect()
    }
}
