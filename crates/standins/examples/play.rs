//! Simulates random faults with one seed and prints the controllers' logs:
//! `cargo run -p standins --example play -- 30`.

use standins::world::{Plan, Sabotage, World};

fn main() {
    env_logger::Builder::new()
        .filter_level(log::LevelFilter::Debug)
        .format_timestamp(None)
        .init();
    let seed = std::env::args()
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let plan = Plan {
        seed,
        nodes: 3,
        jobs: 25,
        faults_until: 120_000,
        end: 400_000,
        sabotage: Sabotage::None,
        calm: false,
        large: false,
        wide: false,
        scene: None,
    };
    let mut world = World::new(plan);
    world.run();
    println!(
        "broken: {:?}, never ended: {:?}",
        world.rules.broken,
        world.unfinished()
    );
}
