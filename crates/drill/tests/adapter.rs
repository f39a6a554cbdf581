//! Runs the adapter as a process on encoded batches.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = "balancers=2\nfamily_info.call_slots=4\nfamily_info.kind_apart=false\n\
    family_info.kind_batch=1\nfamily_info.loses_worth=by_half\ngrades.count=1\ngrades.0.deadline=20.0\n\
    grades.0.effect=read_like\ngrades.0.gain=1.0\ngrades.0.goal_time=2.0\ngrades.0.late_share=0.3\nkinds=all\n\
    limits.open_cap=50\nlimits.send_cap=6\nlimits.probes=true\ndiscovery=automatic\nweights=nominal\nzone=0\n\
    report.fields=x0,x1\nsafety.cold=10.0\nsafety.cold_share=0.2\nsafety.fall=3.0\nsafety.tip_multiple=2.0\n\
    some.unknown.key=7\n";

fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_waydoor-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The adapter may exit before it has read everything, if the input is malformed.
    let _ = child.stdin.take().unwrap().write_all(input);
    child.wait_with_output().unwrap()
}

/// A frame at simulated time 5.0.
fn encode_frame(records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let mut bytes = 5.0f64.to_be_bytes().to_vec();
    bytes.extend((body.len() as u32 + 4).to_be_bytes());
    bytes.extend((records.len() as u32).to_be_bytes());
    bytes.extend(body);
    bytes
}

fn create_instance(settings: &str) -> Vec<u8> {
    let mut bytes = vec![60];
    bytes.extend(3u32.to_be_bytes());
    bytes.extend(9u64.to_be_bytes());
    bytes.extend((settings.len() as u32).to_be_bytes());
    bytes.extend(settings.bytes());
    bytes
}

const ENDPOINT: [u8; 6] = [10, 18, 74, 7, 43, 195];

fn endpoint_list() -> Vec<u8> {
    let mut bytes = vec![40, 0, 0, 0, 0, 0, 1];
    bytes.extend(ENDPOINT);
    bytes.extend([2, 0, 0, 0, 0]);
    bytes.extend(8.0f32.to_be_bytes());
    bytes.extend(57u16.to_be_bytes());
    bytes.extend(0.0f64.to_be_bytes());
    bytes
}

fn list_update(kind: u8, list_id: u16) -> Vec<u8> {
    let mut bytes = vec![80];
    bytes.extend(3u32.to_be_bytes());
    bytes.push(kind);
    bytes.extend(list_id.to_be_bytes());
    bytes.extend(41u32.to_be_bytes());
    bytes
}

fn message() -> Vec<u8> {
    let mut bytes = vec![30];
    bytes.extend(3u32.to_be_bytes());
    bytes.extend(77u64.to_be_bytes());
    bytes.push(0);
    bytes.extend(25.0f64.to_be_bytes());
    bytes.extend(0u64.to_be_bytes());
    bytes.push(0);
    bytes.extend(57.0f32.to_be_bytes());
    bytes.extend(0.0f64.to_be_bytes());
    bytes.extend(0u16.to_be_bytes());
    bytes
}

/// Runs the adapter on malformed input and returns its error line.
fn rejection(input: &[u8]) -> String {
    let output = run_adapter(input);
    assert!(!output.status.success());
    assert!(
        output.stdout.is_empty() || output.stdout == [0; 8],
        "standard output must hold nothing but replies"
    );
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(text.lines().count(), 1, "{text}");
    text
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_end_of_input_is_success() {
    let output = run_adapter(&encode_frame(&[]));
    assert!(output.status.success());
    assert_eq!(output.stdout, [0; 8]);
    assert!(run_adapter(&[]).status.success());
}

#[test]
fn a_message_is_sent_to_its_endpoint() {
    let output = run_adapter(&encode_frame(&[
        create_instance(SETTINGS),
        endpoint_list(),
        list_update(2, 0),
        message(),
    ]));
    assert!(output.status.success(), "{output:?}");
    let reply = output.stdout;
    let mut send = vec![10];
    send.extend(3u32.to_be_bytes());
    send.extend(77u64.to_be_bytes());
    send.extend(ENDPOINT);
    assert_eq!(reply[8..8 + send.len()], send);
    assert_eq!(u32::from_be_bytes(reply[4..8].try_into().unwrap()) as usize, reply.len() - 8);
}

#[test]
fn the_error_names_the_truncated_part_of_a_frame() {
    let complete = encode_frame(&[create_instance(SETTINGS)]);
    assert!(rejection(&complete[..7]).contains("header"));
    assert!(rejection(&complete[..40]).contains("body"));
}

#[test]
fn the_error_names_an_unknown_event_code() {
    let text = rejection(&encode_frame(&[vec![99, 0, 0, 0, 3]]));
    assert!(text.contains("record 0") && text.contains("99"), "{text}");
}

#[test]
fn the_error_names_a_length_that_does_not_fit_the_records() {
    let mut short = encode_frame(&[create_instance(SETTINGS), message()]);
    let length = short.len();
    short.truncate(length - 5);
    short[8..12].copy_from_slice(&((length - 16 - 5 + 4) as u32).to_be_bytes());
    assert!(rejection(&short).contains("record 1"));
    let mut long = encode_frame(&[create_instance(SETTINGS), message()]);
    long[12..16].copy_from_slice(&1u32.to_be_bytes());
    assert!(rejection(&long).contains("bytes left"));
}

#[test]
fn the_error_names_invalid_settings() {
    let text =
        rejection(&encode_frame(&[create_instance(&SETTINGS.replace("call_slots=4", "call_slots=many"))]));
    assert!(text.contains("family_info.call_slots") && text.contains("many"), "{text}");
    let text = rejection(&encode_frame(&[create_instance(&SETTINGS.replace("balancers=2\n", ""))]));
    assert!(text.contains("balancers") && text.contains("missing"), "{text}");
    let text =
        rejection(&encode_frame(&[create_instance(&SETTINGS.replace("call_slots=4", "call_slots=0"))]));
    assert!(text.contains("slots"), "{text}");
    let text = rejection(&encode_frame(&[create_instance(&SETTINGS.replace("read_like", "maybe"))]));
    assert!(text.contains("grades.0.effect") && text.contains("read_like"), "{text}");
}

#[test]
fn the_error_names_a_missing_endpoint_list() {
    let text = rejection(&encode_frame(&[create_instance(SETTINGS), list_update(1, 5)]));
    assert!(text.contains("roster numbered 5"), "{text}");
}
