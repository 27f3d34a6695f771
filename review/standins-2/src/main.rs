//! Plays one case of the review: `review-world-2 CASE FOLDER`, from the repository's root. `TROUBLE=0` leaves out the
//! disruption. Exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod cases;
mod nodes;
mod site;
mod world;

use nodes::Nodes;
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};
use world::World;

/// The case is ended after this time.
const MOST: Duration = Duration::from_secs(117);

pub struct Play {
    pub world: World,
    pub nodes: Nodes,
    pub trouble: bool,
    /// Addresses of the gateway at each controller: RPC and REST.
    pub gateways: Vec<(SocketAddr, SocketAddr)>,
}

/// The rule held, or it was broken: how.
pub enum Verdict {
    Held(String),
    Broken(String),
}

impl Play {
    /// Waits until a condition holds.
    pub fn wait<T>(
        &self,
        what: &str,
        most_s: u64,
        mut found: impl FnMut(&World) -> Option<T>,
    ) -> Result<T, String> {
        let end = Instant::now() + Duration::from_secs(most_s);
        while Instant::now() < end {
            if let Some(v) = found(&self.world) {
                return Ok(v);
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("never happened: {what}"))
    }
}

fn play(case: &str, folder: &Path, scratch: &Path) -> Result<Verdict, String> {
    let text = |e: std::io::Error| e.to_string();
    let (site, capacity) = cases::setting(case)?;
    let record = File::create(folder.join("record.txt")).map_err(text)?;
    let [clients, peers, rpc, web] = nodes::addresses().map_err(text)?;
    let world = World::new(site, capacity, clients.clone(), record).map_err(text)?;
    let nodes = Nodes::start(site, scratch, &clients, &peers, world.cloud, world.state)?;
    let (n, w, s) = (nodes.clone(), world.clone(), scratch.to_owned());
    thread::spawn(move || {
        thread::sleep(MOST);
        w.note("the case took too long");
        n.kill_all();
        let _ = fs::remove_dir_all(&s);
        std::process::exit(2);
    });
    let play = Play {
        world,
        nodes,
        gateways: rpc.into_iter().zip(web).collect(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    play.world.note(&format!(
        "case {case}, with the disruption: {}",
        play.trouble
    ));
    let verdict = cases::run(case, &play);
    let all_run = play.nodes.all_run();
    play.nodes.kill_all();
    play.world.note(match &verdict {
        Ok(Verdict::Held(_)) => "verdict: the rule held",
        Ok(Verdict::Broken(_)) => "verdict: the rule was broken",
        Err(_) => "verdict: the case couldn't run",
    });
    let (Ok(Verdict::Held(how) | Verdict::Broken(how)) | Err(how)) = &verdict;
    play.world
        .note(&format!("{how}; all controllers ran to the end: {all_run}"));
    verdict
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: review-world-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let scratch: PathBuf =
        std::env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
    if let Err(e) = fs::create_dir_all(&scratch) {
        eprintln!("{}: {e}", scratch.display());
        return ExitCode::from(2);
    }
    let verdict = play(case, Path::new(folder), &scratch);
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&scratch);
    } else {
        eprintln!("kept: {}", scratch.display());
    }
    match verdict {
        Ok(Verdict::Held(how)) => {
            println!("{case}: the rule held: {how}");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(how)) => {
            println!("{case}: the rule was broken: {how}");
            ExitCode::from(1)
        }
        Err(why) => {
            println!("{case}: couldn't run: {why}");
            ExitCode::from(2)
        }
    }
}
