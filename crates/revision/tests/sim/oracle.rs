//! Checks a run for contradictions. The oracle knows only what each balancer would send at each moment, as sets of
//! bits. It knows no generation, lease or fallback policy, and uses no code of the package.

/// The sends of one balancer at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// Bits of everything that the balancer would send.
    pub sends: u32,
    /// Whether the balancer regards everything else as forbidden. A balancer without a lease sends little and regards
    /// nothing as forbidden.
    pub has_lease: bool,
}

/// Findings of a run; times are in microseconds.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// The longest time for which a balancer sent what another balancer regarded as forbidden.
    pub contradiction: u64,
    /// The longest time for which two balancers with leases each sent what the other regarded as forbidden.
    pub mutual: u64,
    /// Number of observations without some of the sends that must always be permitted.
    pub refused: u64,
    /// Number of observations.
    pub observations: u64,
    /// Number of observations of balancers without a lease.
    pub without_lease: u64,
    /// Reported by the run: number of changes of the fallback policy that every node confirmed.
    pub fallback_changes: u64,
    /// Reported by the run: number of messages sent.
    pub messages: u64,
}

pub struct Oracle {
    mandatory: u32,
    findings: Findings,
    /// For each bit, the time since when the bit has been contradicted without interruption.
    since: [Option<u64>; 32],
    mutual_since: Option<u64>,
}

impl Oracle {
    pub fn new(mandatory: u32) -> Self {
        Self { mandatory, findings: Findings::default(), since: [None; 32], mutual_since: None }
    }

    /// Records the sends of all balancers at one moment.
    pub fn observe(&mut self, now: u64, observations: &[Observation]) {
        let sent = observations.iter().fold(0, |all, a| all | a.sends);
        let mut leased_sends: Vec<u32> =
            observations.iter().filter(|a| a.has_lease).map(|a| a.sends).collect();
        leased_sends.sort_unstable();
        leased_sends.dedup();
        let forbidden = leased_sends.iter().fold(0, |all, sends| all | !sends);
        for (bit, since) in self.since.iter_mut().enumerate() {
            *since = (sent & forbidden & 1 << bit != 0).then(|| since.unwrap_or(now));
            self.findings.contradiction =
                self.findings.contradiction.max(since.map_or(0, |s| now - s));
        }
        let mutual =
            leased_sends.iter().any(|a| leased_sends.iter().any(|b| a & !b != 0 && b & !a != 0));
        self.mutual_since = mutual.then(|| self.mutual_since.unwrap_or(now));
        // A single moment of mutual contradiction is an error, so it counts as a microsecond at least.
        self.findings.mutual =
            self.findings.mutual.max(self.mutual_since.map_or(0, |s| now - s + 1));
        self.findings.refused +=
            observations.iter().filter(|a| a.sends & self.mandatory != self.mandatory).count()
                as u64;
        self.findings.observations += observations.len() as u64;
        self.findings.without_lease += observations.iter().filter(|a| !a.has_lease).count() as u64;
    }

    pub fn findings(self) -> Findings {
        self.findings
    }
}
