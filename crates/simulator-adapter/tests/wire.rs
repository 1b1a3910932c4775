//! Tests of the adapter as a process: batches on standard input, and replies on standard output or one line on standard
//! error.

use std::io::Write;
use std::process::{Command, Output, Stdio};
use test_case::test_case;

/// Time of all batches, as the hexadecimal digits of a `u64` in microseconds.
const NOW: &str = "5a5c800000000000";
/// Settings of an instance with one listener.
const SETTINGS: &str = "discovery=pushed\ninstances=1\nself_index=0\nlisteners.count=1\nlisteners.0.semantics=read_like\n\
    listeners.0.handshake_target=800000\nrules.cold=8900000\nrules.cold_share=0.31\nrules.tip_multiple=4.0\n\
    permissions.max_dials=4\nspecifics.message_aim=null\nnot.known=1\n";
/// A session for listener 7, which [`SETTINGS`] doesn't have.
const UNKNOWN_LISTENER: &str = "1e0300 0000000000000000 07";
/// An entry of the endpoint list: a ready server.
const READY_ENDPOINT: &str = "0a124a07c32b00000000000 10000803f0000000000000000";
/// A session for listener 0 of instance 3.
const SESSION_REQUEST: &str =
    "1e0300c4913a5d35b00e00000000640ad2557c3bf091da05c40000000000e02e0000107cf3d901648e2b01";

/// Decodes hexadecimal digits, which may contain whitespace.
fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text
        .bytes()
        .filter(|byte| !byte.is_ascii_whitespace())
        .collect();
    digits
        .chunks(2)
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect()
}

/// An event record, padded with zeros to 56 bytes.
fn record(text: &str) -> Vec<u8> {
    let mut bytes = hex(text);
    bytes.resize(56, 0);
    bytes
}

/// A batch at the time [`NOW`], with its header.
fn batch(number: u32, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let body = [records.concat(), tail.to_vec()].concat();
    let header = [number, body.len() as u32, records.len() as u32]
        .map(u32::to_le_bytes)
        .concat();
    [header, hex(NOW), body].concat()
}

/// A batch that starts instance 3 with one endpoint.
fn start_instance(settings: &str) -> Vec<u8> {
    let start = format!("0a03000700000000000000 00000000{}", u32_hex(settings.len()));
    let endpoint_list = format!("14030029000000 02 {}01000000", u32_hex(settings.len()));
    batch(
        1,
        &[record(&start), record(&endpoint_list)],
        &[settings.as_bytes(), &hex(READY_ENDPOINT)].concat(),
    )
}

/// The hexadecimal digits of a number as a little-endian `u32`.
fn u32_hex(number: usize) -> String {
    (number as u32)
        .to_le_bytes()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// Runs the adapter with `input` on standard input, until it exits.
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
fn each_batch_is_answered_by_one_reply_with_the_engines_actions() {
    let timer_event = record("460300 4d000000");
    let input = [
        batch(9, &[], &[]),
        start_instance(SETTINGS),
        batch(2, &[record(SESSION_REQUEST)], &[]),
        batch(3, &[timer_event], &[]),
    ];
    let output = run(&input.concat());
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let set_timer = "320300 a0860100 00000000 00000000000000000000000000";
    let start_attempt = "640300 c4913a5d35b00e00 0a124a07 c32b 801a0600 000000";
    let expected = [
        "09000000 00000000 00000000",
        "01000000 01000000 18000000",
        set_timer,
    ];
    let expected = [
        &expected[..],
        &[
            "02000000 01000000 18000000",
            start_attempt,
            "03000000 01000000 18000000",
            set_timer,
        ],
    ];
    assert_eq!(output.stdout, hex(&expected.concat().concat()));
}

#[test_case(hex("01000000 00"), "input ends 5 bytes into"; "input that ends in a header")]
#[test_case(hex("01000000 38000000 01000000 0000000000000000 1e"), "after 1 of 56"; "input that ends in a body")]
#[test_case(hex("01000000 10000000 01000000 0000000000000000"), "byte 8"; "more records than the body holds")]
#[test_case(batch(1, &[record("140300")], &[]), "instance 3 was never started"; "an instance that was never started")]
#[test_case(batch(1, &[record("0a0300 0000000000000000 00000000 ffff0000")], &[]), "byte 11"; "settings outside the tail")]
#[test_case([start_instance(SETTINGS), batch(2, &[record("fa0300")], &[])].concat(), "event code 250"; "an unknown event code")]
#[test_case([start_instance(SETTINGS), batch(2, &[record(UNKNOWN_LISTENER)], &[])].concat(), "no listener 7"; "a listener that the settings lack")]
#[test_case(start_instance(&SETTINGS.replace("instances=1", "instances=x")), "setting instances"; "a setting that cannot be read")]
#[test_case(start_instance(&SETTINGS.replace("rules.cold=", "old=")), "setting rules.cold is missing"; "a setting that is missing")]
fn malformed_input_ends_the_program_with_one_line_that_names_the_error(
    input: Vec<u8>,
    expected_error: &str,
) {
    let output = run(&input);
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(
        !output.status.success()
            && message.contains(expected_error)
            && message.lines().count() == 1,
        "{message}"
    );
}
