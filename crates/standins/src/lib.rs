//! For tests: a state service, a cloud and workers of our own, and a world in virtual time that plays
//! controllers against them under seeded faults, checking the rules after each step.

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
