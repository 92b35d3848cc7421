//! One size in a process of its own, bounded in processor time.

use std::io::Read;
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use anyhow::{bail, Context, Result};
use rustix::process::{kill_process_group, Pid, Signal};

use super::measure::Reading;
use super::roles::Role;

/// A child is looked at this often.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// The machine is shared: a child may take so many times its processor time by the clock on the wall.
const WALL_FACTOR: u32 = 4;
/// The kernel tells processor times of other processes in these parts of a second (proc(5), `USER_HZ`).
const TICKS_A_SECOND: f64 = 100.0;

/// Measures in this process, and prints the readings as JSON.
pub fn measure_here(role: &Role, size: u64, seed: u64) -> Result<()> {
    let readings = (role.measure)(size, seed)?;
    println!("{}", serde_json::to_string(&readings)?);
    Ok(())
}

/// Measures in a new process.
pub fn measure(role: &Role, size: u64, seed: u64, limit: Duration) -> Result<Vec<Reading>> {
    let mut child = Command::new(std::env::current_exe()?)
        .args(["capacity", "--role", role.name, "--only-size", &size.to_string()])
        .args(["--seed", &seed.to_string()])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        // A controller that it starts is in its group, and ends with it.
        .process_group(0)
        .spawn()?;
    let ended = wait(&mut child, limit);
    if ended.is_err() {
        kill_process_group(Pid::from_child(&child), Signal::KILL)?;
        child.wait()?;
    }
    let succeeded = ended?;
    let mut text = String::new();
    if !succeeded {
        child.stderr.take().context("its errors")?.read_to_string(&mut text)?;
        bail!("{}", text.trim());
    }
    child.stdout.take().context("its output")?.read_to_string(&mut text)?;
    Ok(serde_json::from_str(&text)?)
}

/// Waits for its end; a fault where it passes its limit.
fn wait(child: &mut Child, limit: Duration) -> Result<bool> {
    let begun = Instant::now();
    loop {
        if let Some(status) = child.try_wait()? {
            return Ok(status.success());
        }
        let used = processor_time_of(child.id()).unwrap_or_default();
        if used > limit || begun.elapsed() > limit * WALL_FACTOR {
            bail!("over its limit of {} s of processor time", limit.as_secs());
        }
        std::thread::sleep(LOOK_EVERY);
    }
}

/// Processor time that another process has used, in the kernel and outside it.
pub fn processor_time_of(process: u32) -> Result<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    // The second field is the name in brackets, and may hold anything.
    let after_name = text.rsplit_once(')').context("no name")?.1;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |at: usize| -> Result<f64> { Ok(fields.get(at).context("too few fields")?.parse()?) };
    Ok(Duration::from_secs_f64((ticks(11)? + ticks(12)?) / TICKS_A_SECOND))
}
