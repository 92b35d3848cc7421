//! Real controllers beside hollow ones: processes of the controller's program, looked at by their metrics.
//!
//! A controller shows what it acts on once a second, so times of real controllers are late by up to a second and the
//! time between two looks.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use anyhow::Result;
use badgerledge_distribution::{ControllerId, Number};
use badgerledge_standins::free_port;

use super::pages::Page;
use super::rig::{wait_listening, Process, Rig};
use crate::machine::{monotonic, process_cpu, resident_bytes};
use crate::observations::{ActedOn, Observations, Transition, Used};
use crate::scenario::Scenario;
use crate::workload::{shared_settings, titles, zone_name};

const LOOK_EVERY: Duration = Duration::from_millis(300);

struct RealController {
    number: ControllerId,
    listen: SocketAddr,
    metrics: SocketAddr,
    settings: PathBuf,
    state: PathBuf,
    process: Option<Process>,
    from: Used,
}

/// All real controllers of a run.
pub struct RealControllers {
    all: Vec<RealController>,
    program: PathBuf,
    /// The resident set of a controller that takes part in no distribution, with the same titles.
    empty_resident: u64,
    watch: Option<Watch>,
}

/// A thread that looks at the controllers' metrics.
struct Watch {
    over: Arc<AtomicBool>,
    seen: Arc<Mutex<(Vec<Transition>, ActedOn)>>,
    thread: JoinHandle<()>,
}

impl RealControllers {
    /// Starts the first `count` controllers of the fleet as processes.
    ///
    /// # Errors
    /// Where a file can't be written, or one does not listen in time.
    pub fn start(scenario: &Scenario, rig: &Rig, count: u32, zero: Duration) -> Result<Self> {
        let mut controllers =
            Self { all: Vec::new(), program: rig.program().to_owned(), empty_resident: 0, watch: None };
        if count == 0 {
            return Ok(controllers);
        }
        std::fs::write(rig.folder.path().join("titles.ini"), titles(&scenario.load))?;
        controllers.empty_resident = controllers.measure_empty(scenario, rig)?;
        for number in 0..count {
            let distributed = distribution_section(scenario, rig);
            let controller = write_controller(scenario, rig, number, &number.to_string(), &distributed)?;
            controllers.all.push(controller);
            controllers.start_process(number as usize)?;
        }
        let begun = Instant::now();
        for controller in &controllers.all {
            wait_listening(controller.listen, begun)?;
        }
        controllers.watch = Some(Watch::start(&controllers.all, zero));
        Ok(controllers)
    }

    pub fn count(&self) -> u32 {
        self.all.len() as u32
    }

    fn measure_empty(&self, scenario: &Scenario, rig: &Rig) -> Result<u64> {
        let empty = write_controller(scenario, rig, 0, "empty", "")?;
        let log = empty.settings.with_extension("log");
        let settings = empty.settings.display().to_string();
        let process = Process::start(&self.program, &["controller", "run", &settings], &log)?;
        wait_listening(empty.listen, Instant::now())?;
        std::thread::sleep(Duration::from_secs(1));
        Ok(resident_bytes(process.id()))
    }

    fn start_process(&mut self, place: usize) -> Result<()> {
        let controller = &mut self.all[place];
        let settings = controller.settings.display().to_string();
        let log = controller.settings.with_extension("log");
        let arguments = ["controller", "run", "--log-level", "warn", &settings];
        controller.process = Some(Process::start(&self.program, &arguments, &log)?);
        controller.from = Used::default();
        Ok(())
    }

    pub fn kill(&mut self, controllers: &[ControllerId]) {
        for controller in controllers {
            if let Some(controller) = self.all.get_mut(*controller as usize) {
                controller.process = None;
            }
        }
    }

    pub fn restart(&mut self, controllers: &[ControllerId], without_disk: bool) -> Result<()> {
        for controller in controllers {
            let place = *controller as usize;
            let Some(found) = self.all.get(place) else { continue };
            if without_disk {
                // One that stored nothing has no folder.
                let _ = std::fs::remove_dir_all(&found.state);
            }
            self.start_process(place)?;
        }
        Ok(())
    }

    pub fn start_counting(&mut self) {
        for controller in &mut self.all {
            controller.from = controller.used_by_process();
        }
    }

    /// Ends the look at them, and gives what was seen; all processes end with it.
    pub fn finish(mut self) -> Observations {
        let used = |controller: &RealController| {
            let (now, from) = (controller.used_by_process(), controller.from);
            Used {
                bytes_in: now.bytes_in.saturating_sub(from.bytes_in),
                bytes_out: now.bytes_out.saturating_sub(from.bytes_out),
                messages: 0,
                cpu: now.cpu.saturating_sub(from.cpu),
            }
        };
        let controllers: Vec<Used> = self.all.iter().map(used).collect();
        let ids: Vec<u32> = self.all.iter().filter_map(|one| Some(one.process.as_ref()?.id())).collect();
        let resident = ids.iter().map(|id| resident_bytes(*id)).sum::<u64>() / ids.len().max(1) as u64;
        let (transitions, acted_on) = self.watch.take().map_or_else(Default::default, Watch::finish);
        Observations {
            members: self.all.iter().map(|controller| controller.number).collect(),
            controllers,
            transitions,
            acted_on,
            controller_memory: resident.saturating_sub(self.empty_resident),
            ..Observations::default()
        }
    }
}

impl RealController {
    fn used_by_process(&self) -> Used {
        let Some(process) = &self.process else { return Used::default() };
        let page = Page::get(self.metrics).ok();
        let sum = |name: &str| page.as_ref().and_then(|page| page.sum(name, "")).unwrap_or(0.0) as u64;
        Used {
            bytes_in: sum("badgerledge_distribution_received_bytes_total"),
            bytes_out: sum("badgerledge_distribution_sent_bytes_total"),
            messages: 0,
            cpu: process_cpu(process.id()).unwrap_or_default(),
        }
    }
}

impl Watch {
    fn start(controllers: &[RealController], zero: Duration) -> Self {
        let pages: Vec<(ControllerId, SocketAddr)> =
            controllers.iter().map(|controller| (controller.number, controller.metrics)).collect();
        let over = Arc::new(AtomicBool::new(false));
        let seen = Arc::new(Mutex::new((Vec::new(), ActedOn::default())));
        let (thread_over, thread_seen) = (over.clone(), seen.clone());
        let thread = std::thread::spawn(move || {
            let mut known: Vec<Option<Number>> = vec![None; pages.len()];
            while !thread_over.load(Ordering::Relaxed) {
                for ((controller, at), known) in pages.iter().zip(&mut known) {
                    let acts_on = match Page::get(*at) {
                        Ok(page) => acts_on(&page),
                        Err(fault) if fault.kind() == ErrorKind::ConnectionRefused => None,
                        // One that is busy tells nothing new.
                        Err(_) => continue,
                    };
                    let at = monotonic().saturating_sub(zero);
                    let Ok(mut seen) = thread_seen.lock() else { return };
                    acts_on.into_iter().for_each(|number| seen.1.note(number, at));
                    if acts_on != *known {
                        *known = acts_on;
                        seen.0.push(Transition { controller: *controller, at, acts_on });
                    }
                }
                std::thread::sleep(LOOK_EVERY);
            }
        });
        Self { over, seen, thread }
    }

    fn finish(self) -> (Vec<Transition>, ActedOn) {
        self.over.store(true, Ordering::Relaxed);
        // A thread that panicked has left what it saw.
        let _ = self.thread.join();
        self.seen.lock().map(|mut seen| std::mem::take(&mut *seen)).unwrap_or_default()
    }
}

/// The revision that a controller acts on; nothing where it holds back.
fn acts_on(page: &Page) -> Option<Number> {
    let held = page.sum("badgerledge_revision_held", "")?;
    let active = page.sum("badgerledge_revision_active", "")?;
    (held == 0.0).then_some(active as Number)
}

fn distribution_section(scenario: &Scenario, rig: &Rig) -> String {
    let relays: Vec<String> = rig
        .addresses()
        .iter()
        .map(|relay| {
            let zone = zone_name(scenario.fleet.zone_of_machine(relay.machine));
            format!("{} {zone} {}", relay.machine, relay.at)
        })
        .collect();
    format!(
        "[distribution]\nring = {}\nrelays = {}\ntitles = true\n",
        rig.ring().display(),
        relays.join(", ")
    )
}

fn write_controller(
    scenario: &Scenario, rig: &Rig, number: ControllerId, name: &str, distribution: &str,
) -> Result<RealController> {
    let (listen, metrics) = (free_port()?, free_port()?);
    let folder = rig.folder.path();
    let state = folder.join(format!("controller-{name}"));
    let settings = folder.join(format!("controller-{name}.ini"));
    let text = format!(
        "[controller]\ncontrollers = {}\nnumber = {number}\nzone = {}\nlisten = {listen}\nmetrics = {metrics}\n\
         catalogue = titles.ini\nstate = {}\nseed = 3\n{distribution}{}",
        scenario.fleet.controllers,
        zone_name(scenario.fleet.zone_of_controller(number)),
        state.display(),
        shared_settings(&scenario.fleet, &scenario.load)
    );
    std::fs::write(&settings, text)?;
    let from = Used::default();
    Ok(RealController { number, listen, metrics, settings, state, process: None, from })
}
