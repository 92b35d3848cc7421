mod change;
mod log;
mod message;
mod state;
