//! The configuration and the list entries of a described fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use hollowpaddle_gateway::Config;
use hollowpaddle_scale_harness::fleet::{
    BalancerConfig, Fleet, UPSTREAMS_PER_RACK, UPSTREAMS_PER_SERVICE,
};

const FLEET_UPSTREAMS: usize = 2_000;

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn balancer(position: usize) -> BalancerConfig {
    BalancerConfig {
        position,
        listen: loopback(1),
        discovery: loopback(2),
        seed: 7,
        subset: None,
        peers: None,
        canary: true,
    }
}

#[test]
fn configuration_is_accepted_and_binds_each_service_to_its_machine_type() {
    let fleet = Fleet::of(100, FLEET_UPSTREAMS);
    let text = fleet.config(&balancer(3)).to_string();
    let config = Config::parse("fleet", text.as_bytes(), |_| None).expect("a valid configuration");
    assert_eq!(config.facts.services.len(), fleet.services + 1);
    for (number, service) in config.facts.services.iter().enumerate() {
        assert_eq!(service.bound_to, Some(vec![number as u32]));
    }
    assert_eq!(config.facts.balancers, 100);
    assert_eq!(config.facts.position, 3);
    assert_eq!(config.facts.tenants.len(), fleet.tenants);
    assert!(config.cluster.is_none());
}

#[test]
fn configuration_with_peers_joins_a_cluster() {
    let fleet = Fleet::of(3, FLEET_UPSTREAMS);
    let peers = vec![loopback(10), loopback(11), loopback(12)];
    let text = fleet.config(&BalancerConfig { peers: Some(peers), ..balancer(1) }).to_string();
    let config = Config::parse("fleet", text.as_bytes(), |_| None).expect("a valid configuration");
    let cluster = config.cluster.expect("a cluster");
    assert_eq!((cluster.position, cluster.listen), (1, loopback(11)));
}

#[test]
fn target_has_thirty_upstreams_per_service_spread_over_all_zones() {
    let fleet = Fleet::TARGET;
    let entries = fleet.entries();
    let mut zones_by_type = BTreeMap::<&str, BTreeSet<&str>>::new();
    let mut count_by_type = BTreeMap::<&str, usize>::new();
    for entry in &entries {
        zones_by_type.entry(&entry.flavor).or_default().insert(&entry.locality);
        *count_by_type.entry(&entry.flavor).or_default() += 1;
    }
    assert_eq!(entries.len(), fleet.upstreams);
    assert_eq!(count_by_type.len(), fleet.services);
    assert!(count_by_type.values().all(|count| *count == UPSTREAMS_PER_SERVICE));
    assert!(zones_by_type.values().all(|zones| zones.len() == fleet.zones));
    let addresses: BTreeSet<&str> = entries.iter().map(|entry| entry.host_port.as_str()).collect();
    assert_eq!(addresses.len(), entries.len());
}

#[test]
fn racks_lie_in_one_zone_and_regions_are_made_of_zones() {
    let fleet = Fleet::TARGET;
    let mut racks = BTreeMap::<usize, (usize, usize)>::new();
    for upstream in 0..fleet.upstreams {
        let zone = fleet.zone_of(upstream);
        let (rack_zone, size) = racks.entry(fleet.rack_of(upstream)).or_insert((zone, 0));
        assert_eq!(*rack_zone, zone);
        *size += 1;
    }
    assert!(racks.values().all(|(_, size)| *size <= UPSTREAMS_PER_RACK));
    let regions: BTreeSet<usize> = (0..fleet.zones).map(|zone| fleet.region_of(zone)).collect();
    assert_eq!(regions.len(), fleet.regions);
}
