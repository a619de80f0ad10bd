//! Tests of the configuration of the cluster.

use serde_json::{Value, json};

use super::*;

fn parsed(change: impl Fn(&mut Value), fleet: Option<&str>) -> Result<Config, ConfigError> {
    let mut file = json!({
        "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "peer_listen": "127.0.0.1:3",
        "peers": ["127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5"],
        "settings": {"Balancers": 3, "Position": 1, "Tick": 1.0, "RegistryMode": "subscribe", "Services": [],
            "PolicyLimits": {"MaxAttempts": 3, "PeerMessages": true},
            "Safety": {"Cold": 0.0, "ColdFrom": 1.0, "FallMultiple": 1.0, "TipAfter": 0.0}}
    });
    change(&mut file);
    let variable = |name: &str| fleet.filter(|_| name == "LB_FLEET").map(str::to_string);
    Config::parse("config.json", file.to_string().as_bytes(), variable)
}

fn cluster(change: impl Fn(&mut Value), fleet: Option<&str>) -> Option<ClusterConfig> {
    parsed(change, fleet).unwrap_or_else(|e| panic!("{e}")).cluster
}

#[test]
fn cluster_is_configured_unless_messages_are_disallowed_or_it_is_disabled() {
    let config = cluster(|_| {}, None).expect("a cluster");
    assert_eq!((config.position, config.peers.len(), config.listen.port()), (1, 3, 3));
    assert_eq!(
        cluster(|f| f["settings"]["PolicyLimits"]["PeerMessages"] = json!(false), None),
        None
    );
    assert_eq!(cluster(|f| f["peers"] = json!([]), None), None);
    for off in [json!("off"), json!(false)] {
        assert_eq!(cluster(|f| f["fleet"] = off.clone(), None), None);
        assert!(
            cluster(|f| f["fleet"] = off.clone(), Some("on")).is_some(),
            "the environment has precedence"
        );
    }
    assert_eq!(cluster(|_| {}, Some("off")), None);
    let voters = cluster(|f| f["fleet"] = json!({"council": [2, 0]}), None).expect("a cluster");
    assert_eq!(voters.voters, [2, 0]);
}

#[test]
fn rejects_invalid_clusters_with_the_expected_value() {
    let error = |change: &dyn Fn(&mut Value), fleet| match parsed(change, fleet) {
        Ok(_) => panic!("the configuration was accepted"),
        Err(cause) => cause.to_string(),
    };
    assert!(error(&|_| {}, Some("perhaps")).contains("LB_FLEET is \"perhaps\""));
    assert!(error(&|f| f["peers"] = json!(["127.0.0.1:3"]), None).contains("1 addresses for 3"));
    assert!(error(&|f| f["peers"][2] = json!("nowhere"), None).contains("peers is not an address"));
    assert!(error(&|f| f["settings"]["Position"] = json!(3), None).contains("number 3"));
    for voters in [json!([1, 1]), json!([3])] {
        assert!(
            error(&|f| f["fleet"] = json!({"council": voters}), None).contains("fleet.council")
        );
    }
    assert!(error(&|f| f["fleet"] = json!({"counsel": [1]}), None).contains("fleet"));
    // If messages are not allowed, the cluster's configuration is not parsed.
    let without_messages = |f: &mut Value| {
        f["settings"]["PolicyLimits"]["PeerMessages"] = json!(false);
        f["peers"] = json!(["nowhere"]);
    };
    assert_eq!(cluster(without_messages, Some("perhaps")), None);
}

#[test]
fn memory_limits_the_number_of_clients() {
    let clients = |memory_mb: usize| {
        let limits = json!({"memory_mb": memory_mb, "sockets": 1024});
        parsed(|file| file["limits"] = limits.clone(), None).expect("valid").budget().clients
    };
    assert_eq!(clients(192), (1024 - RESERVED_DESCRIPTORS - RESERVED_FOR_CLUSTER) / 2);
    assert_eq!(clients(32), (32 << 20) / MEMORY_PER_CLIENT);
}
