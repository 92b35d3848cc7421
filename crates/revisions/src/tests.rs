mod apart;
mod every;
mod gate;
mod many;
mod net;
mod small;
