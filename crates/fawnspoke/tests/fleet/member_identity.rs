//! Who a member is: folders that come back empty or older, two processes of one folder, another fleet's members, files
//! that are wrong.

use super::*;
use std::fs;
use std::net::TcpStream;
use std::process::Command;

fn birth(members: &TestFleet, i: usize) -> Option<String> {
    members.status(i)?["birth"].as_str().map(str::to_string)
}

/// Copies the files of a folder.
fn copy(from: &Path, to: &Path) {
    fs::create_dir_all(to).expect("a folder");
    for file in fs::read_dir(from).expect("a folder").flatten() {
        fs::copy(file.path(), to.join(file.file_name())).expect("a copy");
    }
}

#[test]
fn a_folder_that_comes_back_empty_is_a_new_member() {
    let mut stage = started(3, 0);
    let before = birth(&stage.members, 1);
    stage.members.dispatchers[1].kill();
    fs::remove_dir_all(stage.members.dispatchers[1].state_dir().join("fleet")).expect("a folder");
    stage.members.dispatchers[1].start();
    eventually("the new birth as a voter", || {
        let now = birth(&stage.members, 1);
        let voters = stage.members.status(0).map(|fleet| {
            let members = fleet["members"].as_array().cloned().unwrap_or_default();
            let votes = |m: &&serde_json::Value| m["voter"] == true && m["birth"].as_str() == now.as_deref();
            (members.len(), members.iter().filter(votes).count())
        });
        now != before && voters == Some((3, 1))
    });
    next_keeper(&stage.members, 0);
    clean(&stage.members);
}

#[test]
fn a_folder_that_comes_back_as_an_older_copy_is_a_new_member() {
    let mut stage = started(3, 0);
    let (state, aside) = {
        let state = stage.members.dispatchers[2].state_dir();
        (state.join("fleet"), state.join("aside"))
    };
    let before = birth(&stage.members, 2);
    copy(&state, &aside);
    // It acknowledges more after the copy.
    eventually("more of the log", || {
        let fleet = stage.members.status(2).unwrap_or_default();
        fleet["applied"].as_u64() > Some(40)
    });
    stage.members.dispatchers[2].kill();
    fs::remove_dir_all(&state).expect("a folder");
    copy(&aside, &state);
    stage.members.dispatchers[2].start();
    eventually("a new birth, as a voter", || {
        let now = birth(&stage.members, 2);
        let fleet = stage.members.status(0).unwrap_or_default();
        let members = fleet["members"].as_array().cloned().unwrap_or_default();
        now != before && members.iter().any(|m| m["birth"].as_str() == now.as_deref() && m["voter"] == true)
    });
    assert!(stage.members.dispatchers[2].log_contains("older copy"));
    clean(&stage.members);
}

#[test]
fn a_second_process_of_a_folder_is_not_a_second_member() {
    let stage = started(1, 0);
    let fleet = stage.members.dispatchers[0].state_dir();
    let mut command = stage.members.dispatchers[0].command();
    // Another dispatcher altogether, but for the record of the fleet: a link to the same folder.
    let other = fleet.with_file_name("other");
    fs::create_dir_all(&other).expect("a folder");
    std::os::unix::fs::symlink(fleet.join("fleet"), other.join("fleet")).expect("a link");
    let mut second = command.env("GW_STATE", &other).spawn().expect("a process");
    let output = std::io::BufReader::new(second.stdout.take().expect("its output"));
    let said =
        std::io::BufRead::lines(output).map_while(Result::ok).find(|line| line.contains("another process"));
    assert!(said.is_some_and(|line| line.contains("waiting for it")));
    let _ = second.kill();
    second.wait().expect("its end");
    assert_eq!(next_keeper(&stage.members, 0).0, 0);
}

#[test]
fn another_fleets_members_and_strangers_get_one_plain_refusal() {
    let stage = started(1, 1);
    let heard = stage.members.dispatchers[0].member_address();
    let at = heard.lock().expect("no panic").expect("its address");
    let hello = |cluster: &str, name: &str, versions: &str| {
        let text = format!(
            "{{\"versions\":{versions},\"cluster\":\"{cluster}\",\"name\":\"{name}\",\"to\":\"n0\",\"birth\":9,\"life\":1,\
             \"mark\":{{\"term\":0,\"voted\":false,\"last\":0}},\"refused\":null}}"
        );
        let mut link = TcpStream::connect(at).expect("a connection");
        std::io::Write::write_all(
            &mut link,
            &[&(text.len() as u32).to_be_bytes()[..], text.as_bytes()].concat(),
        )
        .expect("it takes a hello");
        let mut answer = Vec::new();
        let _ = std::io::Read::read_to_end(&mut link, &mut answer);
        String::from_utf8_lossy(&answer).into_owned()
    };
    assert!(hello("other", "n1", "[1,1]").contains("\"refused\":\"other_fleet\""));
    assert!(hello("lab", "n9", "[1,1]").contains("\"refused\":\"stranger\""));
    assert!(hello("lab", "n1", "[7,9]").contains("\"refused\":\"version\""));
    for garbage in [&b"\xff\xff\xff\xff"[..], b"GET / HTTP/1.1\r\n\r\n", b"\0\0\0\x02{}", b"\0"] {
        let mut link = TcpStream::connect(at).expect("a connection");
        std::io::Write::write_all(&mut link, garbage).expect("it takes bytes");
        let mut answer = Vec::new();
        let _ = std::io::Read::read_to_end(&mut link, &mut answer);
        assert!(answer.is_empty(), "{garbage:?}: {answer:?}");
    }
    next_keeper(&stage.members, 0);
}

#[test]
fn a_file_that_is_wrong_ends_the_start_with_one_line() {
    let stage = stage(1, 0, QUICK, || Reply::status(200));
    let started = |text: &str| {
        let mut command = stage.members.dispatchers[0].command();
        let file = stage.members.config_file(0).with_extension("bad");
        fs::write(&file, text).expect("a file");
        command.env("FAWNSPOKE_FLEET", &file);
        // The stage's own shell line names the good file.
        let config = command.get_envs().find(|(key, _)| *key == "GW_CONFIG").and_then(|(_, value)| value);
        let output = Command::new(env!("CARGO_BIN_EXE_fawnspoke"))
            .env("GW_CONFIG", config.expect("a configuration"))
            .env("GW_STATE", stage.members.dispatchers[0].state_dir())
            .env("FAWNSPOKE_FLEET", &file)
            .output()
            .expect("a process");
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    let good = fs::read_to_string(stage.members.config_file(0)).expect("a file");
    for (text, expected) in [
        (good.replace("term_s = 1.0", "term_s = 1000"), "term_s: must lie between"),
        (good.replace("n0", "n5"), "does not name n0"),
        (good.replace("voter", "vote"), "unknown field `vote`"),
        (good.replace("disk_mb = 0.5", "disk_mb = 2"), "the journal needs"),
        ("member {".into(), "bad"),
    ] {
        let (code, error) = started(&text);
        assert_eq!((code, error.lines().count()), (Some(2), 1), "{error}");
        assert!(
            error.contains(expected) && (error.contains("n0.bad") || error.contains("FAWNSPOKE_FLEET")),
            "{error}"
        );
    }
}
