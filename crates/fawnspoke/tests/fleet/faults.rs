//! Faults of single members: a full disk, a peer that violates the rules of the log, a leader that dies during the
//! handover of a duty.

use super::*;
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

#[test]
fn a_member_with_a_full_disk_stops_voting_and_keeps_delivering() {
    let settings = "term_s = 1.0\nkeeper_round_s = 0.01\ncut_after = 100000\ndisk_mb = 0.5";
    let mut fleet = new_fleet(3, 0, settings, || Reply::status(200));
    // Limits each file of this member to 16 blocks of 512 bytes. SIGXFSZ is ignored, so that the write fails instead of
    // ending the process.
    fleet.members.dispatchers[2].shell_prelude.insert_str(0, "trap '' XFSZ; ulimit -f 16;");
    fleet.members.start();
    eventually("the write error of its log", || {
        fleet.members.dispatchers[2].log_contains("fleet: can't write the log: ")
    });
    assert_eq!(fleet.members.dispatchers[2].submit("keyed", "m1", 7), 202);
    eventually("the call", || fleet.endpoint.message_ids() == ["m1"]);
    let (_, epoch) = wait_for_log_maintainer(&fleet.members, 0);
    assert!(fleet.members.duty_holder("keeper").is_some_and(|(member, _)| member != 2));
    // Without the limit it is a member again.
    fleet.members.dispatchers[2].kill();
    let shell_prefix = fleet.members.dispatchers[2].shell_prelude.replace("ulimit -f 16;", "");
    fleet.members.dispatchers[2].shell_prelude = shell_prefix;
    fleet.members.dispatchers[2].start();
    eventually("the member to rejoin the fleet", || {
        fleet.members.status(2).is_some_and(|status| status["speaks"] == true && status["leader"].is_string())
    });
    assert!(wait_for_log_maintainer(&fleet.members, epoch - 1).1 >= epoch);
    assert_valid_history(&fleet.members);
}

#[test]
fn a_member_rejoins_after_a_peer_sends_an_impossible_commit_index() {
    let mut fleet = new_fleet(1, 1, FAST_SETTINGS, || Reply::status(200));
    fleet.members.bootstrap().expect("a bootstrapped fleet");
    fleet.members.dispatchers[0].start();
    let (_, epoch) = wait_for_log_maintainer(&fleet.members, 0);
    let address =
        fleet.members.dispatchers[0].member_address().lock().expect("no panic").expect("its address");
    let instance_id =
        fleet.members.status(0).expect("a fleet")["birth"].as_str().map(|text| u64::from_str_radix(text, 16));
    let instance = instance_id.expect("an instance id").expect("a hexadecimal number");
    let send = |connection: &mut TcpStream, packet: &[u8]| {
        let bytes = [&(packet.len() as u32).to_be_bytes()[..], packet].concat();
        connection.write_all(&bytes).expect("the packet to be sent");
    };
    let hello = json!({"versions": [1, 1], "cluster": "lab", "name": "n1", "to": "n0", "birth": 9, "life": 1,
        "mark": {"term": 0, "voted": false, "last": 0}, "refused": null});
    let mut connection = TcpStream::connect(address).expect("a connection");
    send(&mut connection, hello.to_string().as_bytes());
    // A heartbeat of a later leader whose commit index lies beyond the log of this member.
    let heartbeat = json!({"kind": 8, "to": instance, "from": 9, "term": 99, "log_term": 0, "index": 0, "entries": [],
        "commit": 1_000_000, "commit_term": 99, "snapshot": null, "request_snapshot": 0, "reject": false,
        "reject_hint": 0, "context": [], "priority": 0});
    let message = serde_json::from_value(heartbeat).expect("a message");
    let frame = fawnspoke_cluster::wire::Frame::Raft(Box::new(message));
    send(&mut connection, &fawnspoke_frames::encode(&frame).expect("a frame"));
    eventually("the member to reopen its log", || {
        fleet.members.dispatchers[0].log_contains("the Raft library panicked")
    });
    drop(connection);
    assert_eq!(fleet.members.dispatchers[0].submit("keyed", "m1", 7), 202);
    wait_for_log_maintainer(&fleet.members, epoch - 1);
    assert_valid_history(&fleet.members);
}

#[test]
fn a_leader_killed_during_a_duty_handover_only_delays_it() {
    let mut fleet = start_fleet(5, 0);
    for delay in [0, 1, 3, 8] {
        let (holder, epoch) = wait_for_log_maintainer(&fleet.members, 0);
        let Some(leader) = fleet.members.leader(holder) else { continue };
        fleet.members.dispatchers[holder].signal("TERM");
        std::thread::sleep(Duration::from_millis(delay));
        if leader != holder {
            fleet.members.dispatchers[leader].kill();
        }
        wait_for_log_maintainer(&fleet.members, epoch);
        fleet.members.dispatchers[holder].wait();
        fleet.members.dispatchers[holder].start();
        if leader != holder {
            fleet.members.dispatchers[leader].start();
        }
        eventually("all five members to know a leader", || {
            (0..5).all(|i| fleet.members.status(i).is_some_and(|status| status["leader"].is_string()))
        });
    }
    assert_valid_history(&fleet.members);
}
