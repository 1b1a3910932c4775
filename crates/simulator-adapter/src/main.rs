//! Carries the bench's batches to the decision modules, one a proxy, and their actions back.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

mod frame;
mod link;

use std::io::{self, BufWriter, Read, Write};
use std::process::ExitCode;

/// Bytes of a batch that are taken on trust before they arrive.
const AHEAD: usize = 1 << 20;

fn main() -> ExitCode {
    match run(io::stdin().lock(), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("asterramp-simulator-adapter: {what}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batches until the input ends.
fn run(mut input: impl Read, mut output: impl Write) -> Result<(), String> {
    let mut link = link::Link::default();
    let mut body = Vec::new();
    let mut reply = Vec::new();
    loop {
        let mut head = [0; frame::HEAD];
        let got = read_up_to(&mut input, &mut head)?;
        if got == 0 {
            return Ok(());
        }
        if got < head.len() {
            return Err(format!(
                "input ends {got} bytes into a batch's header of {}",
                head.len()
            ));
        }
        let head = frame::Head::read(&head)?;
        body.clear();
        body.reserve(head.size.min(AHEAD));
        let came = (&mut input)
            .take(head.size as u64)
            .read_to_end(&mut body)
            .map_err(|e| format!("reading: {e}"))?;
        if came < head.size {
            return Err(format!(
                "batch {}: input ends after {came} of {} bytes",
                head.number, head.size
            ));
        }
        reply.clear();
        link.answer(&head, &body, &mut reply)
            .map_err(|what| format!("batch {}: {what}", head.number))?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|e| format!("writing: {e}"))?;
    }
}

fn read_up_to(input: &mut impl Read, into: &mut [u8]) -> Result<usize, String> {
    let mut got = 0;
    while got < into.len() {
        match input.read(&mut into[got..]) {
            Ok(0) => break,
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("reading: {e}")),
        }
    }
    Ok(got)
}
