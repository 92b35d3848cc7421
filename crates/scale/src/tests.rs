mod parts;
mod scenarios;
mod simulated;
