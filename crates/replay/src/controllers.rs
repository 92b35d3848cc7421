//! The controllers of a day: a process each, started, killed outright, stopped and started anew.

use std::fs::File;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use anyhow::{bail, Context, Result};
use badgerledge_controller::revising::{create_state, STATE_FILE};
use badgerledge_standins::free_port;
use rustix::process::{kill_process, Pid, Signal};

use crate::day::Day;
use crate::gossip::KeyFolder;

/// One controller of the day.
struct One {
    listen: SocketAddr,
    zone: usize,
    settings: PathBuf,
    log: PathBuf,
    state: PathBuf,
    child: Option<Child>,
    starts: u32,
    /// It runs the other build.
    other: bool,
    /// Ended in order, and not gone yet.
    ending: Option<Child>,
}

pub struct Controllers {
    program: PathBuf,
    other_program: Option<PathBuf>,
    log_level: String,
    all: Vec<One>,
}

/// Seeds that each controller is told of.
const SEEDS: usize = 3;

fn gossip_section(keys: &KeyFolder, number: usize, own: SocketAddr, reached: &[SocketAddr]) -> String {
    let seeds: Vec<String> = reached.iter().take(SEEDS).map(SocketAddr::to_string).collect();
    format!(
        "[gossip]\nlisten = {own}\nadvertise = {}\nseeds = {}\nring = {}\nkey = {}\n",
        reached[number],
        seeds.join(", "),
        keys.ring().display(),
        keys.key(number as u32).display()
    )
}

/// How long a controller may take to listen: a debug build on a busy machine takes well under a second.
const PATIENCE: Duration = Duration::from_secs(20);

impl Controllers {
    /// Writes the settings of all controllers. `peers` are the addresses at which each is reached by the others,
    /// and its own.
    pub fn new(
        day: &Day, (program, other_program): (&Path, Option<&Path>), folder: &Path, log_level: &str,
        list: SocketAddr, own: &[SocketAddr], reached: &[SocketAddr], keys: Option<&KeyFolder>,
    ) -> Result<Self> {
        let mut all = Vec::new();
        for (number, own_at) in own.iter().enumerate() {
            let listen = free_port().context("a port for a controller")?;
            let zone = number % day.shared.fleet.zones.len();
            let mut peers = reached.to_vec();
            peers[number] = *own_at;
            let peers: Vec<String> = peers.iter().map(SocketAddr::to_string).collect();
            let peers =
                if keys.is_some() { String::new() } else { format!("peers = {}\n", peers.join(", ")) };
            let mut gossip =
                keys.map(|keys| gossip_section(keys, number, *own_at, reached)).unwrap_or_default();
            // An earlier build knows nothing of it.
            if day.gossip.as_ref().is_some_and(|told| told.strain) {
                gossip += "strain = true\n";
            }
            let state = folder.join(format!("state-{number}"));
            if let Some(script) = &day.revisions {
                let told = &script.told;
                gossip += &format!("[revisions]\nregime = {}\nlists = {}\n", told.regime, told.lists);
                // An earlier build knows nothing of titles.
                if told.catalogue {
                    gossip += &format!("catalogue = true\nleave_within_s = {}\n", told.leave_within_s);
                }
                if number < usize::from(script.told.keepers) && !state.join(STATE_FILE).exists() {
                    create_state(&state)?;
                }
            }
            let text = format!(
                "[controller]\nnumber = {number}\ncontrollers = {}\nzone = {}\nlisten = {listen}\nlist = {list}\n\
                 {peers}catalogue = {}\nstate = {}\nseed = {}\n{gossip}{}",
                own.len(),
                day.shared.fleet.zones[zone],
                folder.join("catalogue.ini").display(),
                state.display(),
                day.course.seed.wrapping_mul(1000) + number as u64,
                if number < day.course.old_controllers as usize { &day.old_text } else { &day.shared_text },
            );
            let settings = folder.join(format!("controller-{number}.ini"));
            std::fs::write(&settings, text).with_context(|| settings.display().to_string())?;
            let log = folder.join(format!("controller-{number}.log"));
            let (other, ending) = (false, None);
            all.push(One { listen, zone, settings, log, state, child: None, starts: 0, other, ending });
        }
        Ok(Self {
            program: program.to_owned(),
            other_program: other_program.map(Path::to_owned),
            log_level: log_level.to_owned(),
            all,
        })
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Where viewers reach each, and its building.
    pub fn places(&self) -> Vec<(SocketAddr, usize)> {
        self.all.iter().map(|one| (one.listen, one.zone)).collect()
    }

    pub fn in_zone(&self, zone: usize) -> Vec<usize> {
        (0..self.all.len()).filter(|number| self.all[*number].zone == zone).collect()
    }

    /// How often each was started.
    pub fn starts(&self) -> Vec<u32> {
        self.all.iter().map(|one| one.starts).collect()
    }

    pub fn start(&mut self, number: usize) -> Result<()> {
        let one = &mut self.all[number];
        let log = File::options().create(true).append(true).open(&one.log);
        let log = log.with_context(|| one.log.display().to_string())?;
        // One that was told to end may take its time; two of one number must not run.
        if let Some(mut ending) = one.ending.take() {
            let _ = ending.kill();
            let _ = ending.wait();
        }
        let (program, first) = match &self.other_program {
            Some(other) if one.other => (other, &["run"][..]),
            _ => (&self.program, &["controller", "run"][..]),
        };
        let child = Command::new(program)
            .args(first)
            .args(["--log-level", &self.log_level])
            .arg(&one.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .with_context(|| format!("starting {}", program.display()))?;
        one.child = Some(child);
        one.starts += 1;
        Ok(())
    }

    /// Waits until all of them listen.
    pub fn wait_ready(&mut self) -> Result<()> {
        let begun = std::time::Instant::now();
        for one in &mut self.all {
            while TcpStream::connect_timeout(&one.listen, Duration::from_millis(200)).is_err() {
                let ended = one.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))));
                if ended || begun.elapsed() > PATIENCE {
                    let log = std::fs::read_to_string(&one.log).unwrap_or_default();
                    bail!("a controller does not serve at {}; its log:\n{log}", one.listen);
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        Ok(())
    }

    /// Kills a controller outright.
    pub fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.all[number].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Tells a controller to end in order.
    pub fn end(&mut self, number: usize) {
        self.signal(number, Signal::TERM);
        self.all[number].ending = self.all[number].child.take();
    }

    /// The build that a controller is started with next.
    ///
    /// # Errors
    /// Where there is no other build.
    pub fn take_build(&mut self, number: usize, other: bool) -> Result<()> {
        if other && self.other_program.is_none() {
            bail!("the day starts controllers with another program, and is played without one");
        }
        self.all[number].other = other;
        Ok(())
    }

    /// Those whose build is the other one, or this one.
    pub fn of_build(&self, other: bool) -> Vec<usize> {
        (0..self.len()).filter(|number| self.all[*number].other == other).collect()
    }

    /// A controller's file has another line from now on: `SECTION: KEY = VALUE`.
    ///
    /// # Errors
    /// Where the line is not in order or the file has no such section.
    pub fn change_file(&mut self, number: usize, line: &str) -> Result<()> {
        let path = &self.all[number].settings;
        let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
        let told = line.split_once(": ").and_then(|(section, rest)| Some((section, rest.split_once('=')?)));
        let Some((section, (key, value))) = told else { bail!("{line}: SECTION: KEY = VALUE is taken") };
        let (head, key) = (format!("[{section}]"), key.trim());
        if !text.lines().any(|line| line == head) {
            bail!("{line}: there is no such section");
        }
        let (mut within, mut changed) = (false, String::new());
        for line in text.lines() {
            within = if line.starts_with('[') { line == head } else { within };
            let ours = line.split_once('=').is_some_and(|(name, _)| within && name.trim() == key);
            if !ours {
                changed += &format!("{line}\n");
            }
            if line == head {
                changed += &format!("{key} = {}\n", value.trim());
            }
        }
        std::fs::write(path, changed).with_context(|| path.display().to_string())
    }

    /// All that a controller stored is gone.
    pub fn lose_disk(&mut self, number: usize) {
        let _ = std::fs::remove_dir_all(&self.all[number].state);
    }

    /// Those that run, by number.
    pub fn running(&self) -> Vec<usize> {
        (0..self.len()).filter(|number| self.runs(*number)).collect()
    }

    pub fn runs(&self, number: usize) -> bool {
        self.all[number].child.is_some()
    }

    fn signal(&self, number: usize, signal: Signal) {
        let pid = self.all[number].child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Stops a controller, as a machine does that hangs.
    pub fn stop(&self, number: usize) {
        self.signal(number, Signal::STOP);
    }

    pub fn go_on(&self, number: usize) {
        self.signal(number, Signal::CONT);
    }

    /// Controllers that ended by themselves: none should.
    pub fn ended(&mut self) -> Vec<usize> {
        let mut ended = Vec::new();
        for (number, one) in self.all.iter_mut().enumerate() {
            if one.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_)))) {
                one.child = None;
                ended.push(number);
            }
        }
        ended
    }

    /// Ends all in order: SIGTERM, and those that take too long are killed.
    pub fn finish(&mut self) -> Vec<bool> {
        (0..self.len()).for_each(|number| {
            self.go_on(number);
            self.signal(number, Signal::TERM);
        });
        let begun = std::time::Instant::now();
        let mut orderly = Vec::new();
        for one in &mut self.all {
            let Some(mut child) = one.child.take() else { continue };
            let mut ended = None;
            while ended.is_none() && begun.elapsed() < Duration::from_secs(5) {
                ended = child.try_wait().ok().flatten();
                std::thread::sleep(Duration::from_millis(10));
            }
            orderly.push(ended.is_some_and(|status| status.success()));
            let _ = child.kill();
            let _ = child.wait();
        }
        orderly
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        (0..self.len()).for_each(|number| self.kill(number));
        for ending in self.all.iter_mut().filter_map(|one| one.ending.as_mut()) {
            let _ = ending.kill();
            let _ = ending.wait();
        }
    }
}
