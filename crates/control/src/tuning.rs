//! The settings that operators may change, with their defaults.

use std::fmt;

/// An invalid setting.
#[derive(Debug, Clone, PartialEq)]
pub struct TuningError {
    section: String,
    key: String,
    fault: Fault,
}

#[derive(Debug, Clone, PartialEq)]
enum Fault {
    Unknown,
    NotANumber(String),
    OutOfRange { value: f64, low: f64, high: f64 },
}

impl fmt::Display for TuningError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}] {}: ", self.section, self.key)?;
        match &self.fault {
            Fault::Unknown => f.write_str("unknown setting"),
            Fault::NotANumber(value) => write!(f, "not a number: {value:?}"),
            Fault::OutOfRange { value, low, high } => {
                write!(f, "{value} is not within {low} to {high}")
            }
        }
    }
}

impl std::error::Error for TuningError {}

/// Parses a number and checks its bounds.
fn parse(value: &str, low: f64, high: f64) -> Result<f64, Fault> {
    let number: f64 = value
        .trim()
        .parse()
        .map_err(|_| Fault::NotANumber(value.to_owned()))?;
    if (low..=high).contains(&number) {
        Ok(number)
    } else {
        Err(Fault::OutOfRange {
            value: number,
            low,
            high,
        })
    }
}

macro_rules! tuning {
    ($($section:literal: { $($field:ident = $default:literal in $low:literal ..= $high:literal, $doc:literal;)* })*) => {
        /// The settings of the operators' INI file.
        #[derive(Debug, Clone, PartialEq)]
        pub struct Tuning { $($(#[doc = $doc] pub $field: f64,)*)* }

        impl Default for Tuning {
            fn default() -> Self {
                Tuning { $($($field: $default,)*)* }
            }
        }

        impl Tuning {
            /// Sets one value by its section and key.
            pub fn set(&mut self, section: &str, key: &str, value: &str) -> Result<(), TuningError> {
                self.try_set(section, key, value).map_err(|fault| TuningError {
                    section: section.to_owned(),
                    key: key.to_owned(),
                    fault,
                })
            }

            fn try_set(&mut self, section: &str, key: &str, value: &str) -> Result<(), Fault> {
                match (section, key) {
                    $($(($section, stringify!($field)) => {
                        self.$field = parse(value, $low, $high)?;
                        Ok(())
                    })*)*
                    _ => Err(Fault::Unknown),
                }
            }

            /// Section, key, value and description of each setting.
            pub fn list(&self) -> Vec<(&'static str, &'static str, f64, &'static str)> {
                vec![$($(($section, stringify!($field), self.$field, $doc),)*)*]
            }
        }
    };
}

tuning! {
    "owner": {
        ttl_ms = 3000.0 in 500.0..=60000.0, "Life of the owner's lease: how soon another takes over.";
        heir = 1.0 in 0.0..=1.0, "1 lets a restarted node take over from its own former life at once; 0 waits for that one's lease.";
    }
    "plan": {
        every_ms = 1000.0 in 50.0..=60000.0, "Plans are at least this far apart.";
        online_factor = 1.5 in 1.0..=20.0, "The smallest stretch is relaxed by this factor.";
        patience_s = 3.0 in 0.0..=3600.0, "An urgent gang waits this long for room before others are stopped for it.";
        wait_s = 150.0 in 1.0..=36000.0, "A job that has waited so long goes before younger ones of its urgency, a share of it before all.";
        latest_s = 220.0 in 1.0..=36000.0, "A job that has waited so long goes before all others, of any urgency.";
    }
    "reach": {
        relays = 1.0 in 0.0..=1.0, "1 lets a node hand on reports and commands of workers that can't reach the owner.";
        direct_machines = 2000.0 in 0.0..=1000000.0, "With more machines than this, workers report by way of all controllers.";
        keepers = 1.0 in 0.0..=1.0, "1 lets a node in a zone that is cut off keep its workers' leases alive for a bounded time.";
    }
    "admin": {
        door = 0.0 in 0.0..=1.0, "1 opens the operators' door on the peers' side (stoathatch quota).";
    }
    "fleet": {
        silent_s = 7.0 in 2.0..=600.0, "A machine that says nothing for so long is probed, then returned.";
        idle_s = 5.0 in 0.0..=36000.0, "A machine without work is returned after this time.";
        horizon_s = 300.0 in 1.0..=36000.0, "Waiting array work is spread over this time when machines are rented.";
        spare = 2.5 in 0.0..=10.0, "Room kept free for jobs that may not wait, in deviations of those that come while a machine boots.";
        spare_guaranteed = 2.0 in 0.0..=10.0, "The same for arrays of which only work within a guarantee may not wait.";
        boot_patience = 3.0 in 1.0..=100.0, "A machine that is not up after so many boot times is given back.";
    }
}
