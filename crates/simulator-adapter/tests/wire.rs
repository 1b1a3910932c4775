//! Frames on the wire, byte by byte, and what becomes of bad ones.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

use std::io::Write;
use std::process::{Command, Output, Stdio};
use test_case::test_case;

const CLOCK: &str = "5a5c800000000000";
const SETUP: &str = "discovery=pushed\ninstances=1\nself_index=0\nlisteners.count=1\nlisteners.0.semantics=read_like\n\
    listeners.0.handshake_target=800000\nrules.cold=8900000\nrules.cold_share=0.31\nrules.tip_multiple=4.0\n\
    permissions.max_dials=4\nspecifics.message_aim=null\nnot.known=1\n";
const STRANGER: &str = "1e0300 0000000000000000 07";
const LINE: &str = "0a124a07c32b00000000000 10000803f0000000000000000";
const INGRESS: &str =
    "1e0300c4913a5d35b00e00000000640ad2557c3bf091da05c40000000000e02e0000107cf3d901648e2b01";

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(|b| !b.is_ascii_whitespace()).collect();
    digits
        .chunks(2)
        .map(|d| u8::from_str_radix(std::str::from_utf8(d).unwrap(), 16).unwrap())
        .collect()
}

fn record(text: &str) -> Vec<u8> {
    let mut bytes = hex(text);
    bytes.resize(56, 0);
    bytes
}

fn batch(number: u32, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let body = [records.concat(), tail.to_vec()].concat();
    let head = [number, body.len() as u32, records.len() as u32]
        .map(u32::to_le_bytes)
        .concat();
    [head, hex(CLOCK), body].concat()
}

fn start(setup: &str) -> Vec<u8> {
    let attach = format!("0a03000700000000000000 00000000{}", at(setup.len()));
    let view = format!("14030029000000 02 {}01000000", at(setup.len()));
    batch(
        1,
        &[record(&attach), record(&view)],
        &[setup.as_bytes(), &hex(LINE)].concat(),
    )
}

fn at(n: usize) -> String {
    (n as u32)
        .to_le_bytes()
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect()
}

fn run(input: &[u8]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_asterramp-simulator-adapter"));
    let piped = command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let mut child = piped.spawn().unwrap();
    child.stdin.take().unwrap().write_all(input).unwrap();
    child.wait_with_output().unwrap()
}

#[test]
fn frames_go_both_ways() {
    let ring = record("460300 4d000000");
    let input = [
        batch(9, &[], &[]),
        start(SETUP),
        batch(2, &[record(INGRESS)], &[]),
        batch(3, &[ring], &[]),
    ];
    let output = run(&input.concat());
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let timer = "320300 a0860100 00000000 00000000000000000000000000";
    let attempt = "640300 c4913a5d35b00e00 0a124a07 c32b 801a0600 000000";
    let expected = [
        "09000000 00000000 00000000",
        "01000000 01000000 18000000",
        timer,
    ];
    let expected = [
        &expected[..],
        &[
            "02000000 01000000 18000000",
            attempt,
            "03000000 01000000 18000000",
            timer,
        ],
    ];
    assert_eq!(output.stdout, hex(&expected.concat().concat()));
}

#[test_case(hex("01000000 00"), "input ends 5 bytes into"; "truncated header")]
#[test_case(hex("01000000 38000000 01000000 0000000000000000 1e"), "after 1 of 56"; "truncated body")]
#[test_case(hex("01000000 10000000 01000000 0000000000000000"), "byte 8"; "more records than bytes")]
#[test_case(batch(1, &[record("140300")], &[]), "instance 3 was never started"; "unknown instance")]
#[test_case(batch(1, &[record("0a0300 0000000000000000 00000000 ffff0000")], &[]), "byte 11"; "tail overrun")]
#[test_case([start(SETUP), batch(2, &[record("fa0300")], &[])].concat(), "event code 250"; "unknown event")]
#[test_case([start(SETUP), batch(2, &[record(STRANGER)], &[])].concat(), "no listener 7"; "listener")]
#[test_case(start(&SETUP.replace("instances=1", "instances=x")), "setting instances"; "unreadable setting")]
#[test_case(start(&SETUP.replace("rules.cold=", "old=")), "setting rules.cold is missing"; "missing setting")]
fn bad_input_ends_in_one_plain_line(input: Vec<u8>, says: &str) {
    let output = run(&input);
    let said = String::from_utf8(output.stderr).unwrap();
    assert!(
        !output.status.success() && said.contains(says) && said.lines().count() == 1,
        "{said}"
    );
}
