//! The adapter as a process, on bytes.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = "balancers=2\nfamily_info.call_slots=4\nfamily_info.kind_apart=false\n\
    family_info.kind_batch=1\nfamily_info.loses_worth=by_half\ngrades.count=1\ngrades.0.deadline=20.0\n\
    grades.0.effect=read_like\ngrades.0.gain=1.0\ngrades.0.goal_time=2.0\ngrades.0.late_share=0.3\nkinds=all\n\
    limits.open_cap=50\nlimits.send_cap=6\nlimits.probes=true\ndiscovery=automatic\nweights=nominal\nzone=0\n\
    report.fields=x0,x1\nsafety.cold=10.0\nsafety.cold_share=0.2\nsafety.fall=3.0\nsafety.tip_multiple=2.0\n\
    some.unknown.key=7\n";

fn play(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_waydoor-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The adapter may stop reading at a fault.
    let _ = child.stdin.take().unwrap().write_all(input);
    child.wait_with_output().unwrap()
}

fn frame(records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let mut out = 5.0f64.to_be_bytes().to_vec();
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend((records.len() as u32).to_be_bytes());
    out.extend(body);
    out
}

fn begin(settings: &str) -> Vec<u8> {
    let mut out = vec![60];
    out.extend(3u32.to_be_bytes());
    out.extend(9u64.to_be_bytes());
    out.extend((settings.len() as u32).to_be_bytes());
    out.extend(settings.bytes());
    out
}

const ENDPOINT: [u8; 6] = [10, 18, 74, 7, 43, 195];

fn roster() -> Vec<u8> {
    let mut out = vec![40, 0, 0, 0, 0, 0, 1];
    out.extend(ENDPOINT);
    out.extend([2, 0, 0, 0, 0]);
    out.extend(8.0f32.to_be_bytes());
    out.extend(57u16.to_be_bytes());
    out.extend(0.0f64.to_be_bytes());
    out
}

fn update(kind: u8, roster: u16) -> Vec<u8> {
    let mut out = vec![80];
    out.extend(3u32.to_be_bytes());
    out.push(kind);
    out.extend(roster.to_be_bytes());
    out.extend(41u32.to_be_bytes());
    out
}

fn work_item() -> Vec<u8> {
    let mut out = vec![30];
    out.extend(3u32.to_be_bytes());
    out.extend(77u64.to_be_bytes());
    out.push(0);
    out.extend(25.0f64.to_be_bytes());
    out.extend(0u64.to_be_bytes());
    out.push(0);
    out.extend(57.0f32.to_be_bytes());
    out.extend(0.0f64.to_be_bytes());
    out.extend(0u16.to_be_bytes());
    out
}

fn fault(input: &[u8]) -> String {
    let output = play(input);
    assert!(!output.status.success());
    assert!(output.stdout.is_empty() || output.stdout == [0; 8], "nothing but replies on standard output");
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(text.lines().count(), 1, "{text}");
    text
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_the_end_of_input_is_no_fault() {
    let output = play(&frame(&[]));
    assert!(output.status.success());
    assert_eq!(output.stdout, [0; 8]);
    assert!(play(&[]).status.success());
}

#[test]
fn a_message_is_sent_to_its_endpoint() {
    let output = play(&frame(&[begin(SETTINGS), roster(), update(2, 0), work_item()]));
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
fn truncated_frames_are_named() {
    let whole = frame(&[begin(SETTINGS)]);
    assert!(fault(&whole[..7]).contains("header"));
    assert!(fault(&whole[..40]).contains("body"));
}

#[test]
fn an_unknown_event_code_is_named() {
    let text = fault(&frame(&[vec![99, 0, 0, 0, 3]]));
    assert!(text.contains("record 0") && text.contains("99"), "{text}");
}

#[test]
fn a_length_that_does_not_fit_its_records_is_named() {
    let mut short = frame(&[begin(SETTINGS), work_item()]);
    let n = short.len();
    short.truncate(n - 5);
    short[8..12].copy_from_slice(&((n - 16 - 5 + 4) as u32).to_be_bytes());
    assert!(fault(&short).contains("record 1"));
    let mut long = frame(&[begin(SETTINGS), work_item()]);
    long[12..16].copy_from_slice(&1u32.to_be_bytes());
    assert!(fault(&long).contains("bytes left"));
}

#[test]
fn settings_that_cannot_be_read_are_named() {
    let text = fault(&frame(&[begin(&SETTINGS.replace("call_slots=4", "call_slots=many"))]));
    assert!(text.contains("family_info.call_slots") && text.contains("many"), "{text}");
    let text = fault(&frame(&[begin(&SETTINGS.replace("balancers=2\n", ""))]));
    assert!(text.contains("balancers") && text.contains("missing"), "{text}");
    let text = fault(&frame(&[begin(&SETTINGS.replace("call_slots=4", "call_slots=0"))]));
    assert!(text.contains("slots"), "{text}");
    let text = fault(&frame(&[begin(&SETTINGS.replace("read_like", "maybe"))]));
    assert!(text.contains("grades.0.effect") && text.contains("read_like"), "{text}");
}

#[test]
fn a_list_that_never_came_is_named() {
    let text = fault(&frame(&[begin(SETTINGS), update(1, 5)]));
    assert!(text.contains("roster numbered 5"), "{text}");
}
