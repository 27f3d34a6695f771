//! Test doubles: a fake state service, cloud and workers, and a simulation in virtual time that runs controllers
//! against them under seeded faults and checks the invariants after each step.

pub mod balancer;
pub mod checks;
pub mod cloud;
pub mod counties;
pub mod days;
pub mod hours;
pub mod links;
pub mod loopback;
pub mod meetings;
pub mod models;
pub mod parallel;
pub mod rules;
pub mod scene;
pub mod state;
pub mod worker;
pub mod world;
pub mod yarn;
