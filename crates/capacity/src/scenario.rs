//! The phases of a run: what arrives in each, and what goes wrong.

use crate::size::{Scenario, Size};

/// Before the peak the long arrays are cancelled within this time.
const TURNOVER_S: f64 = 30.0;
/// What is under way at the end has this long.
const SETTLE_S: f64 = 20.0;
/// A zone is cut off for so much of its phase, and no longer than [`ZONE_CUT_S`].
const ZONE_CUT_PART: f64 = 0.6;
const ZONE_CUT_S: f64 = 45.0;

/// A part of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The long jobs are submitted; it ends once their tasks run.
    Fill,
    /// Nothing arrives.
    Quiet,
    /// Configuration changes alone.
    Changes,
    /// Jobs at the daily rate, urgent ones, and changes.
    Steady,
    /// The same, while machines fail and are restarted.
    Failures,
    /// The same, while one region is cut off.
    Region,
    /// The long arrays are cancelled.
    Turnover,
    /// As steady, with the peak's arrays.
    Peak,
    /// Nothing arrives; what is under way ends.
    Settle,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Phase {
    pub kind: Kind,
    pub seconds: f64,
}

impl Kind {
    pub fn name(self) -> &'static str {
        match self {
            Kind::Fill => "fill",
            Kind::Quiet => "quiet",
            Kind::Changes => "changes",
            Kind::Steady => "steady",
            Kind::Failures => "failures",
            Kind::Region => "region",
            Kind::Turnover => "turnover",
            Kind::Peak => "peak",
            Kind::Settle => "settle",
        }
    }

    /// Jobs arrive at the daily rate, and urgent ones.
    pub fn has_arrivals(self) -> bool {
        matches!(
            self,
            Kind::Steady | Kind::Failures | Kind::Region | Kind::Peak
        )
    }

    pub fn has_changes(self) -> bool {
        self.has_arrivals() || self == Kind::Changes
    }
}

/// The phases of a run, in order.
pub fn phases(size: &Size) -> Vec<Phase> {
    use Kind::{Changes, Failures, Fill, Peak, Quiet, Region, Settle, Steady, Turnover};
    let kinds: &[Kind] = match size.scenario {
        Scenario::All => &[
            Fill, Quiet, Changes, Steady, Failures, Region, Turnover, Peak, Settle,
        ],
        Scenario::Steady => &[Fill, Quiet, Steady, Settle],
        Scenario::Peak => &[Fill, Quiet, Changes, Steady, Turnover, Peak, Settle],
        Scenario::Failures => &[Fill, Failures, Settle],
        Scenario::Region => &[Fill, Region, Settle],
    };
    let phase = |kind: &Kind| Phase {
        kind: *kind,
        seconds: match kind {
            Fill => size.fill_s,
            Quiet | Changes => size.phase_s / 2.0,
            Turnover => TURNOVER_S.min(size.phase_s),
            Settle => SETTLE_S.min(size.phase_s),
            _ => size.phase_s,
        },
    };
    kinds.iter().map(phase).collect()
}

/// Something that goes wrong.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// A machine dies.
    Machine,
    /// A machine stands still beyond its lease.
    Restart,
    /// So many machines of one zone die at once.
    Rack(usize),
    ZoneCut {
        zone: usize,
        seconds: f64,
    },
    RegionCut {
        region: usize,
        seconds: f64,
    },
    /// A controller that does not lead is killed.
    Follower,
    Leader,
}

/// What goes wrong in a phase, each with its time in seconds from the phase's beginning.
pub fn faults(size: &Size, phase: &Phase) -> Vec<(f64, Fault)> {
    let seconds = phase.seconds;
    match phase.kind {
        Kind::Failures => failures(size, seconds),
        Kind::Region if size.regions > 1 => {
            let fault = Fault::RegionCut {
                region: size.regions - 1,
                seconds: seconds * 0.75,
            };
            vec![(seconds * 0.05, fault)]
        }
        Kind::Peak if !size.no_kills && size.controllers > 1 => vec![
            (seconds / 3.0, Fault::Follower),
            (seconds * 2.0 / 3.0, Fault::Leader),
        ],
        _ => Vec::new(),
    }
}

fn failures(size: &Size, seconds: f64) -> Vec<(f64, Fault)> {
    let mut all = Vec::new();
    let mut spread = |count: usize, part: f64, fault: Fault| {
        for number in 0..count {
            let at = seconds * part * (number as f64 + 0.5) / count as f64;
            all.push((at, fault.clone()));
        }
    };
    spread(size.failures, 1.0, Fault::Machine);
    spread(size.restarts, 1.0, Fault::Restart);
    if size.rack > 0 {
        all.push((seconds * 0.25, Fault::Rack(size.rack)));
    }
    if size.zones > 1 {
        let cut = Fault::ZoneCut {
            zone: size.zones - 1,
            seconds: (seconds * ZONE_CUT_PART).min(ZONE_CUT_S),
        };
        all.push((seconds * 0.35, cut));
    }
    all
}
