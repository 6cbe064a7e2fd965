//! The adapter between the simulator's line protocol and the balancer: it reads events, hands each to its
//! instance of the balancer, and writes the actions. It takes no decisions.

pub mod wire;
