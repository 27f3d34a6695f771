//! What operators set for the gateway, in a file of its own (INI): where it listens and for whom, how YARN's queues,
//! types and priorities become teams, classes and urgencies, and its bounds.

use ini::Ini;
use ipnet::IpNet;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use wire::api::Priority;

#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Where RPC is spoken, and where REST is.
    pub rpc: SocketAddr,
    pub web: SocketAddr,
    /// What clients are told to connect to, where that differs (behind a balancer).
    pub public: Option<String>,
    /// Connections from elsewhere are closed unanswered.
    pub allow: Vec<IpNet>,
    /// Users who may do everything in every queue.
    pub admins: BTreeSet<String>,
    pub most: Most,
    pub work: Work,
    /// Application type to class.
    pub classes: BTreeMap<String, String>,
    /// Queue to team, beside the names that stand for themselves.
    pub queues: BTreeMap<String, String>,
    /// Who may submit to a queue and all below it, and who may administer it.
    pub submit: BTreeMap<String, Users>,
    pub administer: BTreeMap<String, Users>,
}

/// Bounds; what is above them is refused at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Most {
    /// Applications that are not over, in all and of one user.
    pub applications: usize,
    pub per_user: usize,
    /// Applications that are over and still known.
    pub remembered: usize,
    /// Bytes of one message.
    pub frame: usize,
    /// Bytes of one launch description.
    pub launch: usize,
    /// Calls of one connection, and of all, that are not answered yet.
    pub calls_each: usize,
    pub calls: usize,
    /// Containers that one application may ask for or have at once.
    pub containers: u32,
    /// Different requests of one application that may be outstanding.
    pub asks: usize,
    /// The highest priority that a user may give.
    pub priority: i32,
}

/// How a task that runs a YARN process looks to the scheduler.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    /// Class of types that are not named.
    pub class: String,
    /// Image that starts what the gateway describes.
    pub image: String,
    pub image_gb: f64,
    /// Expected run time of a container and of a master, in seconds.
    pub estimate_s: f64,
    pub master_s: f64,
    /// Containers may run on spot machines. Masters never do.
    pub spot: bool,
    /// Priorities from here on are urgent, and those below that are not.
    pub high_from: i32,
    pub low_below: i32,
    /// A master that says nothing for so long is over (unmanaged ones only), in seconds.
    pub master_silent_s: u64,
    /// Attempts of a master where an application names none.
    pub attempts: u32,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Users {
    All,
    Named(BTreeSet<String>),
}

impl Users {
    fn parse(text: &str) -> Users {
        if text.trim() == "*" {
            Users::All
        } else {
            Users::Named(names(text))
        }
    }

    pub fn has(&self, user: &str) -> bool {
        match self {
            Users::All => true,
            Users::Named(names) => names.contains(user),
        }
    }
}

fn names(text: &str) -> BTreeSet<String> {
    text.split(',')
        .map(str::trim)
        .filter(|n| !n.is_empty())
        .map(str::to_owned)
        .collect()
}

impl Default for Config {
    fn default() -> Self {
        let here = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Config {
            rpc: here(8032),
            web: here(8088),
            public: None,
            allow: vec![IpNet::new_assert(IpAddr::from([127, 0, 0, 0]), 8)],
            admins: BTreeSet::new(),
            most: Most {
                applications: 500,
                per_user: 100,
                remembered: 500,
                frame: 256 << 10,
                launch: 64 << 10,
                calls_each: 32,
                calls: 1024,
                containers: 10_000,
                asks: 100,
                priority: 10,
            },
            work: Work {
                class: "yarn".into(),
                image: "yarn-runner".into(),
                image_gb: 1.0,
                estimate_s: 60.0,
                master_s: 600.0,
                spot: false,
                high_from: 5,
                low_below: 0,
                master_silent_s: 600,
                attempts: 2,
            },
            classes: BTreeMap::new(),
            queues: BTreeMap::new(),
            submit: BTreeMap::new(),
            administer: BTreeMap::new(),
        }
    }
}

/// A number within bounds; the error names place and bounds.
fn number<T: std::str::FromStr + PartialOrd + std::fmt::Display>(
    place: &str,
    text: &str,
    low: T,
    high: T,
) -> Result<T, String> {
    let value: T = text
        .trim()
        .parse()
        .map_err(|_| format!("{place}: not a number: {text:?}"))?;
    if value >= low && value <= high {
        Ok(value)
    } else {
        Err(format!("{place}: {text} is not within {low} to {high}"))
    }
}

impl Config {
    /// Reads a file's text. Unknown names and values out of bounds are refused by section and name.
    pub fn parse(text: &str) -> Result<Config, String> {
        let ini = Ini::load_from_str(text).map_err(|e| e.to_string())?;
        let mut config = Config::default();
        for (section, values) in &ini {
            for (key, value) in values {
                config.set(section.unwrap_or(""), key, value)?;
            }
        }
        config.check()?;
        Ok(config)
    }

    fn set(&mut self, section: &str, key: &str, value: &str) -> Result<(), String> {
        let place = format!("[{section}] {key}");
        let addr = |v: &str| {
            v.trim()
                .parse()
                .map_err(|_| format!("{place}: not an address and port: {v:?}"))
        };
        let (most, work) = (&mut self.most, &mut self.work);
        match (section, key) {
            ("door", "rpc") => self.rpc = addr(value)?,
            ("door", "web") => self.web = addr(value)?,
            ("door", "public") => self.public = Some(plain(&place, value)?),
            ("door", "allow") => self.allow = networks(&place, value)?,
            ("door", "admins") => self.admins = names(value),
            ("most", "applications") => most.applications = number(&place, value, 1, 100_000)?,
            ("most", "per_user") => most.per_user = number(&place, value, 1, 100_000)?,
            ("most", "remembered") => most.remembered = number(&place, value, 1, 100_000)?,
            ("most", "frame_kb") => most.frame = number(&place, value, 4usize, 8192)? << 10,
            ("most", "launch_kb") => most.launch = number(&place, value, 1usize, 4096)? << 10,
            ("most", "calls_each") => most.calls_each = number(&place, value, 1, 10_000)?,
            ("most", "calls") => most.calls = number(&place, value, 1, 100_000)?,
            ("most", "containers") => {
                most.containers = number(&place, value, 1, wire::api::MAX_TASKS)?
            }
            ("most", "asks") => most.asks = number(&place, value, 1, 10_000)?,
            ("most", "priority") => most.priority = number(&place, value, 0, 1000)?,
            ("work", "class") => work.class = plain(&place, value)?,
            ("work", "image") => work.image = plain(&place, value)?,
            ("work", "image_gb") => work.image_gb = number(&place, value, 0.0, 10_000.0)?,
            ("work", "estimate_s") => work.estimate_s = number(&place, value, 0.0, 1e6)?,
            ("work", "master_s") => work.master_s = number(&place, value, 0.0, 1e6)?,
            ("work", "spot") => work.spot = number(&place, value, 0, 1)? == 1,
            ("work", "high_from") => work.high_from = number(&place, value, -1000, 1000)?,
            ("work", "low_below") => work.low_below = number(&place, value, -1000, 1000)?,
            ("work", "master_silent_s") => work.master_silent_s = number(&place, value, 5, 86_400)?,
            ("work", "attempts") => work.attempts = number(&place, value, 1, 100)?,
            ("classes", _) => self
                .classes
                .extend([(key.to_owned(), plain(&place, value)?)]),
            ("queues", _) => self
                .queues
                .extend([(key.to_owned(), plain(&place, value)?)]),
            ("submit", _) => self.submit.extend([(key.to_owned(), Users::parse(value))]),
            ("administer", _) => self
                .administer
                .extend([(key.to_owned(), Users::parse(value))]),
            _ => return Err(format!("{place}: unknown setting")),
        }
        Ok(())
    }

    fn check(&self) -> Result<(), String> {
        if self.rpc == self.web {
            return Err("[door] web: is the same address as rpc".into());
        }
        if self.most.launch > self.most.frame {
            return Err("[most] launch_kb: is above frame_kb, so none as large can come in".into());
        }
        if self.work.low_below > self.work.high_from {
            return Err("[work] low_below: is above high_from".into());
        }
        Ok(())
    }

    pub fn is_allowed(&self, from: IpAddr) -> bool {
        self.allow.iter().any(|net| net.contains(&from))
    }

    pub fn class(&self, kind: &str) -> &str {
        self.classes.get(kind).unwrap_or(&self.work.class)
    }

    pub fn urgency(&self, priority: i32) -> Priority {
        match priority {
            p if p >= self.work.high_from => Priority::High,
            p if p < self.work.low_below => Priority::Low,
            _ => Priority::Normal,
        }
    }
}

fn plain(place: &str, value: &str) -> Result<String, String> {
    let value = value.trim();
    if value.is_empty() || value.len() > 120 || value.chars().any(char::is_control) {
        return Err(format!(
            "{place}: must be 1 to 120 bytes without control characters"
        ));
    }
    Ok(value.to_owned())
}

fn networks(place: &str, value: &str) -> Result<Vec<IpNet>, String> {
    let one = |text: &String| {
        let alone = || text.parse::<IpAddr>().ok().map(IpNet::from);
        text.parse()
            .ok()
            .or_else(alone)
            .ok_or_else(|| format!("{place}: not a network: {text:?}"))
    };
    names(value).iter().map(one).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn files_are_read_and_faults_named() {
        let c = Config::parse("[door]\nallow = 10.1.0.0/16, 192.168.0.7\n[queues]\nroot.tally = tally-desk\n[submit]\nroot = *\n")
            .expect("good");
        assert!(
            c.is_allowed(IpAddr::from([10, 1, 9, 9]))
                && c.is_allowed(IpAddr::from([192, 168, 0, 7]))
        );
        assert!(!c.is_allowed(IpAddr::from([10, 2, 0, 1])), "nobody else");
        assert_eq!(c.queues["root.tally"], "tally-desk");
        assert_eq!(Config::parse("").expect("empty"), Config::default());
        for (text, named) in [
            ("[door]\nrpc = here", "[door] rpc"),
            ("[door]\nallow = 10.0.0.0/99", "[door] allow"),
            ("[door]\nrpc = 127.0.0.1:1\nweb = 127.0.0.1:1", "[door] web"),
            ("[most]\nper_user = 0", "[most] per_user"),
            ("[most]\nlaunch_kb = 512", "[most] launch_kb"),
            ("[most]\nusers = 1", "[most] users: unknown"),
            ("[work]\nestimate_s = NaN", "[work] estimate_s"),
            ("[work]\nclass = ", "[work] class"),
        ] {
            let error = Config::parse(text).expect_err(named);
            assert!(error.contains(named), "{error} should name {named}");
        }
    }
}
