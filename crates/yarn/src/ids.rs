//! The text form of ids, used by the REST interface and by people.

use crate::proto::{ApplicationAttemptId, ApplicationId, ContainerId};
use std::fmt;

/// Low bits of a container id that hold the sequence number within an epoch; the bits above hold the epoch.
const SEQUENCE_BITS: u32 = 40;

impl fmt::Display for ApplicationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "application_{}_{:04}", self.cluster_timestamp, self.id)
    }
}

impl ApplicationId {
    /// Parses the form `application_1700000000000_0007`.
    pub fn parse(text: &str) -> Option<Self> {
        let (timestamp, id) = text.strip_prefix("application_")?.split_once('_')?;
        Some(ApplicationId {
            id: parse_decimal(id)?,
            cluster_timestamp: parse_decimal(timestamp)?,
        })
    }
}

impl fmt::Display for ApplicationAttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let app = self.application_id.unwrap_or_default();
        write!(
            f,
            "appattempt_{}_{:04}_{:06}",
            app.cluster_timestamp, app.id, self.attempt_id
        )
    }
}

impl ApplicationAttemptId {
    /// Parses the form `appattempt_1700000000000_0007_000001`.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.strip_prefix("appattempt_")?.split('_');
        let cluster_timestamp = parse_decimal(parts.next()?)?;
        let id = parse_decimal(parts.next()?)?;
        let attempt_id = parse_decimal(parts.next()?)?;
        let application_id = Some(ApplicationId {
            id,
            cluster_timestamp,
        });
        parts.next().is_none().then_some(ApplicationAttemptId {
            application_id,
            attempt_id,
        })
    }
}

impl ContainerId {
    /// Combines epoch and sequence number into one id, which is never reused as long as epochs increase.
    pub fn new(attempt: ApplicationAttemptId, epoch: u64, sequence: u64) -> Self {
        let masked_sequence = sequence & ((1 << SEQUENCE_BITS) - 1);
        ContainerId {
            app_id: None,
            app_attempt_id: Some(attempt),
            id: (epoch << SEQUENCE_BITS | masked_sequence) as i64,
        }
    }

    pub fn epoch(&self) -> u64 {
        self.id as u64 >> SEQUENCE_BITS
    }

    pub fn sequence(&self) -> u64 {
        self.id as u64 & ((1 << SEQUENCE_BITS) - 1)
    }
}

impl fmt::Display for ContainerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let attempt = self.app_attempt_id.unwrap_or_default();
        let app = attempt.application_id.unwrap_or_default();
        write!(f, "container_")?;
        if self.epoch() > 0 {
            write!(f, "e{:02}_", self.epoch())?;
        }
        let (stamp, id) = (app.cluster_timestamp, app.id);
        write!(
            f,
            "{stamp}_{id:04}_{:02}_{:06}",
            attempt.attempt_id,
            self.sequence()
        )
    }
}

/// Parses a number of ASCII digits only; signs and spaces are rejected.
fn parse_decimal<T: std::str::FromStr>(text: &str) -> Option<T> {
    let only_digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    only_digits.then(|| text.parse().ok()).flatten()
}
