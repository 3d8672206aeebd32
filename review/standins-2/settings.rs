//! Configurations of small deployments, in the form of the page DEPLOY.

use std::net::SocketAddr;

/// The settings of Port Louis, as in the example of the page WIRE.
pub const PORT_LOUIS: &str = r#"{"callers":{"marks_retry":false},
 "contract":{"cold_from":0.16,"cold_us":17000000,"fall_multiple":2.5,"fall_us":3000000,"grace_to_answer_us":20000,"must_ask_in_us":10000000,"stop_sending_within_us":500000},
 "discovery":"pushed","family":"replicas",
 "family_info":{"catch_up_wait_us":50000,"class_bound_us":[0,0,0,0],"counted_from_us":0,"freshness":["own_writes","loose","latest","update"],"report_x0":"position in seconds after zero","report_x1":"1 from a primary","role_listed":"delayed","stamps":true,"waits_for_copy":false,"when_behind":"hold","write_marks":"client"},
 "instances":1,"kinds":["quad-fast","quad-std"],
 "limits":{"cancel":true,"conn_idle_us":15000000,"cpu_us_per_request":0.0,"cpu_us_per_s":943510,"dial_timeout_us":250000,"max_attempts":8,"max_retry_after_us":2000000,"most_held":37740,"parallel_tries":true,"peers":false,"probes":true,"retry_after":false,"streams_per_conn":1},
 "ordinal":0,"over_share_worth":0.1,
 "prices":{"connection":0.0,"cross_zone":0.0,"late_fail":0.08,"probe":0.029,"waste":0.05},
 "request_classes":[
  {"aim_us":400000,"credit":3.0,"deadline_us":1200000,"effect":"safe","key_scope":"all","late_share":0.0,"name":"own-profile-read","streamed":false,"window_us":5000000},
  {"aim_us":400000,"credit":3.0,"deadline_us":1000000,"effect":"safe","key_scope":"all","late_share":0.2,"name":"browse-read","streamed":false,"window_us":5000000},
  {"aim_us":200000,"credit":1.0,"deadline_us":800000,"effect":"safe","key_scope":"all","late_share":0.0,"name":"current-read","streamed":false,"window_us":5000000},
  {"aim_us":600000,"credit":6.0,"deadline_us":5000000,"effect":"unsafe","key_scope":"all","late_share":0.7,"name":"member-write","streamed":false,"window_us":5000000}],
 "resolution_us":5000,"stage":0,"stats":{"fields":["x0","x1"],"how":"pull"},"tenants":[],"tiers":["member-db"],
 "weight_source":"nominal","worth_by":"request","zone":0,"zones":["port-louis"]}"#;

/// The settings of Athens, after its site file.
pub const ATHENS: &str = r#"{"callers":{"marks_retry":false},
 "contract":{"cold_from":0.16,"cold_us":17000000,"fall_multiple":3.0,"fall_us":1500000,"grace_to_answer_us":20000,"must_ask_in_us":10000000,"stop_sending_within_us":250000},
 "discovery":"on_request","family":"replicas",
 "family_info":{"catch_up_wait_us":0,"class_bound_us":[300000,0,0,0,0],"counted_from_us":0,"freshness":["recent","own_writes","loose","latest","update"],"report_x0":"position in seconds after zero","report_x1":"1 from a primary","role_listed":"silent","stamps":true,"waits_for_copy":false,"when_behind":"reject","write_marks":"client"},
 "instances":1,"kinds":["small-3c"],
 "limits":{"cancel":true,"conn_idle_us":15000000,"cpu_us_per_request":0.0,"cpu_us_per_s":500000,"dial_timeout_us":250000,"max_attempts":10,"max_retry_after_us":1000000,"most_held":37740,"parallel_tries":true,"peers":false,"probes":true,"retry_after":true,"streams_per_conn":8},
 "ordinal":0,"over_share_worth":0.1,
 "prices":{"connection":0.0,"cross_zone":0.01,"late_fail":0.05,"probe":0.01,"waste":0.08},
 "request_classes":[
  {"aim_us":300000,"credit":1.0,"deadline_us":1000000,"effect":"safe","key_scope":"all","late_share":0.0,"name":"gallery-view","streamed":false,"window_us":2000000},
  {"aim_us":500000,"credit":3.0,"deadline_us":1500000,"effect":"safe","key_scope":"all","late_share":0.2,"name":"own-picks","streamed":false,"window_us":2000000},
  {"aim_us":500000,"credit":1.0,"deadline_us":1200000,"effect":"safe","key_scope":"all","late_share":0.0,"name":"archive-browse","streamed":false,"window_us":2000000},
  {"aim_us":800000,"credit":2.0,"deadline_us":3000000,"effect":"safe","key_scope":"all","late_share":0.0,"name":"order-check","streamed":false,"window_us":2000000},
  {"aim_us":750000,"credit":6.0,"deadline_us":2000000,"effect":"keyed","key_scope":"cell","late_share":0.7,"name":"save-change","streamed":false,"window_us":2000000}],
 "resolution_us":5000,"stage":0,"stats":{"fields":["x0","x1"],"how":"piggyback"},"tenants":[],"tiers":["gallery-db"],
 "weight_source":"nominal","worth_by":"request","zone":0,"zones":["hall-a"]}"#;

/// The settings of Keelung, after its site file: members answer reads from whatever data they have.
pub const KEELUNG: &str = r#"{"callers":{"marks_retry":true},
 "contract":{"cold_from":0.15,"cold_us":18000000,"fall_multiple":3.0,"fall_us":1500000,"grace_to_answer_us":20000,"must_ask_in_us":10000000,"stop_sending_within_us":2000000},
 "discovery":"pushed","family":"replicas",
 "family_info":{"catch_up_wait_us":0,"class_bound_us":[800000,0,0,0],"counted_from_us":0,"freshness":["recent","own_writes","loose","update"],"report_x0":"position in seconds after zero","report_x1":"1 from a primary","role_listed":"delayed","stamps":true,"waits_for_copy":false,"when_behind":"silent","write_marks":"client"},
 "instances":1,"kinds":["std-4core"],
 "limits":{"cancel":true,"conn_idle_us":30000000,"cpu_us_per_request":0.0,"cpu_us_per_s":50000,"dial_timeout_us":250000,"max_attempts":6,"max_retry_after_us":2000000,"most_held":37740,"parallel_tries":true,"peers":false,"probes":true,"retry_after":false,"streams_per_conn":1},
 "ordinal":0,"over_share_worth":0.1,
 "prices":{"connection":0.0,"cross_zone":0.0075,"late_fail":0.05,"probe":0.02,"waste":0.05},
 "request_classes":[
  {"aim_us":300000,"credit":3.0,"deadline_us":1200000,"effect":"safe","key_scope":"all","late_share":0.0,"name":"status-check","streamed":false,"window_us":5000000},
  {"aim_us":500000,"credit":2.0,"deadline_us":1500000,"effect":"safe","key_scope":"all","late_share":0.2,"name":"own-draft","streamed":false,"window_us":5000000},
  {"aim_us":600000,"credit":1.0,"deadline_us":2500000,"effect":"safe","key_scope":"all","late_share":0.2,"name":"tariff-lookup","streamed":false,"window_us":5000000},
  {"aim_us":750000,"credit":6.0,"deadline_us":3000000,"effect":"unsafe","key_scope":"all","late_share":0.5,"name":"file-entry","streamed":false,"window_us":5000000}],
 "resolution_us":5000,"stage":0,"stats":{"fields":["x0","x1"],"how":"pull"},"tenants":[],"tiers":["decl-db"],
 "weight_source":"nominal","worth_by":"request","zone":0,"zones":["harbour-hall"]}"#;

/// The configuration file of a proxy.
pub fn config(name: &str, listen: SocketAddr, discovery: SocketAddr, known: &str, settings: &str) -> String {
    let seed = format!("{:016x}", super::record::unix_ms());
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"{seed}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{settings}}}"#
    )
}

/// The file of the extended listener, as `deploy/postgres.toml` with these classes and this group.
pub fn extended(listen: SocketAddr, read_class: &str, write_class: &str, wait_ms: u64) -> String {
    format!(
        "listen = \"{listen}\"\nread_class = \"{read_class}\"\nwrite_class = \"{write_class}\"\ngroup = 0\nwait_ms = {wait_ms}\nsession_parameter = 1\nstatements = 256\n"
    )
}
