//! The tenants that settings name: a compact table, shared by all copies of the settings.

use std::fmt;
use std::sync::Arc;

use rustc_hash::FxHashMap;
use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};

/// One tenant as the settings state it.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Stated {
    #[serde(default)]
    name: String,
    #[serde(default)]
    quota_rps: f64,
    #[serde(default)]
    share: f64,
}

/// One tenant of a [`Tenants`] table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantRef<'a> {
    /// Its name, as requests carry it.
    pub name: &'a str,
    /// Its quota: requests a second over all balancers.
    pub quota_rps: f64,
    /// Its part of the service.
    pub share: f64,
}

/// Quota and share; many tenants have the same.
#[derive(Clone, Copy, Debug)]
struct Terms {
    quota_rps: f64,
    share: f64,
}

/// All names in one piece of text, all numbers in arrays: 12 bytes for a tenant beside its name,
/// and 16 for each distinct pair of quota and share.
#[derive(Debug, Default)]
struct Table {
    names: Box<str>,
    /// Where each tenant's name ends in `names`.
    ends: Box<[u32]>,
    /// Tenants in the order of their names, of equal names in that of their numbers.
    by_name: Box<[u32]>,
    terms: Box<[Terms]>,
    /// Each tenant's place in `terms`.
    terms_of: Box<[u32]>,
}

/// The tenants that settings name, by number. A copy shares the table.
#[derive(Clone, Default)]
pub struct Tenants {
    table: Arc<Table>,
}

impl Tenants {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.table.ends.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.table.ends.is_empty()
    }

    /// The number of the first tenant of this name. Costs a binary search.
    pub fn position(&self, name: &str) -> Option<usize> {
        let table = &self.table;
        let at = table.by_name.partition_point(|tenant| table.name(*tenant as usize) < name);
        let found = *table.by_name.get(at)? as usize;
        (table.name(found) == name).then_some(found)
    }

    /// All of them, by number.
    pub fn iter(&self) -> impl Iterator<Item = TenantRef<'_>> {
        let table = &self.table;
        (0..self.len()).map(|tenant| {
            let Terms { quota_rps, share } = table.terms[table.terms_of[tenant] as usize];
            TenantRef { name: table.name(tenant), quota_rps, share }
        })
    }
}

impl Table {
    fn name(&self, tenant: usize) -> &str {
        let start = tenant.checked_sub(1).map_or(0, |before| self.ends[before]);
        &self.names[start as usize..self.ends[tenant] as usize]
    }
}

impl fmt::Debug for Tenants {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.iter()).finish()
    }
}

/// Collects tenants one by one.
#[derive(Default)]
struct Builder {
    names: String,
    ends: Vec<u32>,
    terms: Vec<Terms>,
    terms_of: Vec<u32>,
    /// Places in `terms` by the bits of quota and share.
    known: FxHashMap<(u64, u64), u32>,
}

impl Builder {
    /// Adds a tenant; `None` if the table would pass what 32 bits can number.
    fn add(&mut self, tenant: &Stated) -> Option<()> {
        self.names.push_str(&tenant.name);
        self.ends.push(u32::try_from(self.names.len()).ok()?);
        let place = u32::try_from(self.terms.len()).ok()?;
        let bits = (tenant.quota_rps.to_bits(), tenant.share.to_bits());
        let found = *self.known.entry(bits).or_insert(place);
        if found == place {
            self.terms.push(Terms { quota_rps: tenant.quota_rps, share: tenant.share });
        }
        self.terms_of.push(found);
        Some(())
    }

    fn build(self) -> Tenants {
        let mut table = Table {
            names: self.names.into_boxed_str(),
            ends: self.ends.into_boxed_slice(),
            by_name: Box::default(),
            terms: self.terms.into_boxed_slice(),
            terms_of: self.terms_of.into_boxed_slice(),
        };
        let mut by_name: Box<[u32]> = (0..table.ends.len() as u32).collect();
        by_name.sort_unstable_by_key(|tenant| (table.name(*tenant as usize), *tenant));
        table.by_name = by_name;
        Tenants { table: Arc::new(table) }
    }
}

struct TenantsVisitor;

impl<'de> Visitor<'de> for TenantsVisitor {
    type Value = Tenants;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of tenants")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Tenants, A::Error> {
        let mut builder = Builder::default();
        while let Some(tenant) = list.next_element::<Stated>()? {
            builder.add(&tenant).ok_or_else(|| A::Error::custom("too many tenants to number"))?;
        }
        Ok(builder.build())
    }
}

impl<'de> Deserialize<'de> for Tenants {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_seq(TenantsVisitor)
    }
}
