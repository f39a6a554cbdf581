//! Adapter that runs dispatchers for the simulator: reads batches of events from standard input and writes one reply
//! per batch to standard output.

mod host;
mod settings;
mod wire;

use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

fn run() -> Result<(), wire::WireError> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let mut host = host::Host::default();
    while let Some(batch) = wire::read_batch(&mut input)? {
        let reply = host.handle_batch(&batch)?;
        output.write_all(&reply)?;
        output.flush()?;
    }
    Ok(())
}

fn main() -> ExitCode {
    // The host reports panics in its replies; the default hook would print them a second time.
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("waydoor-drill: {error}");
            ExitCode::FAILURE
        }
    }
}
