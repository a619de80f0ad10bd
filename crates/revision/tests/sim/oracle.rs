//! Judges a run. It sees who acted on what at which time as sets of bits, and nothing else: no generation, no lease, no
//! fallback policy, nor any code of the package.

/// What one balancer did at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// Bits of what it would send.
    pub sends: u32,
    /// Whether it regards the rest as forbidden. A balancer without a lease sends little and forbids nothing.
    pub has_lease: bool,
}

/// Findings of a run; times are in microseconds.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// The longest time for which somebody sent what another regarded as forbidden.
    pub contradiction: u64,
    /// The longest time for which two balancers with leases each sent what the other regarded as forbidden.
    pub mutual: u64,
    /// Acts that did not send what must always be sent.
    pub refused: u64,
    /// Acts, and those of balancers that did not know what is agreed.
    pub observations: u64,
    pub without_lease: u64,
    /// Reported by the run: how many changes of the fallback policy every node confirmed.
    pub fallback_changes: u64,
    /// Reported by the run: how many messages were sent.
    pub messages: u64,
}

pub struct Oracle {
    always: u32,
    found: Findings,
    /// Since when each bit has been contradicted without a break.
    since: [Option<u64>; 32],
    mutual_since: Option<u64>,
}

impl Oracle {
    pub fn new(always: u32) -> Self {
        Self { always, found: Findings::default(), since: [None; 32], mutual_since: None }
    }

    /// All that act at one moment.
    pub fn look(&mut self, now: u64, observations: &[Observation]) {
        let sent = observations.iter().fold(0, |all, a| all | a.sends);
        let mut known: Vec<u32> =
            observations.iter().filter(|a| a.has_lease).map(|a| a.sends).collect();
        known.sort_unstable();
        known.dedup();
        let forbidden = known.iter().fold(0, |all, sends| all | !sends);
        for (bit, since) in self.since.iter_mut().enumerate() {
            *since = (sent & forbidden & 1 << bit != 0).then(|| since.unwrap_or(now));
            self.found.contradiction = self.found.contradiction.max(since.map_or(0, |s| now - s));
        }
        let mutual = known.iter().any(|a| known.iter().any(|b| a & !b != 0 && b & !a != 0));
        self.mutual_since = mutual.then(|| self.mutual_since.unwrap_or(now));
        // One moment of it is one too many: it counts as a microsecond at least.
        self.found.mutual = self.found.mutual.max(self.mutual_since.map_or(0, |s| now - s + 1));
        self.found.refused +=
            observations.iter().filter(|a| a.sends & self.always != self.always).count() as u64;
        self.found.observations += observations.len() as u64;
        self.found.without_lease += observations.iter().filter(|a| !a.has_lease).count() as u64;
    }

    pub fn found(self) -> Findings {
        self.found
    }
}
