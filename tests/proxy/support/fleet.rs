//! A fleet of any size around one proxy, the same traffic whatever the size, and what the proxy needs for it.

use super::{
    Client, MockDiscovery, MockMember, Proxy, SERVED, endpoint_entry_in_group, endpoint_update, full_list,
    read_query, write_query,
};
use std::process::Stdio;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Members of a group, the primary included.
const GROUP_SIZE: usize = 5;
/// One in so many members is replaced in the course of a play.
const REPLACED_SHARE: usize = 12;
/// One in so many requests is a write.
const WRITE_SHARE: u32 = 4;
/// Consecutive requests go to groups this far apart, so that they reach all of them.
const GROUP_STRIDE: u32 = 7919;
/// Clock ticks of processor time in a second, as the kernel reports them.
const TICKS_PER_SECOND: f64 = 100.0;

/// The size of a fleet, and how long its traffic is played.
pub struct Fleet {
    pub members: usize,
    /// The proxies of the fleet; one of them runs.
    pub proxies: usize,
    pub requests: u32,
    /// How long the requests take, evenly spaced.
    pub duration: Duration,
}

/// What a proxy needed for a play.
#[derive(Clone, Copy, Debug)]
pub struct FleetCost {
    pub cpu_seconds: f64,
    pub peak_memory_bytes: f64,
    pub descriptors: f64,
    pub member_connections: f64,
    pub list_bytes: f64,
    pub served_share: f64,
}

impl Fleet {
    /// Starts a proxy, plays the traffic while one in twelve members is replaced, and measures the proxy.
    pub fn play(&self) -> FleetCost {
        let (primary, replica) = (MockMember::start(true), MockMember::start(false));
        let member = |uid: usize| if uid.is_multiple_of(GROUP_SIZE) { &primary } else { &replica };
        let entry = |uid| endpoint_entry_in_group(uid, uid / GROUP_SIZE, member(uid), "SERVING");
        let discovery = MockDiscovery::start(full_list(1, &(0..self.members).map(entry).collect::<Vec<_>>()));
        let edit = format!("s/\"request_classes\"/\"instances\":{},&/", self.proxies);
        let shell = format!("sed -i '{edit}' \"$GW_CONFIG\"; exec \"$0\" serve");
        let limits = "\"sockets\":1024,\"memory_mb\":64";
        let proxy = Proxy::start_with_discovery(Stdio::null(), discovery, &shell, "", limits);
        let mut client = proxy.connect();
        let updates = self.updates(&replica);
        let (mut served, mut pushed, mut descriptors) = (0, 0, 0);
        let start = Instant::now();
        for request in 0..self.requests {
            std::thread::sleep((self.duration * request / self.requests).saturating_sub(start.elapsed()));
            let due = updates.len() * request as usize / self.requests as usize;
            updates[pushed..due].iter().for_each(|update| proxy.discovery.push(update));
            pushed = due;
            served += u32::from(self.send_request(&mut client, request));
            descriptors = descriptors.max(count_descriptors(proxy.child.id()));
        }
        FleetCost {
            cpu_seconds: cpu_seconds(proxy.child.id()),
            peak_memory_bytes: peak_memory_bytes(proxy.child.id()),
            descriptors: descriptors as f64,
            member_connections: (primary.connection_count() + replica.connection_count()) as f64,
            list_bytes: proxy.discovery.list_bytes() as f64,
            served_share: f64::from(served) / f64::from(self.requests),
        }
    }

    /// The updates of the list: a replica drains, is removed, and another one takes its place.
    fn updates(&self, replica: &MockMember) -> Vec<String> {
        let mut updates = Vec::new();
        for replaced in 0..self.members / REPLACED_SHARE {
            let uid = replaced * REPLACED_SHARE / GROUP_SIZE * GROUP_SIZE + 1;
            let group = uid / GROUP_SIZE;
            let new_uid = self.members + replaced;
            let boot_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
            let added = endpoint_entry_in_group(new_uid, group, replica, "SERVING")
                .replace("\"boot_ms\":0", &format!("\"boot_ms\":{boot_ms}"));
            let drained = endpoint_entry_in_group(uid, group, replica, "DRAINING");
            let removed = endpoint_entry_in_group(uid, group, replica, "DELETED");
            for entry in [added, drained, removed] {
                updates.push(endpoint_update(updates.len() as u64 + 2, &entry));
            }
        }
        updates
    }

    /// Sends a request to one of the groups; returns whether it was served.
    fn send_request(&self, client: &mut Client, request: u32) -> bool {
        let is_write = request.is_multiple_of(WRITE_SHARE);
        let query = if is_write { write_query(request, 900) } else { read_query(request) };
        let groups = (self.members / GROUP_SIZE) as u32;
        let group = request * GROUP_STRIDE % groups;
        client.query(&query.replace("cluster=2", &format!("cluster={group}"))) == SERVED
    }
}

/// The processor time that this process has used.
fn cpu_seconds(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap();
    // The second field, the name, is in brackets; user and system time are the 14th and the 15th.
    let fields = stat.rsplit(')').next().unwrap().split_whitespace();
    fields.skip(11).take(2).map(|ticks| ticks.parse::<f64>().unwrap() / TICKS_PER_SECOND).sum()
}

/// The most memory that this process has had in use.
fn peak_memory_bytes(process: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    peak.trim().trim_end_matches(" kB").parse::<f64>().unwrap() * 1024.0
}

/// The open descriptors of this process.
fn count_descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).unwrap().count()
}
