//! What grows with what: runs of several sizes, each figure fitted by workers, jobs, starts and changes.

use crate::plot::{self, Line};
use crate::report::{Heartbeat, PhaseFigures};
use crate::run::{self, Options};
use crate::size::{Scenario, Size};
use comfy_table::{Table, presets};
use nalgebra::{DMatrix, DVector};
use serde::Serialize;
use std::path::Path;

/// What a figure is taken to grow with, after the constant.
const CAUSES: [&str; 4] = [
    "worker",
    "job a second",
    "start a second",
    "change a second",
];
/// Singular values below this part of the largest are nothing.
const TOLERANCE: f64 = 1e-9;

type Figure = (&'static str, fn(&PhaseFigures) -> f64);

/// Figures that are fitted, with their units.
const FIGURES: &[Figure] = &[
    ("leader, cores", |p| p.leader_usage.cpu),
    ("leader, MB", |p| p.leader_usage.rss_mb),
    ("leader, files", |p| p.leader_usage.files as f64),
    ("follower, cores", |p| p.follower_cpu),
    ("follower, MB", |p| p.follower_usage.rss_mb),
    ("follower, files", |p| p.follower_usage.files as f64),
    ("reports a second", |p| p.reports),
    ("commands a second", |p| p.commands),
    ("state requests a second", |p| p.state_requests),
    ("state changes a second", |p| p.state_changes),
    ("state bytes a second", |p| p.state_bytes),
    ("cloud requests a second", |p| p.cloud_requests),
    ("all workers' bytes a second", |p| {
        (p.worker.bytes_in_per_s + p.worker.bytes_out_per_s) * p.workers as f64
    }),
    ("all hollow workers' cores", |p| {
        p.worker.cpu * p.workers as f64
    }),
];

/// Phases that are fitted: nothing but load differs between them.
const PHASES: [&str; 4] = ["quiet", "changes", "steady", "peak"];

/// A figure as a sum of what it grows with.
#[derive(Debug, Clone, Serialize)]
pub struct Fit {
    pub figure: &'static str,
    pub intercept: f64,
    pub slopes: Vec<(&'static str, f64)>,
    /// Square root of the mean square of what the fit leaves.
    pub residual: f64,
}

fn causes(phase: &PhaseFigures) -> [f64; 4] {
    [
        phase.workers as f64,
        phase.jobs,
        phase.starts,
        phase.changes,
    ]
}

/// Least squares over these phases; slopes that could only be below zero are left out, since no load makes anything
/// cheaper.
pub fn fit(phases: &[&PhaseFigures], figure: &Figure) -> Fit {
    let values = DVector::from_iterator(phases.len(), phases.iter().map(|p| figure.1(p)));
    let mut kept: Vec<usize> = (0..CAUSES.len()).collect();
    loop {
        let solved = solve(phases, &values, &kept);
        let lowest = kept
            .iter()
            .zip(solved.iter().skip(1))
            .filter(|(_, slope)| **slope < 0.0)
            .min_by(|a, b| a.1.total_cmp(b.1))
            .map(|(cause, _)| *cause);
        if let Some(cause) = lowest {
            kept.retain(|c| *c != cause);
            continue;
        }
        let slope = |cause: usize| {
            let at = kept.iter().position(|c| *c == cause);
            at.map_or(0.0, |at| solved[at + 1])
        };
        let predicted = |phase: &PhaseFigures| {
            let grown = causes(phase)
                .iter()
                .enumerate()
                .map(|(c, v)| slope(c) * v)
                .sum::<f64>();
            solved[0] + grown
        };
        let errors = phases.iter().map(|p| (figure.1(p) - predicted(p)).powi(2));
        let residual = (errors.sum::<f64>() / phases.len().max(1) as f64).sqrt();
        return Fit {
            figure: figure.0,
            intercept: solved[0],
            slopes: CAUSES
                .iter()
                .enumerate()
                .map(|(c, name)| (*name, slope(c)))
                .collect(),
            residual,
        };
    }
}

fn solve(phases: &[&PhaseFigures], values: &DVector<f64>, kept: &[usize]) -> Vec<f64> {
    let rows = DMatrix::from_fn(phases.len(), kept.len() + 1, |row, column| match column {
        0 => 1.0,
        _ => causes(phases[row])[kept[column - 1]],
    });
    // Columns are brought to one scale, so that the tolerance means the same for all.
    let scales: Vec<f64> = rows.column_iter().map(|c| c.amax().max(1e-12)).collect();
    let scaled = DMatrix::from_fn(rows.nrows(), rows.ncols(), |r, c| rows[(r, c)] / scales[c]);
    let solved = scaled.svd(true, true).solve(values, TOLERANCE);
    match solved {
        Ok(solved) => solved.iter().zip(&scales).map(|(v, s)| v / s).collect(),
        Err(_) => vec![0.0; scales.len()],
    }
}

/// The runs and their fits.
#[derive(Debug, Serialize)]
pub struct Slopes {
    pub runs: Vec<Heartbeat>,
    pub fits: Vec<Fit>,
}

impl Slopes {
    pub fn is_good(&self) -> bool {
        self.runs.iter().all(Heartbeat::is_good)
    }

    /// The fits as a table for a page.
    pub fn table(&self) -> Table {
        let mut table = Table::new();
        table.load_preset(presets::ASCII_MARKDOWN);
        let mut header = vec!["figure".to_owned(), "constant".to_owned()];
        header.extend(CAUSES.iter().map(|cause| format!("a {cause}")));
        header.push("residual".to_owned());
        table.set_header(header);
        for fit in &self.fits {
            let mut row = vec![fit.figure.to_owned(), format!("{:.4}", fit.intercept)];
            row.extend(fit.slopes.iter().map(|(_, slope)| format!("{slope:.6}")));
            row.push(format!("{:.4}", fit.residual));
            table.add_row(row);
        }
        table
    }
}

/// Plays the size at each number of workers with its load in proportion, and fits what was measured.
pub fn measure(
    size: &Size,
    workers: &[usize],
    options: &Options,
    plot: Option<&Path>,
) -> Result<Slopes, String> {
    let mut runs = Vec::new();
    for count in workers {
        let scaled = Size {
            scenario: Scenario::Peak,
            no_kills: true,
            ..size.scaled_to(*count)
        };
        scaled.check()?;
        if !options.quiet {
            eprintln!("{count} workers");
        }
        runs.push(run::play(&scaled, options)?);
    }
    let phases: Vec<&PhaseFigures> = runs
        .iter()
        .flat_map(|run| &run.phases)
        .filter(|phase| PHASES.contains(&phase.name.as_str()))
        .collect();
    let fits = FIGURES.iter().map(|figure| fit(&phases, figure)).collect();
    if let Some(path) = plot {
        draw(path, &runs)?;
    }
    Ok(Slopes { runs, fits })
}

fn draw(path: &Path, runs: &[Heartbeat]) -> Result<(), String> {
    let line = |phase: &str, role: &str, figure: fn(&PhaseFigures) -> f64| Line {
        name: format!("{role}, {phase}"),
        points: runs
            .iter()
            .filter_map(|run| run.phase(phase))
            .map(|p| (p.workers as f64, figure(p)))
            .collect(),
    };
    let mut lines = Vec::new();
    for phase in PHASES {
        lines.push(line(phase, "leader", |p| p.leader_usage.cpu));
    }
    lines.push(line("peak", "follower", |p| p.follower_cpu));
    plot::draw(path, "Controllers' processor time", "cores", &lines)
}
