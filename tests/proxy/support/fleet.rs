//! Measures the resources that one proxy uses in a fleet of any size. The traffic of the proxy does not
//! depend on the size.

use super::{
    Client, MockDiscovery, MockMember, Proxy, SERVED, endpoint_entry_in_group, endpoint_update, full_list,
    read_query, write_query,
};
use std::process::Stdio;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The number of members of a group, including the primary.
const GROUP_SIZE: usize = 5;
/// One in this many members is replaced during a measurement.
const REPLACED_SHARE: usize = 12;
/// One in this many requests is a write.
const WRITE_SHARE: u32 = 4;
/// The step from the group of one request to the group of the next one, modulo the number of groups. It is a
/// prime number, so that the requests reach all groups.
const GROUP_STRIDE: u32 = 7919;
/// The clock ticks per second of the processor times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// The size of a fleet, and the traffic of its proxy.
pub struct Fleet {
    pub members: usize,
    /// The number of proxies of the fleet. Only one of them is started; the others exist in its settings.
    pub proxies: usize,
    pub requests: u32,
    /// The time over which the requests are evenly spread.
    pub duration: Duration,
}

/// The resources that a proxy used during a measurement.
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
    /// Starts a proxy and sends it the traffic while one in twelve members is replaced. Returns the resources
    /// that the proxy used.
    pub fn measure_cost(&self) -> FleetCost {
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

    /// Returns the updates of the endpoint list. For each replaced replica, another one is added to its
    /// group, then it drains and is removed.
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

    /// Sends a request for one of the groups. Returns whether it was served.
    fn send_request(&self, client: &mut Client, request: u32) -> bool {
        let is_write = request.is_multiple_of(WRITE_SHARE);
        let query = if is_write { write_query(request, 900) } else { read_query(request) };
        let groups = (self.members / GROUP_SIZE) as u32;
        let group = request * GROUP_STRIDE % groups;
        client.query(&query.replace("cluster=2", &format!("cluster={group}"))) == SERVED
    }
}

/// Returns the processor time that this process has used, in seconds.
fn cpu_seconds(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap();
    // The second field is the name, in parentheses; user and system time are the 14th and the 15th field.
    let fields = stat.rsplit(')').next().unwrap().split_whitespace();
    fields.skip(11).take(2).map(|ticks| ticks.parse::<f64>().unwrap() / TICKS_PER_SECOND).sum()
}

/// Returns the peak of the resident memory of this process.
fn peak_memory_bytes(process: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    peak.trim().trim_end_matches(" kB").parse::<f64>().unwrap() * 1024.0
}

/// Returns the number of open descriptors of this process.
fn count_descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).unwrap().count()
}
