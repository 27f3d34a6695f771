//! `stoathatch tally`: the job counts of counties as of one revision, and an audit of these counts.

use crate::counties::CountiesDocument;
use crate::documents::{CommandError, ServiceArgs, json, table};
use clap::{Args, Subcommand};
use std::process::ExitCode;
use std::time::Duration;
use wire::tally::{Audit, Counts, Line, Question};

/// Show the numbers of accepted, live, done and cancelled jobs, and of done tasks, as of one revision.
#[derive(Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct Command {
    #[command(flatten)]
    asked: ServiceArgs,
    /// Id of a county; all counties if not given.
    county: Option<String>,
    #[command(subcommand)]
    verb: Option<Verb>,
}

#[derive(Subcommand)]
enum Verb {
    /// Recount from all records and list each difference. Exit code 1 if there is any.
    Audit,
}

pub fn run(command: &Command) -> ExitCode {
    crate::documents::exit_code(execute(command))
}

fn execute(c: &Command) -> Result<String, CommandError> {
    let service = &c.asked;
    if let Some(Verb::Audit) = c.verb {
        return audit(service);
    }
    let counts: Counts = service.query::<CountiesDocument, _>(&Question::Tally {
        county: c.county.clone(),
    })?;
    Ok(if service.json {
        json(&counts)
    } else {
        render_counts(&counts)
    })
}

fn render_counts(counts: &Counts) -> String {
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

/// Polls until the audit has ended. If the leader fails, its audit is lost and the next leader starts it again.
fn audit(service: &ServiceArgs) -> Result<String, CommandError> {
    let question = Question::Audit {
        id: format!("{:016x}", fastrand::u64(..)),
    };
    loop {
        match service.query::<CountiesDocument, Audit>(&question)? {
            Audit::Running { read } => {
                eprintln!("{read} records read");
                std::thread::sleep(Duration::from_secs(1));
            }
            done => return audit_result(&done, service.json),
        }
    }
}

/// Differences end the command with exit code 1, both with and without JSON output.
fn audit_result(audit: &Audit, as_json: bool) -> Result<String, CommandError> {
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
        (false, true) => Err(CommandError::Differences(json(audit))),
        (false, false) => {
            let head = format!("as of revision {revision} the counts differ from the records");
            Err(CommandError::Refused(
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
    fn audit_exits_with_code_1_if_it_finds_differences() {
        for as_json in [false, true] {
            let result_of = |differences: &[String]| {
                audit_result(
                    &Audit::Done {
                        revision: 7,
                        read: 3,
                        differences: differences.to_vec(),
                    },
                    as_json,
                )
            };
            let unchanged = result_of(&[]);
            assert!(
                matches!(&unchanged, Ok(text) if text.contains('7') && text.contains('3')),
                "{as_json}"
            );
            let code = |result| crate::documents::exit_code(result);
            assert_eq!(code(unchanged), ExitCode::SUCCESS);
            assert_eq!(
                code(result_of(&["c1: 2 done jobs counted, 1 recorded".into()])),
                ExitCode::from(1)
            );
        }
    }

    #[test]
    fn audit_subcommand_is_not_parsed_as_a_county_id() {
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
