//! Compares the compact table of tenants with the list that it was read from.

use hollowpaddle_policy::tenants::{TenantRef, Tenants};
use proptest::prelude::*;
use serde_json::{Value, json};

fn read(list: &Value) -> Tenants {
    serde_json::from_value(list.clone()).expect("a sound list")
}

proptest! {
    #[test]
    fn table_holds_all_tenants_and_finds_the_first_of_a_name(
        tenants in prop::collection::vec(("[a-cé]{0,3}", 0..4u32, 0..3u32), 0..40),
        other_name in "[a-cé]{0,3}",
    ) {
        let entry = |(name, quota, share): &(String, u32, u32)| {
            json!({"Name": name, "QuotaRps": quota, "Share": share})
        };
        let table = read(&json!(tenants.iter().map(entry).collect::<Vec<_>>()));
        prop_assert_eq!((table.len(), table.is_empty()), (tenants.len(), tenants.is_empty()));
        let expected = tenants.iter().map(|(name, quota, share)| TenantRef {
            name,
            quota_rps: f64::from(*quota),
            share: f64::from(*share),
        });
        prop_assert!(table.iter().eq(expected));
        for name in tenants.iter().map(|t| &t.0).chain([&other_name]) {
            let first = tenants.iter().position(|t| t.0 == *name);
            prop_assert_eq!(table.position(name), first);
        }
    }
}

#[test]
fn missing_values_are_empty_and_wrong_ones_are_named() {
    let table = read(&json!([{}, {"Name": "a", "Unknown": 1}]));
    assert_eq!(table.iter().next(), Some(TenantRef { name: "", quota_rps: 0.0, share: 0.0 }));
    assert_eq!(table.position("a"), Some(1));
    let error = serde_json::from_value::<Tenants>(json!([{"QuotaRps": "much"}])).unwrap_err();
    assert!(error.to_string().contains("much"), "{error}");
}
