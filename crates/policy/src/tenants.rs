//! The tenants of the settings, in a compact table that all copies of the settings share.

use std::fmt;
use std::sync::Arc;

use rustc_hash::FxHashMap;
use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};

/// One tenant in the settings.
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
    /// Name of the tenant in requests.
    pub name: &'a str,
    /// Quota in requests a second over all balancers.
    pub quota_rps: f64,
    /// Share of the service that belongs to the tenant.
    pub share: f64,
}

/// Quota and share of a tenant. Many tenants have the same values.
#[derive(Clone, Copy, Debug)]
struct QuotaAndShare {
    quota_rps: f64,
    share: f64,
}

/// All names in one string and all numbers in arrays. A tenant takes 12 bytes besides its name, and
/// each distinct pair of quota and share takes 16 bytes.
#[derive(Debug, Default)]
struct Table {
    names: Box<str>,
    /// End of each tenant's name in `names`.
    ends: Box<[u32]>,
    /// Tenants in the order of their names; tenants of equal names in the order of their numbers.
    by_name: Box<[u32]>,
    quotas_and_shares: Box<[QuotaAndShare]>,
    /// Index in `quotas_and_shares` for each tenant.
    quota_indexes: Box<[u32]>,
}

/// The tenants of the settings, by number. Clones share one table.
#[derive(Clone, Default)]
pub struct Tenants {
    table: Arc<Table>,
}

impl Tenants {
    /// Returns the number of tenants.
    pub fn len(&self) -> usize {
        self.table.ends.len()
    }

    /// Returns whether there are no tenants.
    pub fn is_empty(&self) -> bool {
        self.table.ends.is_empty()
    }

    /// Returns the number of the first tenant of this name, by a binary search.
    pub fn position(&self, name: &str) -> Option<usize> {
        let table = &self.table;
        let at = table.by_name.partition_point(|tenant| table.name(*tenant as usize) < name);
        let found = *table.by_name.get(at)? as usize;
        (table.name(found) == name).then_some(found)
    }

    /// Returns all tenants, by number.
    pub fn iter(&self) -> impl Iterator<Item = TenantRef<'_>> {
        let table = &self.table;
        (0..self.len()).map(|tenant| {
            let QuotaAndShare { quota_rps, share } =
                table.quotas_and_shares[table.quota_indexes[tenant] as usize];
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

/// Builds a table tenant by tenant.
#[derive(Default)]
struct Builder {
    names: String,
    ends: Vec<u32>,
    quotas_and_shares: Vec<QuotaAndShare>,
    quota_indexes: Vec<u32>,
    /// Indexes in `quotas_and_shares` by the bits of quota and share.
    index_by_bits: FxHashMap<(u64, u64), u32>,
}

impl Builder {
    /// Adds a tenant; returns `None` if an index of the table would exceed 32 bits.
    fn add(&mut self, tenant: &Stated) -> Option<()> {
        self.names.push_str(&tenant.name);
        self.ends.push(u32::try_from(self.names.len()).ok()?);
        let place = u32::try_from(self.quotas_and_shares.len()).ok()?;
        let bits = (tenant.quota_rps.to_bits(), tenant.share.to_bits());
        let found = *self.index_by_bits.entry(bits).or_insert(place);
        if found == place {
            self.quotas_and_shares
                .push(QuotaAndShare { quota_rps: tenant.quota_rps, share: tenant.share });
        }
        self.quota_indexes.push(found);
        Some(())
    }

    fn build(self) -> Tenants {
        let mut table = Table {
            names: self.names.into_boxed_str(),
            ends: self.ends.into_boxed_slice(),
            by_name: Box::default(),
            quotas_and_shares: self.quotas_and_shares.into_boxed_slice(),
            quota_indexes: self.quota_indexes.into_boxed_slice(),
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
