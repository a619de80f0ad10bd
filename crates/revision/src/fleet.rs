//! Whether a document fits a fleet, and what a charter has against it. The facts are those that the council's
//! leader knew when it took the entry in; they are in the entry, so that everybody comes to the same answer.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::document::{Document, LONGEST_NAME, MOST_NAMES, MOST_UPSTREAMS};
use crate::fallback_policy::Floor;
use crate::rules::{Place, Rules};

/// Groups of upstreams in the facts at most.
pub const MOST_GROUPS: usize = 512;

/// The upstreams of one pod and flavour.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Group {
    /// Their pod.
    pub pod: u32,
    /// Their site, by its place in [`Facts::sites`].
    pub site: u8,
    /// Their flavour, by its place in [`Facts::flavours`].
    pub flavour: u8,
    /// How many can be sent to.
    pub upstreams: u16,
    /// What they can do together, in thousandths of work a second as the module measures it.
    pub room: u32,
}

/// A class, and where it may go by the site's own settings.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClassFacts {
    /// Its name.
    pub name: String,
    /// Sites, by their places; empty for any.
    pub sites: Vec<u8>,
    /// Flavours, by their places; empty for any.
    pub flavours: Vec<u8>,
}

/// The fleet as the council's leader knew it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Facts {
    /// Sites by name.
    pub sites: Vec<String>,
    /// Load of each site at the time, in the unit of [`Group::room`].
    pub load: Vec<u32>,
    /// Flavours by name.
    pub flavours: Vec<String>,
    /// Who can be sent to.
    pub groups: Vec<Group>,
    /// Classes of requests.
    pub classes: Vec<ClassFacts>,
    /// Of the upstreams that the document names, those that there are: their pods and flavours' places.
    pub named: BTreeMap<String, (u32, u8)>,
}

/// Why a document does not fit the fleet or the charter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Misfit {
    /// It names what is not there.
    #[error("there is no {what} `{name}` now; expected names of the list: correct it, or force it")]
    Unknown {
        /// What it should be.
        what: String,
        /// Its name.
        name: String,
    },
    /// A class could be sent nowhere.
    #[error("class `{class}` would have no pod; expected one at least: leave one in, or force it")]
    NoPod {
        /// Which.
        class: String,
    },
    /// What is left of a site has not the room.
    #[error(
        "site `{site}` has a load of {load} and would have room for {room} \
         (thousandths of work a second); leave more in, or force it"
    )]
    NoRoom {
        /// Which; empty for all of them together.
        site: String,
        /// Now.
        load: u64,
        /// That would be left.
        room: u64,
    },
    /// The charter allows it. No force helps here: somebody who is cut off would act on it.
    #[error("it forbids {what}, which the charter allows; take that out of the charter first")]
    Charter {
        /// What.
        what: String,
    },
    /// The facts are none.
    #[error("the fleet's facts can't be: {what}; the proposer's build is at fault")]
    Facts {
        /// What of them.
        what: String,
    },
}

impl Misfit {
    /// Whether whoever forces a document gets it in spite of this.
    pub fn yields(&self) -> bool {
        !matches!(self, Self::Charter { .. } | Self::Facts { .. })
    }
}

impl Facts {
    /// Whether they can be.
    ///
    /// # Errors
    /// What can't.
    pub fn check(&self) -> Result<(), Misfit> {
        let wrong = |what: &str| Err(Misfit::Facts { what: what.into() });
        let long = |names: &[String]| names.iter().any(|n| n.len() > LONGEST_NAME);
        let lengths = [self.sites.len(), self.flavours.len(), self.classes.len()];
        if lengths.iter().any(|l| *l > MOST_NAMES) || self.groups.len() > MOST_GROUPS {
            return wrong("too many sites, flavours, classes or groups");
        }
        if self.named.len() > 2 * MOST_UPSTREAMS || long(&self.sites) || long(&self.flavours) {
            return wrong("too many or too long names");
        }
        if self.load.len() != self.sites.len() {
            return wrong("loads of other sites");
        }
        let (sites, flavours) = (self.sites.len(), self.flavours.len());
        let place = |g: &Group| usize::from(g.site) < sites && usize::from(g.flavour) < flavours;
        if !self.groups.iter().all(place)
            || self.named.values().any(|(_, f)| usize::from(*f) >= flavours)
        {
            return wrong("a group of no site or flavour");
        }
        if self.classes.iter().any(|c| c.name.len() > LONGEST_NAME || c.sites.len() > sites) {
            return wrong("a class of other sites");
        }
        Ok(())
    }

    fn place(&self, group: &Group) -> Place<'_> {
        let name = |names: &'_ [String], at: u8| -> usize {
            usize::from(at).min(names.len().saturating_sub(1))
        };
        let site = self.sites.get(name(&self.sites, group.site)).map_or("", String::as_str);
        let flavour =
            self.flavours.get(name(&self.flavours, group.flavour)).map_or("", String::as_str);
        Place { name: "", pod: group.pod, flavour, site }
    }

    /// All that speaks against these rules in this fleet, the gravest first.
    pub fn misfits(&self, rules: &Rules) -> Vec<Misfit> {
        if let Err(wrong) = self.check() {
            return vec![wrong];
        }
        let mut found: Vec<Misfit> = self.against_charter(rules.said(), rules.floor());
        found.extend(self.unknown(rules.said()));
        found.extend(
            self.classes
                .iter()
                .filter(|c| !self.goes_somewhere(c, rules))
                .map(|c| Misfit::NoPod { class: c.name.clone() }),
        );
        found.extend(self.without_room(rules));
        found.truncate(MOST_NAMES);
        found
    }

    /// What the document forbids of the charter, whose word is the stronger one.
    pub(crate) fn against_charter(&self, said: &Document, floor: &Floor) -> Vec<Misfit> {
        let mut all = Vec::new();
        let mut no = |what: String| all.push(Misfit::Charter { what });
        for pod in said.out.pods.iter().filter(|p| floor.holds(**p)) {
            no(format!("pod {pod}"));
        }
        for (class, pods) in &said.kept {
            for pod in pods.iter().filter(|p| floor.holds(**p)) {
                no(format!("class `{class}` at pod {pod}"));
            }
        }
        if said.attempts < floor.attempts() {
            no(format!("{} attempts", floor.attempts()));
        }
        for group in self.groups.iter().filter(|g| floor.holds(g.pod)) {
            let place = self.place(group);
            if said.out.sites.contains(place.site) {
                no(format!("site `{}` with its pod {}", place.site, place.pod));
            }
            if said.out.flavours.contains(place.flavour) {
                no(format!("flavour `{}` in pod {}", place.flavour, place.pod));
            }
        }
        for name in &said.out.upstreams {
            let pod = self.named.get(name).map(|(pod, _)| *pod);
            if pod.is_some_and(|pod| floor.allows(&Place { name, pod, flavour: "", site: "" })) {
                no(format!("upstream `{name}`"));
            }
        }
        all.dedup();
        all
    }

    fn unknown(&self, said: &Document) -> Option<Misfit> {
        let (out, w) = (&said.out, &said.weights);
        let pods: BTreeSet<u32> = self.groups.iter().map(|g| g.pod).collect();
        let no = |what: &str, name: String| Some(Misfit::Unknown { what: what.into(), name });
        let upstream =
            out.upstreams.iter().chain(w.upstreams.keys()).find(|n| !self.named.contains_key(*n));
        let kept = said.kept.values().flatten();
        let pod = out.pods.iter().chain(w.pods.keys()).chain(kept).find(|p| !pods.contains(p));
        let flavour =
            out.flavours.iter().chain(w.flavours.keys()).find(|n| !self.flavours.contains(n));
        let site = out.sites.iter().chain(w.sites.keys()).find(|n| !self.sites.contains(n));
        let mut classes = said.kept.keys().chain(said.sessions.keys());
        let class = classes.find(|n| !self.classes.iter().any(|c| c.name == **n));
        upstream
            .and_then(|n| no("upstream", n.clone()))
            .or_else(|| pod.and_then(|p| no("pod", p.to_string())))
            .or_else(|| flavour.and_then(|n| no("flavour", n.clone())))
            .or_else(|| site.and_then(|n| no("site", n.clone())))
            .or_else(|| class.and_then(|n| no("class", n.clone())))
    }

    fn goes_somewhere(&self, class: &ClassFacts, rules: &Rules) -> bool {
        self.groups.iter().any(|g| {
            (class.sites.is_empty() || class.sites.contains(&g.site))
                && (class.flavours.is_empty() || class.flavours.contains(&g.flavour))
                && rules.permits(&self.place(g), &class.name)
                && self.left(g, rules) > 0
        })
    }

    /// How many of a group are not out by their own name.
    fn left(&self, group: &Group, rules: &Rules) -> u64 {
        let of = |name: &str| self.named.get(name) == Some(&(group.pod, group.flavour));
        let out = |name: &str| !rules.permits(&Place { name, ..self.place(group) }, "");
        let gone = rules.said().out.upstreams.iter().filter(|n| of(n) && out(n)).count();
        u64::from(group.upstreams).saturating_sub(gone as u64)
    }

    /// What a group can do under these rules. What one weighs by its own name is left out: at most it is a
    /// little less.
    fn room(&self, group: &Group, rules: &Rules) -> u64 {
        let place = self.place(group);
        if group.upstreams == 0 || !rules.permits(&place, "") {
            return 0;
        }
        let part = self.left(group, rules) as f64 / f64::from(group.upstreams);
        (f64::from(group.room) * rules.weight(&place) * part) as u64
    }

    fn without_room(&self, rules: &Rules) -> Option<Misfit> {
        let mut rooms = vec![0_u64; self.sites.len()];
        for group in &self.groups {
            if let Some(room) = rooms.get_mut(usize::from(group.site)) {
                *room += self.room(group, rules);
            }
        }
        let sites = self.sites.iter().zip(&self.load).zip(&rooms);
        let one = sites
            .filter(|((site, _), _)| !rules.said().out.sites.contains(*site))
            .find(|((_, load), room)| u64::from(**load) > **room)
            .map(|((site, load), room)| Misfit::NoRoom {
                site: site.clone(),
                load: u64::from(*load),
                room: *room,
            });
        // What a site that is out as a whole had goes to the others.
        let (load, room) = (self.load.iter().map(|l| u64::from(*l)).sum(), rooms.iter().sum());
        one.or_else(|| (load > room).then(|| Misfit::NoRoom { site: String::new(), load, room }))
    }
}
