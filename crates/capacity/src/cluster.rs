//! The cluster's documents: settings of each controller, the quota tree, the catalogue.

use crate::size::{SLOTS, Size};
use crate::workload::{TASK_CORES, TASK_GPUS, TASK_MEMORY_GB, probe_team, slots, team};
use quota::{NodeSpec, Spec, TeamSpec};
use serde_json::{Value, json};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use wire::api::{Catalog, MachineType};

pub const MACHINE_TYPE: &str = "hollow-5";
/// The node of the tree whose bound is changed to see when a change is in force.
pub const PROBE_NODE: &str = "probe";
/// Its two bounds, in GPUs: below and above what a probe takes.
pub const PROBE_LOW: f64 = 1.0;
pub const PROBE_HIGH: f64 = 4.0;

/// Teams below one member of the tree.
const TEAMS_A_MEMBER: usize = 8;
/// Parts of the fleet that teams are guaranteed together, and that each may use, against its even part.
const GUARANTEED: f64 = 0.6;
const TEAM_LIMIT: f64 = 4.0;
const VALUE_KB: f64 = 8.0;
const TXN_OPS: usize = 16;
const LIST_LAG_S: f64 = 4.0;
const GANG_WAIT_S: f64 = 40.0;
const GANG_PEER_S: f64 = 6.0;
const CLOCK_ERROR_MS: f64 = 25.0;

/// Where one controller listens, by its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listens {
    pub clients: SocketAddr,
    pub peers: SocketAddr,
}

/// Controllers have ports in pairs on the loopback address.
pub fn listens(size: &Size, node: usize) -> Listens {
    let at = |offset: usize| {
        let port = usize::from(size.port) + 2 * node + offset;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port as u16)
    };
    Listens {
        clients: at(0),
        peers: at(1),
    }
}

pub fn node_name(node: usize) -> String {
    format!("burrow-{node}")
}

pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone:02}")
}

/// The reverse of [`zone_name`].
pub fn zone_index(name: &str) -> Option<usize> {
    name.strip_prefix("zone-")?.parse().ok()
}

/// Controllers stand in zones of different regions as far as there are any.
pub fn controller_zone(size: &Size, node: usize) -> usize {
    node * size.zones / size.controllers
}

/// Every machine has a loopback address of its own.
pub fn worker_address(machine: &str, port: u16) -> SocketAddr {
    let number: u32 = machine.trim_start_matches("host-").parse().unwrap_or(0);
    let [_, high, middle, low] = number.to_be_bytes();
    let ip = Ipv4Addr::new(127, 1 + high, middle, low);
    SocketAddr::new(IpAddr::V4(ip), port)
}

/// One type of machine, in all zones.
pub fn catalog(size: &Size) -> Catalog {
    let slots = f64::from(SLOTS);
    let machine = MachineType {
        name: MACHINE_TYPE.to_owned(),
        cores: slots * TASK_CORES,
        gpus: slots * TASK_GPUS,
        mem_gb: slots * TASK_MEMORY_GB,
        cache_gb: 100.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.5,
        boot_s: 5.0,
        zones: (0..size.zones).map(zone_name).collect(),
    };
    Catalog {
        types: vec![machine],
    }
}

/// GPUs that each team is guaranteed.
fn team_guarantee(size: &Size) -> f64 {
    (slots(size) / size.teams as f64 * GUARANTEED).floor()
}

/// GPUs that a team may use at most.
pub fn team_limit(size: &Size) -> f64 {
    let part = (slots(size) / size.teams as f64 * TEAM_LIMIT).ceil();
    // A small fleet has the planned number of teams too: the widest gangs still fit.
    part.max(f64::from(size.gang) * TEAM_LIMIT)
}

fn teams(size: &Size, limit_factor: f64) -> Vec<Value> {
    let guaranteed = team_guarantee(size);
    let team = |index: usize| {
        json!({"name": team(index), "cpus": 0.0, "cpus_max": 0.0, "gpus": guaranteed,
            "gpus_max": team_limit(size) * limit_factor})
    };
    (0..size.teams).map(team).collect()
}

/// Members of the tree, without the probe's.
pub fn members(size: &Size) -> usize {
    (size.teams - 1).div_ceil(TEAMS_A_MEMBER)
}

pub fn member_name(member: usize) -> String {
    format!("member-{member:02}")
}

/// A bound of a member that is never met, and differs from change to change.
pub fn member_max(size: &Size, change: u64) -> f64 {
    slots(size) * 2.0 + (change % 1000) as f64
}

/// A tree over all teams: members of eight teams each, and a node for the probes.
pub fn tree(size: &Size) -> Spec {
    let mut spec = Spec::default();
    for member in 0..members(size) {
        let teams = TEAMS_A_MEMBER.min(size.teams - 1 - member * TEAMS_A_MEMBER);
        let mut node = NodeSpec::new(&member_name(member), None);
        let guaranteed = team_guarantee(size) * teams as f64;
        node.guarantee.insert(quota_gpus(), guaranteed);
        spec.nodes.push(node);
    }
    let mut probe = NodeSpec::new(PROBE_NODE, None);
    probe.max.insert(quota_gpus(), PROBE_LOW);
    spec.nodes.push(probe);
    for index in 0..size.teams - 1 {
        let member = member_name(index / TEAMS_A_MEMBER);
        spec.teams.push(TeamSpec::new(&team(index), Some(&member)));
    }
    let mut probes = TeamSpec::new(&probe_team(size.teams), Some(PROBE_NODE));
    // Its part of the node's bound: nothing is guaranteed to it.
    probes.guarantee = Some([(quota_gpus(), 0.0)].into());
    spec.teams.push(probes);
    spec
}

/// The resource that all bounds are in.
pub fn quota_gpus() -> String {
    "gpus".to_owned()
}

/// Addresses that differ from controller to controller, since each has links of its own.
pub struct Endpoints {
    pub state: SocketAddr,
    pub cloud: SocketAddr,
    /// By the peer's number.
    pub peers: Vec<SocketAddr>,
}

/// Settings of one controller, as the platform would write them.
pub fn settings(size: &Size, node: usize, ends: &Endpoints, limit_factor: f64) -> Value {
    let listens = listens(size, node);
    let peers: Vec<Value> = (0..size.controllers)
        .filter(|peer| *peer != node)
        .map(|peer| {
            json!({"node": node_name(peer), "domain": zone_name(controller_zone(size, peer)),
                "address": ends.peers[peer].to_string()})
        })
        .collect();
    let zones: Vec<String> = (0..size.zones).map(zone_name).collect();
    let cluster = json!({
        "initial_size": size.controllers,
        "zones": zones,
        "teams": teams(size, limit_factor),
        "objectives": [
            {"kind": "wait", "class": "urgent", "within_s": 1.0, "share": 0.99},
            {"kind": "guarantee", "within_s": 30.0, "share": 0.95}],
        "workers": {"report_s": size.report_s, "lease_s": size.lease_s, "gang_wait_s": GANG_WAIT_S,
            "gang_peer_s": GANG_PEER_S, "cancel_s": size.cancel_s},
        "state": {"rps": size.state_rps, "write_rps": size.state_writes, "value_kb": VALUE_KB, "txn_ops": TXN_OPS},
        "cloud": {"rps": size.cloud_rps, "list_lag_s": LIST_LAG_S},
        "machine_limits": {"cores": size.cores, "mem_mb": size.memory_mb, "max_sockets": size.sockets},
        "clock_error_ms": CLOCK_ERROR_MS,
    });
    json!({"node": node_name(node), "domain": zone_name(controller_zone(size, node)),
        "client_listen": listens.clients.to_string(), "peer_bind": listens.peers.to_string(), "peers": peers,
        "endpoints": {"cloud": ends.cloud.to_string(), "state": ends.state.to_string()},
        "cluster": cluster})
}

/// What the state service bears.
pub fn state_limits(size: &Size) -> standins::state::Limits {
    standins::state::Limits {
        rps: size.state_rps,
        write_rps: size.state_writes,
        value_kb: VALUE_KB,
        txn_ops: TXN_OPS,
    }
}

pub fn list_lag_ms() -> u64 {
    (LIST_LAG_S * 1000.0) as u64
}

pub fn gang_wait_ms() -> u64 {
    (GANG_WAIT_S * 1000.0) as u64
}

pub fn gang_peer_ms() -> u64 {
    (GANG_PEER_S * 1000.0) as u64
}

/// Operators' own settings of the controllers: the door for configuration changes is open, and machines that the
/// operators own are not given back while they are idle.
pub const OPERATOR_SETTINGS: &str = "[admin]\ndoor = 1\n[fleet]\nidle_s = 36000\n";

/// Writes the first controller's settings and the quota tree of a size, as examples to be checked or shipped.
pub fn write_documents(size: &Size, folder: &std::path::Path) -> Result<(), String> {
    size.check()?;
    let address =
        |last: u8, port: u16| SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, last)), port);
    let ends = Endpoints {
        state: address(1, 2379),
        cloud: address(1, 8443),
        peers: (0..size.controllers)
            .map(|peer| listens(size, peer).peers)
            .collect(),
    };
    let settings = serde_json::to_string_pretty(&settings(size, 0, &ends, 1.0));
    let settings = settings.map_err(|e| e.to_string())? + "\n";
    let tree = toml::to_string(&tree(size)).map_err(|e| e.to_string())?;
    for (name, text) in [
        ("settings-planned-size.json", settings),
        ("quota-planned-size.toml", tree),
    ] {
        let path = folder.join(name);
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(())
}
