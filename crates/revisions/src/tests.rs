mod exhaustive;
mod gate;
mod randomized;
mod regressions;
mod relay_leases;
mod simulation;
