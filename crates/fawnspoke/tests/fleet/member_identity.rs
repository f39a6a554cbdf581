//! The identity of a member: fleet directorys restored empty or from an older copy, two processes with one fleet directory,
//! connections from other fleets, and invalid fleet files.

use super::*;
use std::fs;
use std::net::TcpStream;
use std::process::Command;

fn instance_id(members: &TestFleet, i: usize) -> Option<String> {
    members.status(i)?["birth"].as_str().map(str::to_string)
}

/// Copies the files of a directory.
fn copy_files(from: &Path, to: &Path) {
    fs::create_dir_all(to).expect("a directory");
    for file in fs::read_dir(from).expect("a directory").flatten() {
        fs::copy(file.path(), to.join(file.file_name())).expect("a copy");
    }
}

#[test]
fn a_fleet_directory_restored_empty_is_a_new_member() {
    let mut fleet = start_fleet(3, 0);
    let before = instance_id(&fleet.members, 1);
    fleet.members.dispatchers[1].kill();
    fs::remove_dir_all(fleet.members.dispatchers[1].state_dir().join("fleet")).expect("a directory");
    fleet.members.dispatchers[1].start();
    eventually("the new instance as a voter", || {
        let now = instance_id(&fleet.members, 1);
        let voters = fleet.members.status(0).map(|status| {
            let members = status["members"].as_array().cloned().unwrap_or_default();
            let is_new_voter =
                |m: &&serde_json::Value| m["voter"] == true && m["birth"].as_str() == now.as_deref();
            (members.len(), members.iter().filter(is_new_voter).count())
        });
        now != before && voters == Some((3, 1))
    });
    wait_for_log_maintainer(&fleet.members, 0);
    assert_valid_history(&fleet.members);
}

#[test]
fn a_fleet_directory_restored_from_an_older_copy_is_a_new_member() {
    let mut fleet = start_fleet(3, 0);
    let (state, backup) = {
        let state = fleet.members.dispatchers[2].state_dir();
        (state.join("fleet"), state.join("aside"))
    };
    let before = instance_id(&fleet.members, 2);
    copy_files(&state, &backup);
    // The member acknowledges more log entries after the copy.
    eventually("more log entries to be applied", || {
        let status = fleet.members.status(2).unwrap_or_default();
        status["applied"].as_u64() > Some(40)
    });
    fleet.members.dispatchers[2].kill();
    fs::remove_dir_all(&state).expect("a directory");
    copy_files(&backup, &state);
    fleet.members.dispatchers[2].start();
    eventually("the new instance as a voter", || {
        let now = instance_id(&fleet.members, 2);
        let status = fleet.members.status(0).unwrap_or_default();
        let members = status["members"].as_array().cloned().unwrap_or_default();
        now != before && members.iter().any(|m| m["birth"].as_str() == now.as_deref() && m["voter"] == true)
    });
    assert!(fleet.members.dispatchers[2].log_contains("older copy"));
    assert_valid_history(&fleet.members);
}

#[test]
fn a_second_process_of_a_fleet_directory_is_not_a_second_member() {
    let fleet = start_fleet(1, 0);
    let state = fleet.members.dispatchers[0].state_dir();
    let mut command = fleet.members.dispatchers[0].command();
    // A separate dispatcher, except that its fleet record is a symbolic link to the same directory.
    let other = state.with_file_name("other");
    fs::create_dir_all(&other).expect("a directory");
    std::os::unix::fs::symlink(state.join("fleet"), other.join("fleet")).expect("a link");
    let mut second = command.env("GW_STATE", &other).spawn().expect("a process");
    let output = std::io::BufReader::new(second.stdout.take().expect("its output"));
    let waiting_line =
        std::io::BufRead::lines(output).map_while(Result::ok).find(|line| line.contains("another process"));
    assert!(waiting_line.is_some_and(|line| line.contains("waiting for it")));
    let _ = second.kill();
    second.wait().expect("its end");
    assert_eq!(wait_for_log_maintainer(&fleet.members, 0).0, 0);
}

#[test]
fn members_of_another_fleet_and_unknown_members_are_rejected() {
    let fleet = start_fleet(1, 1);
    let member_address = fleet.members.dispatchers[0].member_address();
    let address = member_address.lock().expect("no panic").expect("its address");
    let exchange_hello = |cluster: &str, name: &str, versions: &str| {
        let text = format!(
            "{{\"versions\":{versions},\"cluster\":\"{cluster}\",\"name\":\"{name}\",\"to\":\"n0\",\"birth\":9,\"life\":1,\
             \"mark\":{{\"term\":0,\"voted\":false,\"last\":0}},\"refused\":null}}"
        );
        let mut connection = TcpStream::connect(address).expect("a connection");
        std::io::Write::write_all(
            &mut connection,
            &[&(text.len() as u32).to_be_bytes()[..], text.as_bytes()].concat(),
        )
        .expect("the hello to be sent");
        let mut answer = Vec::new();
        let _ = std::io::Read::read_to_end(&mut connection, &mut answer);
        String::from_utf8_lossy(&answer).into_owned()
    };
    assert!(exchange_hello("other", "n1", "[1,1]").contains("\"refused\":\"other_fleet\""));
    assert!(exchange_hello("lab", "n9", "[1,1]").contains("\"refused\":\"stranger\""));
    assert!(exchange_hello("lab", "n1", "[7,9]").contains("\"refused\":\"version\""));
    for garbage in [&b"\xff\xff\xff\xff"[..], b"GET / HTTP/1.1\r\n\r\n", b"\0\0\0\x02{}", b"\0"] {
        let mut connection = TcpStream::connect(address).expect("a connection");
        std::io::Write::write_all(&mut connection, garbage).expect("the bytes to be sent");
        let mut answer = Vec::new();
        let _ = std::io::Read::read_to_end(&mut connection, &mut answer);
        assert!(answer.is_empty(), "{garbage:?}: {answer:?}");
    }
    wait_for_log_maintainer(&fleet.members, 0);
}

#[test]
fn an_invalid_fleet_file_ends_the_startup_with_one_line() {
    let fleet = new_fleet(1, 0, FAST_SETTINGS, || Reply::status(200));
    let start_with_file = |text: &str| {
        let mut command = fleet.members.dispatchers[0].command();
        let file = fleet.members.config_file(0).with_extension("bad");
        fs::write(&file, text).expect("a file");
        command.env("FAWNSPOKE_FLEET", &file);
        // The shell command of the test dispatcher sets the valid file, so the program is started directly.
        let config = command.get_envs().find(|(key, _)| *key == "GW_CONFIG").and_then(|(_, value)| value);
        let output = Command::new(env!("CARGO_BIN_EXE_fawnspoke"))
            .env("GW_CONFIG", config.expect("a configuration"))
            .env("GW_STATE", fleet.members.dispatchers[0].state_dir())
            .env("FAWNSPOKE_FLEET", &file)
            .output()
            .expect("a process");
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    let valid_text = fs::read_to_string(fleet.members.config_file(0)).expect("a file");
    for (text, expected) in [
        (valid_text.replace("term_s = 1.0", "term_s = 1000"), "term_s: must lie between"),
        (valid_text.replace("n0", "n5"), "does not name n0"),
        (valid_text.replace("voter", "vote"), "unknown field `vote`"),
        (valid_text.replace("disk_mb = 0.5", "disk_mb = 2"), "the journal needs"),
        ("member {".into(), "bad"),
    ] {
        let (code, error) = start_with_file(&text);
        assert_eq!((code, error.lines().count()), (Some(2), 1), "{error}");
        assert!(
            error.contains(expected) && (error.contains("n0.bad") || error.contains("FAWNSPOKE_FLEET")),
            "{error}"
        );
    }
}
