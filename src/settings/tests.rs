//! Tests of which settings are accepted and which are rejected.

use super::*;

pub const SAMPLE: &str = r#"
member = "n-0"
zone = "east"
api_addr = "10.0.0.1:8080"
internal_addr = "10.0.0.1:8081"
novelty = true
[[members]]
member = "n-1"
zone = "west"
addr = "10.0.0.2:8081"
[[members]]
member = "n-2"
zone = "west"
addr = "10.0.0.3:8081"
[external]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[params]
zones = ["east", "west"]
[[params.teams]]
name = "blue"
cpus = 0.0
cpus_max = 40.0
[[params.teams]]
name = "green"
[params.workers]
report_s = 2.5
lease_s = 14.0
gang_wait_s = 45.0
gang_peer_s = 4.0
cancel_s = 34.0
[params.state]
rps = 120.0
write_rps = 25.0
value_kb = 8.0
txn_ops = 12
[params.cloud]
rps = 5.0
list_lag_s = 3.0
[params.machine_limits]
sockets = 700
"#;

#[test]
fn platform_settings_may_have_unknown_fields_but_no_invalid_values() {
    let good: Settings = toml::from_str(SAMPLE).unwrap();
    good.check().unwrap();
    assert_eq!(good.controller_names(), ["n-0", "n-1", "n-2"]);
    for (from, to, field) in [
        ("rps = 120.0", "rps = -1.0", "params.state.rps"),
        ("lease_s = 14.0", "lease_s = nan", "params.workers.lease_s"),
        ("txn_ops = 12", "txn_ops = 2", "params.state.txn_ops"),
        ("10.0.0.3:8081", "elsewhere", "members.n-2.addr"),
    ] {
        let bad: Settings = toml::from_str(&SAMPLE.replace(from, to)).unwrap();
        let message = bad.check().unwrap_err().to_string();
        assert!(message.starts_with(field), "{message}");
    }
    let missing = toml::from_str::<Settings>(&SAMPLE.replace("lease_s = 14.0", ""));
    assert!(missing.unwrap_err().message().contains("lease_s"));
}

#[test]
fn tuning_parameters_reject_unknown_fields() {
    let tuning: Tuning = toml::from_str("round_s = 1.0").unwrap();
    assert_eq!((tuning.round_s, tuning.surplus_wait_s), (1.0, 20.0));
    assert!(toml::from_str::<Tuning>("rounds = 1.0").is_err());
}

/// Guards against leases that allow tasks of a withdrawn job to run beyond `cancel_s`: such settings are rejected, and
/// the message shows the terms and their sum.
#[test]
fn leases_too_long_for_the_cancel_deadline_are_rejected_with_their_sum() {
    let good: Settings = toml::from_str(SAMPLE).unwrap();
    good.check_cancel_deadline(&Tuning::default()).unwrap();
    let long = Tuning { block_lease_s: 19.5, ..Tuning::default() };
    let message = good.check_cancel_deadline(&long).unwrap_err().to_string();
    for part in ["cancel_s: 34 s", "block_lease_s of 19.500 s", "lease_s of 14 s", "make 34.114 s"] {
        assert!(message.contains(part), "{message}");
    }
    assert!(!message.contains('\n'), "{message}");
    let short: Settings = toml::from_str(&SAMPLE.replace("cancel_s = 34.0", "cancel_s = 18.0")).unwrap();
    short.check_cancel_deadline(&Tuning::default()).unwrap_err();
}
