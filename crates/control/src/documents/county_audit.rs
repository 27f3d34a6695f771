//! An audit of the counts by county: jobs are counted again from their records, and the result is compared with the
//! counts that are kept.
//!
//! An audit begins with a snapshot of the counts, as of the last known transaction with ends, and of the live jobs.
//! Then it reads the records of all live jobs, and after these the records of all ended jobs, since jobs only move that
//! way. Records that were written after the snapshot are recognized by their versions. One audit runs at a time, page
//! by page, and only with requests that the leader's other work leaves over.

use crate::documents::county_counts::CountsUnavailable;
use crate::state_requests::PageCursor;
use crate::store::shard::Shard;
use crate::{Node, Pending};
use county::{Cell, Count};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use wire::api::{Item, Range, Stage};
use wire::http::Response;
use wire::records::{self, EndRecord, JobRecord};
use wire::tally::{self, DIFFERENCES};

/// Requests that an audit leaves to other work.
const RESERVED_REQUESTS: f64 = 5.0;
const TIMEOUT_MS: u64 = 3000;
const PAGE_SIZE: usize = 1000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RecordSet {
    Live,
    Ended,
}

/// A comparison of the counts with the records, and its progress.
pub(crate) struct Audit {
    id: String,
    revision: u64,
    /// Acceptances up to this revision are in the snapshot.
    seen_revision: u64,
    counts: BTreeMap<Cell, Count>,
    /// Live jobs of the snapshot whose records were not found yet, with their counties.
    unmatched_live: HashMap<String, String>,
    recounted: BTreeMap<Cell, Count>,
    record_set: RecordSet,
    cursor: PageCursor,
    in_flight: bool,
    records_read: u64,
    differences: Vec<String>,
    is_done: bool,
}

impl Audit {
    fn add_difference(&mut self, difference: String) {
        if self.differences.len() < DIFFERENCES {
            self.differences.push(difference);
        }
    }

    fn compare_live_record(&mut self, record: &JobRecord, record_version: u64) {
        let Some(county) = &record.county else { return };
        match self.unmatched_live.remove(&record.spec.id) {
            Some(known) if known == county.county => {}
            None if record_version > self.seen_revision => {}
            Some(known) => self.add_difference(format!(
                "{}: bound to {}, counted for {known}",
                record.spec.id, county.county
            )),
            None => self.add_difference(format!(
                "{}: bound to {}, not counted",
                record.spec.id, county.county
            )),
        }
    }

    fn compare_end_record(&mut self, job: &str, record: &EndRecord, record_version: u64) {
        let Some(counted) = &record.county else {
            return;
        };
        if record_version > self.revision {
            // It ended after the snapshot, so the snapshot has it as live, if at all.
            if let Some(known) = self
                .unmatched_live
                .remove(job)
                .filter(|known| *known != counted.county)
            {
                self.add_difference(format!(
                    "{job}: ended for {}, counted for {known}",
                    counted.county
                ));
            }
            return;
        }
        let cell = Cell {
            county: counted.county.clone(),
            class: counted.class.clone(),
        };
        let row = self.recounted.entry(cell).or_default();
        match record.stage {
            Stage::Cancelled => row.cancelled += 1,
            _ => row.done += 1,
        }
        row.tasks += u64::from(record.done);
    }

    /// Compares the counts, once all records were read.
    fn finish(&mut self) {
        self.add_jobs_without_record();
        self.add_count_differences();
        self.is_done = true;
    }

    /// Reports jobs that were counted but have no record.
    fn add_jobs_without_record(&mut self) {
        let mut unmatched: Vec<_> = std::mem::take(&mut self.unmatched_live)
            .into_iter()
            .collect();
        unmatched.sort();
        for (job, county) in unmatched {
            self.add_difference(format!("{job}: counted for {county}, has no record"));
        }
    }

    /// Reports cells whose counts differ from the records.
    fn add_count_differences(&mut self) {
        let counts = std::mem::take(&mut self.counts);
        let recounted = std::mem::take(&mut self.recounted);
        let cells: BTreeSet<&Cell> = counts.keys().chain(recounted.keys()).collect();
        for cell in cells {
            let kept = counts.get(cell).copied().unwrap_or_default();
            let found = recounted.get(cell).copied().unwrap_or_default();
            for (what, kept, found) in [
                ("done jobs", kept.done, found.done),
                ("cancelled jobs", kept.cancelled, found.cancelled),
                ("done tasks", kept.tasks, found.tasks),
            ] {
                if kept != found {
                    self.add_difference(format!(
                        "{}, {}: {kept} {what} counted, {found} in the records",
                        cell.county, cell.class
                    ));
                }
            }
        }
    }

    /// The progress of the audit, or its result.
    pub fn progress(&self) -> tally::Audit {
        let (revision, read) = (self.revision, self.records_read);
        match self.is_done {
            true => tally::Audit::Done {
                revision,
                read,
                differences: self.differences.clone(),
            },
            false => tally::Audit::Running { read },
        }
    }
}

impl Shard {
    /// The progress of the audit with this id, which is started if none is running; `None` while another one is
    /// running.
    pub fn audit(&mut self, id: &str) -> Result<Option<tally::Audit>, CountsUnavailable> {
        match &self.county_counts.audit {
            Some(audit) if audit.id == id => return Ok(Some(audit.progress())),
            Some(audit) if !audit.is_done => return Ok(None),
            _ => {}
        }
        let counts = self
            .county_counts
            .ended()
            .map_err(CountsUnavailable::Unread)?;
        let revision = self.last_known_end();
        let audit = Audit {
            id: id.to_owned(),
            revision,
            seen_revision: self.live_watch.revision(),
            counts,
            unmatched_live: self.live_counties(),
            recounted: BTreeMap::new(),
            record_set: RecordSet::Live,
            cursor: PageCursor::default(),
            in_flight: false,
            records_read: 0,
            differences: Vec::new(),
            is_done: false,
        };
        let progress = audit.progress();
        self.county_counts.audit = Some(audit);
        Ok(Some(progress))
    }

    /// The counties of live jobs, by job id.
    fn live_counties(&self) -> HashMap<String, String> {
        let live = self
            .jobs
            .iter()
            .flatten()
            .filter(|job| !job.is_end_recorded());
        live.filter_map(|job| Some((job.id.clone(), job.county.as_ref()?.county.clone())))
            .collect()
    }
}

impl Node {
    fn audit_mut(&mut self) -> Option<&mut Audit> {
        self.shard.as_mut()?.county_counts.audit.as_mut()
    }

    /// Requests the next page, if the request budget has room for it.
    pub(crate) fn audit_tick(&mut self) {
        let term = self.term;
        let has_spare_requests = self.requests.available(self.now.mono) > RESERVED_REQUESTS;
        let Some(audit) = self.audit_mut() else {
            return;
        };
        if audit.is_done || audit.in_flight || !has_spare_requests {
            return;
        }
        audit.in_flight = true;
        let prefix = if audit.record_set == RecordSet::Live {
            records::LIVE
        } else {
            records::ENDED
        };
        let path = audit.cursor.path(prefix, PAGE_SIZE);
        let pending = Pending::Audit {
            term,
            record_set: audit.record_set,
        };
        self.get_state(path, TIMEOUT_MS, pending);
    }

    /// Handles a page of records; `None` if there was no answer.
    pub(crate) fn audit_received(&mut self, record_set: RecordSet, response: Option<Response>) {
        let page = match record_set {
            RecordSet::Live => self.read_state(response).map(|page| {
                self.audit_page(page, |audit, job: JobRecord, _, record_version| {
                    audit.compare_live_record(&job, record_version)
                })
            }),
            RecordSet::Ended => self.read_state(response).map(|page| {
                self.audit_page(page, |audit, end: EndRecord, key, record_version| {
                    audit.compare_end_record(key, &end, record_version)
                })
            }),
        };
        let Some(audit) = self.audit_mut() else {
            return;
        };
        audit.in_flight = false;
        match (page, record_set) {
            (Some(false), RecordSet::Live) => {
                (audit.record_set, audit.cursor) = (RecordSet::Ended, PageCursor::default())
            }
            (Some(false), RecordSet::Ended) => audit.finish(),
            // The next tick requests the next page, or the same page again.
            _ => {}
        }
    }

    /// Processes a page; true if another page follows.
    fn audit_page<T>(&mut self, page: Range<T>, count: impl Fn(&mut Audit, T, &str, u64)) -> bool {
        let Some(audit) = self.audit_mut() else {
            return false;
        };
        let has_more = audit.cursor.advance(&page);
        audit.records_read += page.items.len() as u64;
        for Item {
            key,
            value,
            version,
        } in page.items
        {
            let job = key.rsplit('/').next().unwrap_or("");
            count(audit, value, job, version);
        }
        has_more
    }
}
