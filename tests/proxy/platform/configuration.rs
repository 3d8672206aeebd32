//! Tests of unusable configurations.

use crate::support::*;

#[test]
fn unusable_configuration_exits_with_2_and_one_line() {
    for (config, expected) in
        [("/nowhere", "No such file"), ("/dev/null", "EOF"), ("", "GW_CONFIG is not set")]
    {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_liftrelay"));
        command.arg("serve").env_remove("GW_CONFIG");
        if !config.is_empty() {
            command.env("GW_CONFIG", config);
        }
        let out = command.output().unwrap();
        let text = String::from_utf8(out.stderr).unwrap();
        assert_eq!(out.status.code(), Some(2), "{text}");
        assert!(text.lines().count() == 1 && text.contains(expected), "{text}");
    }
    let proxy = Proxy::start(&[&MockMember::start(true)]);
    let good = proxy.file().with_file_name("config.json");
    for (option, file, expected) in [
        ("--postgres", "listen = 5", "more.toml"),
        ("--postgres", "", "missing field"),
        ("--store", "id = 1\n[[replica]]\nid = 2\naddress = '127.0.0.1:1'", "not among those listed"),
        ("--syslog", "collector = '127.0.0.1:1'\nprotocol = 'tcp'\nfacility = 24", "over 23"),
    ] {
        std::fs::write(proxy.file(), file).unwrap();
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_liftrelay"));
        command.args(["check-config", option]).arg(proxy.file()).env("GW_CONFIG", &good);
        let out = command.output().unwrap();
        let text = String::from_utf8(out.stderr).unwrap();
        assert_eq!(out.status.code(), Some(2), "{text}");
        assert!(text.lines().count() == 1 && text.contains(expected), "{text}");
    }
    std::fs::write(proxy.file(), "id = 1\ndata = '/dev/null/data'").unwrap();
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_liftrelay"));
    let out = command.args(["serve", "--store"]).arg(proxy.file()).env("GW_CONFIG", &good).output().unwrap();
    let text = String::from_utf8(out.stderr).unwrap();
    assert_eq!(out.status.code(), Some(2), "{text}");
    assert!(text.lines().count() == 1 && text.contains("Not a directory"), "{text}");
}
