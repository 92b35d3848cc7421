mod every;
mod many;
mod net;
mod small;
