mod change;
mod edits;
mod hand;
mod log;
mod measure;
mod message;
mod sample;
mod state;
