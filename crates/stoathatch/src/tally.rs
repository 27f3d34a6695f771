//! `stoathatch tally`: the counties' counts as of one revision, and their audit.

use crate::counties::Partition;
use crate::documents::{Asked, End, json, table};
use clap::{Args, Subcommand};
use std::process::ExitCode;
use std::time::Duration;
use wire::tally::{Audit, Counts, Line, Question};

/// Accepted, live, done and cancelled jobs, and done tasks, as of one revision.
#[derive(Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct Command {
    #[command(flatten)]
    asked: Asked,
    /// Its id; all of them without it.
    county: Option<String>,
    #[command(subcommand)]
    verb: Option<Verb>,
}

#[derive(Subcommand)]
enum Verb {
    /// Count again from all records, and name each difference. Exit code 1 if there is one.
    Audit,
}

pub fn run(command: &Command) -> ExitCode {
    crate::documents::end(execute(command))
}

fn execute(c: &Command) -> Result<String, End> {
    let asked = &c.asked;
    if let Some(Verb::Audit) = c.verb {
        return audit(asked);
    }
    let counts: Counts = asked.ask::<Partition, _>(&Question::Tally {
        county: c.county.clone(),
    })?;
    Ok(if asked.json {
        json(&counts)
    } else {
        told(&counts)
    })
}

fn told(counts: &Counts) -> String {
    let row = |l: &Line| {
        let name = l.name.clone().unwrap_or_else(|| l.county.clone());
        let counts = [l.accepted, l.live, l.done, l.cancelled, l.done_tasks].map(|n| n.to_string());
        [l.county.clone(), name, l.class.clone()]
            .into_iter()
            .chain(counts)
            .collect()
    };
    let head = [
        "county",
        "name",
        "class",
        "accepted",
        "live",
        "done",
        "cancelled",
        "done tasks",
    ];
    format!(
        "as of revision {}\n{}",
        counts.revision,
        table(&head, counts.lines.iter().map(row))
    )
}

/// Asks until the audit is through. A leader that is lost takes it along; the next begins it anew.
fn audit(asked: &Asked) -> Result<String, End> {
    let question = Question::Audit {
        id: format!("{:016x}", fastrand::u64(..)),
    };
    loop {
        match asked.ask::<Partition, Audit>(&question)? {
            Audit::Running { read } => {
                eprintln!("{read} records read");
                std::thread::sleep(Duration::from_secs(1));
            }
            done => return ended(&done, asked.json),
        }
    }
}

/// An audit that has found something ends the command with code 1, whoever reads it.
fn ended(audit: &Audit, as_json: bool) -> Result<String, End> {
    let Audit::Done {
        revision,
        read,
        differences,
    } = audit
    else {
        return Ok(String::new());
    };
    match (differences.is_empty(), as_json) {
        (true, true) => Ok(json(audit)),
        (true, false) => Ok(format!(
            "as of revision {revision}: the counts are those of {read} records"
        )),
        (false, true) => Err(End::Differs(json(audit))),
        (false, false) => {
            let head = format!("as of revision {revision} the counts differ from the records");
            Err(End::Refused(
                [head]
                    .into_iter()
                    .chain(differences.iter().cloned())
                    .collect(),
            ))
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_audit_ends_by_what_it_names() {
        for as_json in [false, true] {
            let ended = |differences: &[String]| {
                ended(
                    &Audit::Done {
                        revision: 7,
                        read: 3,
                        differences: differences.to_vec(),
                    },
                    as_json,
                )
            };
            let whole = ended(&[]);
            assert!(
                matches!(&whole, Ok(text) if text.contains('7') && text.contains('3')),
                "{as_json}"
            );
            let code = |result| crate::documents::end(result);
            assert_eq!(code(whole), ExitCode::SUCCESS);
            assert_eq!(
                code(ended(&["c1: 2 done jobs counted, 1 recorded".into()])),
                ExitCode::from(1)
            );
        }
    }

    #[test]
    fn audit_is_no_county() {
        use clap::Parser;
        #[derive(Parser)]
        struct Line {
            #[command(flatten)]
            command: Command,
        }
        let parse = |words: &str| {
            Line::try_parse_from(words.split(' '))
                .expect("it is a command")
                .command
        };
        assert!(parse("tally audit --json").verb.is_some());
        assert_eq!(parse("tally garissa").county.as_deref(), Some("garissa"));
        assert!(parse("tally").county.is_none());
        assert!(Line::try_parse_from(["tally", "garissa", "audit"]).is_err());
    }
}
