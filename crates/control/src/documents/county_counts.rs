//! Job counts by county, as the leader keeps them: deltas in the records of the log, and counter sheets, which are
//! records of totals that the deltas are added to.
//!
//! The end of a job is counted by a delta in the log record of the transaction that records the end; a live job is
//! counted by its own record. Counting therefore costs no write when a job is accepted, and none at an end whose
//! transaction writes a log record anyway. The rules of counting are in `county::Tally`; this module reads, writes and
//! serves the counts.

use crate::jobs::job::{Job, JobIndex};
use crate::leadership::election::SHARD;
use crate::state_requests::PageCursor;
use crate::store::shard::Shard;
use crate::store::transaction::{PendingWrite, TransactionDraft};
use crate::{Node, Pending};
use county::{Cell, Count, Delta, Fold, OTHER, Sheet, Tally, Unread};
use std::collections::{BTreeMap, HashMap, VecDeque};
use wire::api::{Item, Range, Stage};
use wire::http::Response;
use wire::records::{self, ClaimsRecord, CountedRecord, CountyRecord, Record};

/// Interval between writes of sheets.
const SHEET_WRITE_INTERVAL_MS: u64 = 5_000;
/// The most sheets in one transaction.
const SHEETS_PER_TRANSACTION: usize = 2;
/// The most bytes of a sheet.
const MAX_SHEET_BYTES: usize = 8 * 1024;
/// With more log records than this waiting to be added to sheets, sheets are written each time that a transaction
/// cleans up, and more of them at once.
const MAX_BACKLOG: usize = 150;
const SHEETS_PER_TRANSACTION_BEHIND: usize = 4;
/// Delay before sheets are read again after the state service did not answer.
const RETRY_MS: u64 = 500;
/// Delay before sheets are read again after one could not be decoded.
const UNREADABLE_RETRY_MS: u64 = 30_000;
const TIMEOUT_MS: u64 = 3000;
/// Sheets in one page: an answer may have 8 MiB.
const PAGE_SIZE: usize = 200;
/// The most transactions with ends that are remembered until the watch of live jobs has passed them.
const MAX_RECENT_TRANSACTIONS: usize = 4_000;

/// The counts by county of one term of leadership.
pub(crate) struct CountyCounts {
    counts: Tally,
    /// Whether any job or record has a county. If none has, no counts are read or written, and no writes are reserved.
    in_use: bool,
    reading: Option<Reading>,
    next_read_at: u64,
    sheets_written_at: u64,
    /// Ends, with the revisions that recorded them, which the watch of live jobs may not have reached.
    recent_ends: VecDeque<(u64, Vec<Delta>)>,
    /// Ends up to this revision were dropped for lack of room: counts as of an earlier revision are unavailable.
    forgotten_revision: u64,
    /// Revision of the last committed transaction with ends.
    last_end_revision: u64,
    tenants: HashMap<String, u16>,
    /// The last audit, running or done.
    pub audit: Option<crate::documents::county_audit::Audit>,
}

/// A read in progress of all sheets, page by page.
struct Reading {
    cursor: PageCursor,
    all_decoded: bool,
}

/// Counts of the jobs that one transaction ends.
pub(crate) struct EndedCounts {
    deltas: Vec<Delta>,
    /// Bytes of the log record that the deltas may take.
    max_bytes: usize,
}

/// The county that a job's claims are recorded with, for a leader that reads the claims after the job's end.
pub(crate) fn claims_county(job: &Job) -> Option<String> {
    job.county
        .as_ref()
        .map(|c| c.county.clone())
        .filter(|c| c != OTHER)
}

/// The county of a job that only has claims left.
pub(crate) fn county_of_claims(county: &Option<String>, alone: bool) -> Option<CountyRecord> {
    county.as_ref().map(|c| CountyRecord {
        county: c.clone(),
        version: 0,
        alone,
        zones: Vec::new(),
    })
}

/// Upper bound of the bytes that a job's county adds to a record of its claims.
pub(crate) fn max_claims_bytes(job: &Job) -> usize {
    job.county
        .as_ref()
        .map_or(0, |c| ClaimsRecord::county(&c.county))
}

/// Upper bound of the bytes that deltas add to a log record.
pub(crate) fn max_deltas_bytes(deltas: &[Delta]) -> usize {
    deltas
        .iter()
        .map(|d| Delta::frame(&d.county, &d.class))
        .sum()
}

/// The zones that a job's county restricts it to, as indices for the planner. A zone that does not exist any more
/// becomes `u16::MAX`, so that the restriction remains if none of them exists.
pub(crate) fn allowed_zones(job: &Job, index: &HashMap<&str, u16>) -> Vec<u16> {
    let names = job.county.iter().flat_map(|c| &c.zones);
    names
        .map(|z| index.get(z.as_str()).copied().unwrap_or(u16::MAX))
        .collect()
}

impl EndedCounts {
    /// Empty counts for a transaction whose records may have this many bytes.
    pub fn new(value_bytes: usize) -> Self {
        EndedCounts {
            deltas: Vec::new(),
            max_bytes: value_bytes / 2,
        }
    }

    /// Counts a job's end, if it has a county.
    pub fn add(
        &mut self,
        shard: &mut Shard,
        job_index: JobIndex,
        stage: Stage,
    ) -> Option<CountedRecord> {
        let job = shard.jobs.get(job_index)?;
        let (county, class) = (
            job.county.as_ref()?.county.clone(),
            job.spec.as_ref()?.class.clone(),
        );
        let is_cancelled = stage == Stage::Cancelled;
        let count = Count {
            done: u64::from(!is_cancelled),
            cancelled: u64::from(is_cancelled),
            tasks: u64::from(job.done_count),
        };
        let cell = shard.county_counts.counts.cell(&county, &class);
        Delta::add_to(&mut self.deltas, &cell, &count);
        Some(CountedRecord {
            county: cell.county,
            class: cell.class,
        })
    }

    /// Takes the deltas, for the log record.
    pub fn take(&mut self) -> Vec<Delta> {
        std::mem::take(&mut self.deltas)
    }

    /// Whether the transaction should take no more ends.
    pub fn is_full(&self) -> bool {
        max_deltas_bytes(&self.deltas) > self.max_bytes
    }

    /// Writes that the transaction still needs for the deltas.
    pub fn log_records_due(&self) -> usize {
        usize::from(!self.deltas.is_empty())
    }
}

impl CountyCounts {
    /// Empty counts, with sheets that fit into records of this many bytes.
    pub fn new(value_bytes: usize) -> Self {
        CountyCounts {
            counts: Tally::new(value_bytes.min(MAX_SHEET_BYTES)),
            in_use: false,
            reading: None,
            next_read_at: 0,
            sheets_written_at: 0,
            recent_ends: VecDeque::new(),
            forgotten_revision: 0,
            tenants: HashMap::new(),
            last_end_revision: 0,
            audit: None,
        }
    }

    /// The tenant of a job, for the planner; tenant numbers are valid in this term only.
    pub fn tenant(&mut self, county: Option<&CountyRecord>) -> plan::Tenant {
        let Some(c) = county else {
            return plan::Tenant::default();
        };
        self.in_use = true;
        if c.county == OTHER {
            return plan::Tenant::default();
        }
        let next = u16::try_from(self.tenants.len() + 1).unwrap_or(u16::MAX);
        let number = match self.tenants.get(&c.county) {
            Some(n) => *n,
            None => *self.tenants.entry(c.county.clone()).or_insert(next),
        };
        plan::Tenant {
            county: number,
            is_isolated: c.alone,
        }
    }

    /// Writes of a transaction that are reserved for the log record with its deltas.
    pub fn reserved_writes(&self, budget: usize) -> usize {
        usize::from(self.in_use && budget > 2)
    }

    /// Notes the deltas of a log record that was committed at this revision, or read back (revision 0). True if the
    /// record has to be kept until they are in sheets.
    pub fn log_recorded(&mut self, number: u64, ended: Vec<Delta>, revision: u64) -> bool {
        if ended.is_empty() {
            return false;
        }
        self.in_use = true;
        if revision > 0 {
            self.last_end_revision = revision;
            self.recent_ends.push_back((revision, ended.clone()));
            if self.recent_ends.len() > MAX_RECENT_TRANSACTIONS
                && let Some((old, _)) = self.recent_ends.pop_front()
            {
                self.forgotten_revision = old;
            }
        }
        self.counts.noted(number, ended)
    }

    /// Counts of all ended jobs, as of the last transaction with ends.
    pub fn ended(&self) -> Result<BTreeMap<Cell, Count>, Unread> {
        self.counts.counts()
    }

    /// Reverts ends after a revision, as of which these jobs were still live.
    fn undo_after(&mut self, revision: u64, rows: &mut BTreeMap<Cell, Row>) {
        while self
            .recent_ends
            .front()
            .is_some_and(|(r, _)| *r <= revision)
        {
            self.recent_ends.pop_front();
        }
        for delta in self.recent_ends.iter().flat_map(|(_, deltas)| deltas) {
            let row = rows.entry(delta.cell()).or_default();
            row.live += delta.done + delta.cancelled;
            row.ended.done = row.ended.done.saturating_sub(delta.done);
            row.ended.cancelled = row.ended.cancelled.saturating_sub(delta.cancelled);
            row.ended.tasks = row.ended.tasks.saturating_sub(delta.tasks);
        }
    }

    fn is_due(&self, now: u64) -> bool {
        self.in_use && (now >= self.sheets_written_at + SHEET_WRITE_INTERVAL_MS || self.is_behind())
    }

    fn is_behind(&self) -> bool {
        self.counts.backlog().0 > MAX_BACKLOG
    }

    /// Adds a page of sheets; true if another page follows, `None` if no read is in progress.
    fn page_read(&mut self, page: Range<serde_json::Value>) -> Option<bool> {
        let reading = self.reading.as_mut()?;
        let prefix = records::tally_prefix(SHARD);
        let has_more = reading.cursor.advance(&page);
        for Item {
            key,
            value,
            version,
        } in page.items
        {
            let number = key.strip_prefix(&prefix).and_then(|n| n.parse().ok());
            match (number, serde_json::from_value::<Sheet>(value)) {
                (Some(number), Ok(sheet)) => self.counts.sheet_read(number, version, sheet),
                _ => {
                    reading.all_decoded = false;
                    log::error!("{key} can't be understood: counts by county are held back");
                }
            }
        }
        Some(has_more)
    }

    /// Ends a read, and sets the earliest time of the next; true if all sheets could be decoded.
    fn stop_reading(&mut self, next_read_at: u64) -> bool {
        self.next_read_at = next_read_at;
        self.reading
            .take()
            .is_some_and(|reading| reading.all_decoded)
    }

    fn needs_read(&self, now: u64) -> bool {
        self.in_use
            && self.counts.state().is_err()
            && self.reading.is_none()
            && now >= self.next_read_at
    }
}

impl TransactionDraft {
    /// Writes the sheets whose deltas have waited longest, as many as there is room for.
    pub fn put_counter_sheets(
        &mut self,
        shard: &mut Shard,
        now: u64,
        room: impl Fn(&TransactionDraft) -> bool,
    ) {
        if !shard.county_counts.is_due(now) {
            return;
        }
        let max_sheets = if shard.county_counts.is_behind() {
            SHEETS_PER_TRANSACTION_BEHIND
        } else {
            SHEETS_PER_TRANSACTION
        };
        let Some(fold) = shard.county_counts.counts.fold(max_sheets) else {
            return;
        };
        let mut puts = Vec::new();
        for (number, record_version, sheet) in fold.puts {
            if !room(self) {
                break;
            }
            self.put(
                records::tally_key(SHARD, number),
                record_version,
                Record::Tally(sheet.clone()),
            );
            puts.push((number, record_version, sheet));
        }
        if !puts.is_empty() {
            shard.county_counts.sheets_written_at = now;
            self.pending_writes
                .push(PendingWrite::CounterSheets(Fold { puts }));
        }
    }
}

impl Shard {
    /// Sheets were committed: log records that were kept for their deltas alone may be removed.
    pub fn counter_sheets_written(&mut self, fold: &Fold, revision: u64) {
        let releasable = self.county_counts.counts.folded(fold, revision);
        self.claim_log.release_counts(releasable);
    }
}

impl Node {
    /// Reads the sheets once there is a document or anything with a county. Nothing else waits for this: until the
    /// sheets are read, counts are unavailable, and the deltas of ended jobs stay in the log.
    pub(crate) fn county_counts_tick(&mut self) {
        let now = self.now.mono;
        let has_document = self.shared.documents.counties.head.version > 0;
        let Some(shard) = &mut self.shard else { return };
        shard.county_counts.in_use |= has_document;
        if !shard.county_counts.needs_read(now) {
            return;
        }
        shard.county_counts.counts.begin_reading();
        shard.county_counts.reading = Some(Reading {
            cursor: PageCursor::default(),
            all_decoded: true,
        });
        self.read_counter_sheets();
    }

    fn read_counter_sheets(&mut self) {
        let term = self.term;
        let Some(reading) = self
            .shard
            .as_ref()
            .and_then(|shard| shard.county_counts.reading.as_ref())
        else {
            return;
        };
        let path = reading
            .cursor
            .path(&records::tally_prefix(SHARD), PAGE_SIZE);
        self.get_state(path, TIMEOUT_MS, Pending::CounterSheets { term });
    }

    /// Handles a page of sheets; `None` if there was no answer.
    pub(crate) fn counter_sheets_received(&mut self, response: Option<Response>) {
        let now = self.now.mono;
        let page = self.read_state::<Range<serde_json::Value>>(response);
        let Some(shard) = &mut self.shard else { return };
        let Some(page) = page else {
            shard.county_counts.stop_reading(now + RETRY_MS);
            return;
        };
        match shard.county_counts.page_read(page) {
            None => {}
            Some(true) => self.read_counter_sheets(),
            Some(false) => {
                let all_decoded = shard.county_counts.stop_reading(now + UNREADABLE_RETRY_MS);
                let releasable = shard.county_counts.counts.reading_over(all_decoded);
                shard.claim_log.release_counts(releasable);
            }
        }
    }
}

/// Counts of one class of a county, as of one revision.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Row {
    /// Jobs that were accepted and have not ended.
    pub live: u64,
    /// Jobs that have ended.
    pub ended: Count,
}

/// Why no counts can be given now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CountsUnavailable {
    Unread(Unread),
    /// The watch of live jobs is too far behind: ends after its revision were already dropped.
    Behind,
}

impl Shard {
    /// The last revision at which a job ended, as far as is known. Ends that earlier leaders recorded came before this
    /// term.
    pub fn last_known_end(&self) -> u64 {
        self.county_counts
            .last_end_revision
            .max(self.leader_version)
    }

    /// All counts as of the latest revision for which they are known: jobs that ended after it are counted as live, and
    /// jobs that were accepted after it are not counted.
    pub fn counts_by_county(&mut self) -> Result<(u64, BTreeMap<Cell, Row>), CountsUnavailable> {
        let revision = self.counted_revision();
        let ended = self
            .county_counts
            .ended()
            .map_err(CountsUnavailable::Unread)?;
        if self.county_counts.forgotten_revision > revision {
            return Err(CountsUnavailable::Behind);
        }
        let mut rows: BTreeMap<Cell, Row> = ended
            .into_iter()
            .map(|(cell, ended)| (cell, Row { live: 0, ended }))
            .collect();
        self.county_counts.undo_after(revision, &mut rows);
        self.add_live(revision, &mut rows);
        Ok((revision, rows))
    }

    /// The latest revision up to which both acceptances and ends are known.
    fn counted_revision(&self) -> u64 {
        // A transaction in flight may have been committed already, after the last known end.
        let last_known_end = if self.commit.is_pending() {
            self.last_known_end()
        } else {
            u64::MAX
        };
        self.live_watch.revision().min(last_known_end)
    }

    /// Adds live jobs that were accepted up to a revision.
    fn add_live(&mut self, revision: u64, rows: &mut BTreeMap<Cell, Row>) {
        let counts = &mut self.county_counts.counts;
        let live = self
            .jobs
            .iter()
            .flatten()
            .filter(|job| !job.is_end_recorded());
        for job in live.filter(|job| job.version <= revision) {
            if let (Some(county), Some(spec)) = (&job.county, &job.spec) {
                let cell = counts.cell(&county.county, &spec.class);
                rows.entry(cell).or_default().live += 1;
            }
        }
    }
}
