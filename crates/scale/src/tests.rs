mod scenarios;
mod simulated;
