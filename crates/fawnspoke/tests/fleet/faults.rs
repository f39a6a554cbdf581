//! Faults of a member's own: a disk that is full, a peer that does not keep to the rules of the log, a leader that dies
//! while a duty is handed on.

use super::*;
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

#[test]
fn a_member_whose_disk_is_full_votes_no_more_and_its_dispatcher_serves_on() {
    let settings = "term_s = 1.0\nkeeper_round_s = 0.01\ncut_after = 100000\ndisk_mb = 0.5";
    let mut stage = stage(3, 0, settings, || Reply::status(200));
    // No file of this one may pass 16 blocks of 512 bytes; the write fails instead of ending the process.
    stage.members.dispatchers[2].shell_prelude.insert_str(0, "trap '' XFSZ; ulimit -f 16;");
    stage.members.start();
    eventually("that its record is full", || {
        stage.members.dispatchers[2].log_contains("fleet: the record: ")
    });
    assert_eq!(stage.members.dispatchers[2].submit("keyed", "m1", 7), 202);
    eventually("the call", || stage.endpoint.message_ids() == ["m1"]);
    let (_, epoch) = next_keeper(&stage.members, 0);
    assert!(stage.members.duty_holder("keeper").is_some_and(|(who, _)| who != 2));
    // With room again it is a member as before.
    stage.members.dispatchers[2].kill();
    let before = stage.members.dispatchers[2].shell_prelude.replace("ulimit -f 16;", "");
    stage.members.dispatchers[2].shell_prelude = before;
    stage.members.dispatchers[2].start();
    eventually("its return", || {
        stage.members.status(2).is_some_and(|fleet| fleet["speaks"] == true && fleet["leader"].is_string())
    });
    assert!(next_keeper(&stage.members, epoch - 1).1 >= epoch);
    clean(&stage.members);
}

#[test]
fn a_peer_that_lies_about_the_log_costs_a_second_of_membership() {
    let mut stage = stage(1, 1, QUICK, || Reply::status(200));
    stage.members.bootstrap().expect("a founded fleet");
    stage.members.dispatchers[0].start();
    let (_, epoch) = next_keeper(&stage.members, 0);
    let at = stage.members.dispatchers[0].member_address().lock().expect("no panic").expect("its address");
    let birth =
        stage.members.status(0).expect("a fleet")["birth"].as_str().map(|text| u64::from_str_radix(text, 16));
    let to = birth.expect("a birth").expect("a number");
    let send = |link: &mut TcpStream, packet: &[u8]| {
        let bytes = [&(packet.len() as u32).to_be_bytes()[..], packet].concat();
        link.write_all(&bytes).expect("it takes a packet");
    };
    let hello = json!({"versions": [1, 1], "cluster": "lab", "name": "n1", "to": "n0", "birth": 9, "life": 1,
        "mark": {"term": 0, "voted": false, "last": 0}, "refused": null});
    let mut link = TcpStream::connect(at).expect("a connection");
    send(&mut link, hello.to_string().as_bytes());
    // A heartbeat of a later leader that has agreed on what this member never had.
    let heartbeat = json!({"kind": 8, "to": to, "from": 9, "term": 99, "log_term": 0, "index": 0, "entries": [],
        "commit": 1_000_000, "commit_term": 99, "snapshot": null, "request_snapshot": 0, "reject": false,
        "reject_hint": 0, "context": [], "priority": 0});
    let message = serde_json::from_value(heartbeat).expect("a message");
    let frame = fawnspoke_cluster::wire::Frame::Raft(Box::new(message));
    send(&mut link, &fawnspoke_frames::encode(&frame).expect("a frame"));
    eventually("that it opens its record anew", || {
        stage.members.dispatchers[0].log_contains("not as its rules have it")
    });
    drop(link);
    assert_eq!(stage.members.dispatchers[0].submit("keyed", "m1", 7), 202);
    next_keeper(&stage.members, epoch - 1);
    clean(&stage.members);
}

#[test]
fn a_leader_killed_while_a_duty_is_handed_on_costs_time_alone() {
    let mut stage = started(5, 0);
    for delay in [0, 1, 3, 8] {
        let (holder, epoch) = next_keeper(&stage.members, 0);
        let Some(leader) = stage.members.leader(holder) else { continue };
        stage.members.dispatchers[holder].signal("TERM");
        std::thread::sleep(Duration::from_millis(delay));
        if leader != holder {
            stage.members.dispatchers[leader].kill();
        }
        next_keeper(&stage.members, epoch);
        stage.members.dispatchers[holder].wait();
        stage.members.dispatchers[holder].start();
        if leader != holder {
            stage.members.dispatchers[leader].start();
        }
        eventually("all five", || {
            (0..5).all(|i| stage.members.status(i).is_some_and(|fleet| fleet["leader"].is_string()))
        });
    }
    clean(&stage.members);
}
