//! Counts by county as the leader keeps them: deltas that ride in the log, and the counter sheets that they are added to.
//!
//! What ends is counted in the transaction that records its end, by way of its log record; a job that lives counts by
//! its own record. So counting costs no write at an acceptance, and at an end none where a log record goes along
//! anyway. `county::Tally` has the rules; this is what the part adds to them.

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

/// Sheets are written so often, so many at a time, and no longer than this. With more log records than this waiting
/// for them, they are written with each tidying, and more at a time.
const SHEET_WRITE_INTERVAL_MS: u64 = 5_000;
const SHEETS_PER_TRANSACTION: usize = 2;
const MAX_SHEET_BYTES: usize = 8 * 1024;
const MAX_BACKLOG: usize = 150;
const SHEETS_PER_TRANSACTION_BEHIND: usize = 4;
/// Sheets are read again so long after they could not be reached, or understood.
const RETRY_MS: u64 = 500;
const UNREADABLE_RETRY_MS: u64 = 30_000;
const TIMEOUT_MS: u64 = 3000;
/// Sheets of one page: an answer may be 8 MiB.
const PAGE_SIZE: usize = 200;
/// Transactions with ends that are remembered until the watch has come past them.
const MAX_RECENT_TRANSACTIONS: usize = 4_000;

/// The counts by county of one term of leadership.
pub(crate) struct CountyCounts {
    counts: Tally,
    /// Some job or record has a county. Without any, nothing is read, kept free or written.
    in_use: bool,
    reading: Option<Reading>,
    next_read_at: u64,
    sheets_written_at: u64,
    /// Ends that were recorded at a revision which the watch may not have come to.
    recent_ends: VecDeque<(u64, Vec<Delta>)>,
    /// Ends up to here were forgotten too early: nothing can be said as of an earlier revision.
    forgotten_revision: u64,
    /// The last transaction with ends that is known to stand.
    last_end_revision: u64,
    tenants: HashMap<String, u16>,
    /// The last audit, running or done.
    pub audit: Option<crate::documents::county_audit::Audit>,
}

/// Sheets as they come in, page by page.
struct Reading {
    cursor: PageCursor,
    all_decoded: bool,
}

/// Counts of the jobs that one transaction ends.
pub(crate) struct EndedCounts {
    deltas: Vec<Delta>,
    /// What they may take of the log record.
    max_bytes: usize,
}

/// What a job's claims say of its county, for those who find them after its end.
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

/// Bounds what a job's county adds to its claims' length.
pub(crate) fn claims_bytes(job: &Job) -> usize {
    job.county
        .as_ref()
        .map_or(0, |c| ClaimsRecord::county(&c.county))
}

/// The same of counts.
pub(crate) fn deltas_bytes(deltas: &[Delta]) -> usize {
    deltas
        .iter()
        .map(|d| Delta::frame(&d.county, &d.class))
        .sum()
}

/// The only zones for a job, as the planner's indices; one that does not exist where none of them does any more.
pub(crate) fn zones(job: &Job, index: &HashMap<&str, u16>) -> Vec<u16> {
    let names = job.county.iter().flat_map(|c| &c.zones);
    names
        .map(|z| index.get(z.as_str()).copied().unwrap_or(u16::MAX))
        .collect()
}

impl EndedCounts {
    /// Counts for a transaction whose records may have this length.
    pub fn new(value_bytes: usize) -> Self {
        EndedCounts {
            deltas: Vec::new(),
            max_bytes: value_bytes / 2,
        }
    }

    /// Counts a job's end, if it has a county.
    pub fn add(&mut self, shard: &mut Shard, ix: JobIndex, stage: Stage) -> Option<CountedRecord> {
        let job = shard.jobs.get(ix)?;
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

    /// What was counted, for the log record.
    pub fn take(&mut self) -> Vec<Delta> {
        std::mem::take(&mut self.deltas)
    }

    /// No more ends should be taken along.
    pub fn is_full(&self) -> bool {
        deltas_bytes(&self.deltas) > self.max_bytes
    }

    /// Writes that the transaction still needs for them.
    pub fn log_records_due(&self) -> usize {
        usize::from(!self.deltas.is_empty())
    }
}

impl CountyCounts {
    /// Counts whose sheets may be as long as a record.
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

    /// Whose work a job is, for the planner; numbers hold for this term.
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
            alone: c.alone,
        }
    }

    /// Writes that are kept free of ends for the log record that counts them.
    pub fn reserved_writes(&self, budget: usize) -> usize {
        usize::from(self.in_use && budget > 2)
    }

    /// A log record with counts stands, at this revision, or was read back. True if it has to stay for them.
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

    /// All that has ended, as of the last transaction with ends.
    pub fn ended(&self) -> Result<BTreeMap<Cell, Count>, Unread> {
        self.counts.counts()
    }

    /// Takes back what ended after a revision: there it still lives.
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

    /// Takes a page of sheets; true if another follows, `None` if none is waited for.
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

    /// Ends a reading, until a time at the earliest; true if all sheets were understood.
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
    /// Puts the sheets that have waited longest, as many as there is room for.
    pub fn counter_sheets(
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
        for (number, stamp, sheet) in fold.puts {
            if !room(self) {
                break;
            }
            self.put(
                records::tally_key(SHARD, number),
                stamp,
                Record::Tally(sheet.clone()),
            );
            puts.push((number, stamp, sheet));
        }
        if !puts.is_empty() {
            shard.county_counts.sheets_written_at = now;
            self.pending_writes
                .push(PendingWrite::CounterSheets(Fold { puts }));
        }
    }
}

impl Shard {
    /// Sheets are in place: log records that have waited for them alone may go.
    pub fn counter_sheets_written(&mut self, fold: &Fold, revision: u64) {
        let releasable = self.county_counts.counts.folded(fold, revision);
        self.claim_log.counted(releasable);
    }
}

impl Node {
    /// Reads the sheets once something has a county. Nothing else waits for that: until then counts are held back, and
    /// what ends meanwhile stays in the log.
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
        self.read_sheets();
    }

    fn read_sheets(&mut self) {
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
        self.get_state(path, TIMEOUT_MS, Pending::Sheets { term });
    }

    /// A page of sheets, or none.
    pub(crate) fn sheets_received(&mut self, response: Option<Response>) {
        let now = self.now.mono;
        let page = self.read_state::<Range<serde_json::Value>>(response);
        let Some(shard) = &mut self.shard else { return };
        let Some(page) = page else {
            shard.county_counts.stop_reading(now + RETRY_MS);
            return;
        };
        match shard.county_counts.page_read(page) {
            None => {}
            Some(true) => self.read_sheets(),
            Some(false) => {
                let all_decoded = shard.county_counts.stop_reading(now + UNREADABLE_RETRY_MS);
                let releasable = shard.county_counts.counts.reading_over(all_decoded);
                shard.claim_log.counted(releasable);
            }
        }
    }
}

/// One class of a county, as of one revision.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Row {
    /// Jobs that were accepted and have not ended.
    pub live: u64,
    /// Jobs that have ended.
    pub ended: Count,
}

/// Why there is nothing to tell now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CountsUnavailable {
    Unread(Unread),
    /// Acceptances were not seen up to the latest revision yet.
    Behind,
}

impl Shard {
    /// The last revision at which something ended, as far as is known: earlier leaders' were before our term.
    pub fn last_known_end(&self) -> u64 {
        self.county_counts
            .last_end_revision
            .max(self.leader_version)
    }

    /// All counts as of one revision, the latest that is known: what ended after it still lives there, and what was
    /// accepted after it does not yet.
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
        // What is under way may have been recorded already, after all that is known to stand.
        let last_known_end = if self.commit.is_out() {
            self.last_known_end()
        } else {
            u64::MAX
        };
        self.live_watch.revision().min(last_known_end)
    }

    /// Counts the jobs that live and were accepted up to a revision.
    fn add_live(&mut self, revision: u64, rows: &mut BTreeMap<Cell, Row>) {
        let counts = &mut self.county_counts.counts;
        let live = self.jobs.iter().flatten().filter(|job| !job.is_over());
        for job in live.filter(|job| job.version <= revision) {
            if let (Some(county), Some(spec)) = (&job.county, &job.spec) {
                let cell = counts.cell(&county.county, &spec.class);
                rows.entry(cell).or_default().live += 1;
            }
        }
    }
}
