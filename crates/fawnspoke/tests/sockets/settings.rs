//! Settings with unusual values: each is rejected with one line that names its key, or the dispatcher serves with it.

use crate::support::*;
use serde_json::{Value, json};
use std::process::Stdio;

/// Keys of the configuration, as JSON pointers. The error line has to contain the last segment.
const KEYS: [&str; 38] = [
    "/limits/memory_mb",
    "/limits/sockets",
    "/limits/disk_mb",
    "/known",
    "/seed",
    "/settings/balancers",
    "/settings/discovery",
    "/settings/tick",
    "/settings/weights",
    "/settings/zone",
    "/settings/zones",
    "/settings/family_info/call_slots",
    "/settings/family_info/kind_apart",
    "/settings/family_info/kind_batch",
    "/settings/family_info/loses_worth",
    "/settings/grades",
    "/settings/grades/0/name",
    "/settings/grades/1/name",
    "/settings/grades/0/deadline",
    "/settings/grades/0/effect",
    "/settings/grades/0/gain",
    "/settings/grades/0/goal_time",
    "/settings/grades/0/group",
    "/settings/grades/0/late_share",
    "/settings/grades/1/repeat_window",
    "/settings/kinds",
    "/settings/limits/connect_timeout",
    "/settings/limits/keepalive",
    "/settings/limits/max_retry_after",
    "/settings/limits/open_cap",
    "/settings/limits/probes",
    "/settings/limits/send_cap",
    "/settings/report/fields",
    "/settings/report/source",
    "/settings/safety/cold",
    "/settings/safety/cold_share",
    "/settings/safety/must_ask_in",
    "/settings/safety/tip_multiple",
];

fn unusual_values() -> [Value; 9] {
    let text = "safe";
    [
        json!(null),
        json!(-1),
        json!(0),
        json!(1e-12),
        json!(0.5),
        json!(1e300),
        json!(text),
        json!([]),
        json!({}),
    ]
}

#[test]
fn each_unusual_value_is_rejected_by_its_key_or_served() {
    let endpoint = Endpoint::start(|_, _| Reply::status(200));
    let platform = Platform::start();
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    let good = dispatcher.config.clone();
    let (mut rejected, mut served) = (0, 0);
    for key in KEYS {
        for value in unusual_values() {
            let case = format!("{key} = {value}");
            dispatcher.config = good.clone();
            *dispatcher.config.pointer_mut(key).expect(key) = value;
            let file = dispatcher.write_config(&dispatcher.config.to_string());
            if let Err(line) = fawnspoke_node::check_config(&file) {
                let name = key.rsplit('/').next().unwrap();
                assert!(line.lines().count() == 1 && line.contains(name), "{case}: {line}");
                rejected += 1;
                continue;
            }
            dispatcher.start();
            // Any of these responses is correct; no response or the end of the process is not.
            for id in ["a", "b"] {
                let status =
                    dispatcher.connect().submit("safe", &format!("{id}-{served}"), 7, 400, b"x").status();
                assert!([202, 400, 404, 503].contains(&status), "{case}: {status}");
            }
            dispatcher.signal("TERM");
            assert!(
                dispatcher.wait(),
                "{case}: the process did not exit successfully: {:?}",
                dispatcher.log()
            );
            served += 1;
        }
    }
    assert!(rejected > 100 && served > 50, "{rejected} rejected, {served} served");
}

#[test]
fn a_rejected_setting_ends_the_startup_with_one_line_and_exit_code_2() {
    let platform = Platform::start();
    let mut dispatcher = Dispatcher::new(&platform, &[]);
    let good = dispatcher.config.clone();
    for (key, value, expected) in [
        ("/settings/tick", json!(1e-12), "settings.tick"),
        ("/settings/limits/keepalive", json!(1e300), "settings.limits.keepalive"),
        ("/settings/limits/max_retry_after", json!(-1), "settings.limits.max_retry_after"),
        ("/settings/grades/1/name", json!("safe"), "settings.grades[1].name"),
        ("/settings/grades/0/name", json!("a b"), "settings.grades[0].name"),
        ("/settings/grades/0/name", json!(""), "settings.grades[0].name"),
    ] {
        dispatcher.config = good.clone();
        *dispatcher.config.pointer_mut(key).expect(key) = value;
        let output = dispatcher.command().stderr(Stdio::piped()).output().unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{text}");
        assert!(text.lines().count() == 1 && text.contains(expected), "{expected}: {text}");
    }
}

/// Valid configurations far apart: class names equal to the dispatcher's own paths, each effect, short and long
/// deadlines, small and large limits. Every class is served.
#[test]
fn each_valid_configuration_is_served() {
    let names = ["health", "stats", "status", "ready", "live", "registry", "A-b_c.d~9", "0", "capture.v2"];
    let effects = ["read_like", "idempotency_key", "non_idempotent"];
    let mut delivered = 0;
    for case in 0..9 {
        let endpoint = Endpoint::start(|_, _| Reply::status(200));
        let platform = Platform::start();
        let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
        let class = |i: usize| {
            let deadline = [0.9, 2.4, 30.0, 3600.0][(case + i) % 4];
            let (name, effect) = (names[(case + i) % names.len()], effects[(case + i) % 3]);
            let (gain, group) = ([0.0, 0.5, 8.0][case % 3], ["all", "zone"][i % 2]);
            let (late_share, repeat_window) = ((case % 2) as f64, 0.5 + case as f64);
            json!({"name": name, "deadline": deadline, "effect": effect, "gain": gain, "goal_time": deadline / 3.0,
                "group": group, "late_share": late_share, "repeat_window": repeat_window, "stream": false})
        };
        let settings = &mut dispatcher.config["settings"];
        settings["grades"] = json!([class(0), class(1), class(2)]);
        settings["family_info"]["call_slots"] = [1, 2, 500][case % 3].into();
        settings["family_info"]["loses_worth"] = ["even", "by_half"][case % 2].into();
        settings["limits"]["open_cap"] = [4, 1000][case % 2].into();
        settings["limits"]["send_cap"] = [1, 20][case % 2].into();
        settings["balancers"] = [1, 300][case % 2].into();
        settings["tick"] = [0.001, 0.02][case % 2].into();
        dispatcher.start();
        let mut client = dispatcher.connect();
        for i in 0..3 {
            let name = names[(case + i) % names.len()];
            let status = client.submit(name, &format!("m{i}"), 7, 900, b"x").status();
            assert_eq!(status, 202, "case {case}: {name}");
            // With 300 dispatchers, this one may get no call to an endpoint of one call a second before the deadline.
            let id = format!("m{i}");
            eventually("its delivery or its notice", || {
                endpoint.message_ids().contains(&id) || !platform.outcomes(&id).is_empty()
            });
            delivered += usize::from(endpoint.message_ids().contains(&id));
        }
    }
    assert!(delivered >= 15, "{delivered} of 27 were delivered");
}
