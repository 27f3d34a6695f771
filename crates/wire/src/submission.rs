//! Decodes and validates submitted jobs. Errors name the invalid field, and keep the job's id, by which a repeated
//! submission of an accepted job is recognized even if other fields are invalid.

mod raw_value;

use self::raw_value::RawValue;
pub use crate::users::Fault;
use crate::users::{JobSpec, TASK_COUNT_RULE};
use serde::de::value::{Error as ValueError, StrDeserializer};
use serde::de::{
    Deserialize, Deserializer, Error, IgnoredAny, IntoDeserializer, MapAccess, Visitor,
};
use std::fmt;

/// The fields of a submission, in the order in which they are checked. Only the first error is reported.
const FIELDS: [&str; 20] = [
    "nameId",
    "lot",
    "desk",
    "shape",
    "urgency",
    "pieces",
    "cores",
    "gpus",
    "ramGb",
    "kit",
    "pullGb",
    "builds",
    "hall",
    "together",
    "spread",
    "loaners",
    "expectS",
    "bookmarkS",
    "stashS",
    "dueS",
];

/// The error message for a field that is not a list of names.
const NAMES_RULE: &str = "must be null or a list of names";
/// The error message for a field that occurs more than once in the map.
const DUPLICATE_FIELD: &str = "occurs more than once";

/// Maximum nesting depth, also in fields that are ignored.
const MAX_DEPTH: usize = 32;

/// A submission that is not valid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{fault}")]
pub struct Malformed {
    /// The first error.
    pub fault: Fault,
    /// The id of the job, if it could be decoded: a job of this id may have been accepted before.
    pub id: Option<String>,
}

/// Decodes a submission and validates its form. Whether the job can ever run is for the controller to decide.
pub fn read(body: &[u8]) -> Result<JobSpec, Malformed> {
    let mut fields = Fields::default();
    let fault = match fields.decode(body).and_then(|()| fields.spec()) {
        Ok(spec) => return Ok(spec),
        Err(fault) => fault,
    };
    let id = fields
        .text("nameId")
        .ok()
        .filter(|id| crate::ids::valid_job_id(id));
    Err(Malformed { fault, id })
}

#[derive(Default)]
struct Fields {
    values: Vec<(&'static str, RawValue)>,
    is_map: bool,
    /// The first field that occurs more than once. The protocol does not define which of its values applies.
    duplicate: Option<&'static str>,
}

impl Fields {
    /// Decodes the fields of a body. After an error, the fields decoded before it are kept.
    fn decode(&mut self, body: &[u8]) -> Result<(), Fault> {
        let mut reader = rmp_serde::Deserializer::new(std::io::Cursor::new(body));
        reader.set_max_depth(MAX_DEPTH);
        let read = reader.deserialize_any(FieldsVisitor(self));
        let used = reader.get_ref().position();
        match read {
            Err(_) if !self.is_map => Err(Fault::body("must be a MessagePack map")),
            Err(_) => Err(Fault::body(
                "must be a whole MessagePack map with text keys, nested 32 deep at most",
            )),
            Ok(()) if used != body.len() as u64 => Err(Fault::body("has bytes after the map")),
            Ok(()) => Ok(()),
        }
    }

    /// The value of an optional field, which may be null or omitted.
    fn optional(&self, field: &'static str) -> Result<Option<&RawValue>, Fault> {
        if self.duplicate == Some(field) {
            return Err(Fault {
                field,
                why: DUPLICATE_FIELD,
            });
        }
        let found = self.values.iter().find(|(name, _)| *name == field);
        Ok(found
            .map(|(_, value)| value)
            .filter(|v| **v != RawValue::Null))
    }

    fn required(&self, field: &'static str) -> Result<&RawValue, Fault> {
        self.optional(field)?.ok_or(Fault {
            field,
            why: "missing",
        })
    }

    fn text(&self, field: &'static str) -> Result<String, Fault> {
        text(field, self.required(field)?)
    }

    fn flag(&self, field: &'static str) -> Result<bool, Fault> {
        match self.required(field)? {
            RawValue::Bool(b) => Ok(*b),
            _ => Err(Fault {
                field,
                why: "must be true or false",
            }),
        }
    }

    fn amount(&self, field: &'static str) -> Result<f64, Fault> {
        amount(field, self.required(field)?)
    }

    /// A count must be encoded as an integer. Floating-point numbers are refused, even if their value is whole.
    fn count(&self, field: &'static str) -> Result<u32, Fault> {
        match self.required(field)? {
            RawValue::Unsigned(n) => Ok(u32::try_from(*n).unwrap_or(u32::MAX)),
            _ => Err(Fault {
                field,
                why: TASK_COUNT_RULE,
            }),
        }
    }

    /// A unit variant of the enum `T`, decoded from its name.
    fn enum_value<T: for<'de> Deserialize<'de>>(
        &self,
        field: &'static str,
        why: &'static str,
    ) -> Result<T, Fault> {
        let word = self.text(field)?;
        let word: StrDeserializer<'_, ValueError> = word.as_str().into_deserializer();
        T::deserialize(word).map_err(|_| Fault { field, why })
    }

    fn names(&self, field: &'static str) -> Result<Option<Vec<String>>, Fault> {
        match self.optional(field)? {
            None => Ok(None),
            Some(RawValue::List(values)) => values
                .iter()
                .map(|v| text(field, v))
                .collect::<Result<_, _>>()
                .map(Some),
            Some(_) => Err(Fault {
                field,
                why: NAMES_RULE,
            }),
        }
    }

    fn spec(&self) -> Result<JobSpec, Fault> {
        if let Some(field) = self.duplicate {
            return Err(Fault {
                field,
                why: DUPLICATE_FIELD,
            });
        }
        let spec = JobSpec {
            id: self.text("nameId")?,
            class: self.text("lot")?,
            team: self.text("desk")?,
            kind: self.enum_value("shape", "must be array, group or standing")?,
            priority: self.enum_value("urgency", "must be production, high, normal or low")?,
            tasks: self.count("pieces")?,
            cores: self.amount("cores")?,
            gpus: self.amount("gpus")?,
            mem_gb: self.amount("ramGb")?,
            image: self.text("kit")?,
            image_gb: self.amount("pullGb")?,
            types: self.names("builds")?,
            zone: self
                .optional("hall")?
                .map(|v| text("hall", v))
                .transpose()?,
            one_zone: self.flag("together")?,
            spread: self.flag("spread")?,
            spot: self.flag("loaners")?,
            estimate_s: self.amount("expectS")?,
            checkpoint_s: self.amount("bookmarkS")?,
            save_s: self.amount("stashS")?,
            deadline_s: self
                .optional("dueS")?
                .map(|v| amount("dueS", v))
                .transpose()?,
        };
        spec.check()?;
        Ok(spec)
    }
}

fn text(field: &'static str, value: &RawValue) -> Result<String, Fault> {
    match value {
        RawValue::Text(text) => Ok(text.clone()),
        _ if field == "builds" => Err(Fault {
            field,
            why: NAMES_RULE,
        }),
        _ => Err(Fault {
            field,
            why: "must be text",
        }),
    }
}

/// An amount is a floating-point number; whole amounts may also be encoded as integers.
fn amount(field: &'static str, value: &RawValue) -> Result<f64, Fault> {
    match value {
        RawValue::Number(n) => Ok(*n),
        RawValue::Unsigned(n) => Ok(*n as f64),
        _ => Err(Fault {
            field,
            why: "must be a number",
        }),
    }
}

struct FieldsVisitor<'a>(&'a mut Fields);

impl<'de> Visitor<'de> for FieldsVisitor<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a map with text keys")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let fields = self.0;
        fields.is_map = true;
        while let Some(key) = map.next_key::<RawValue>()? {
            let RawValue::Text(key) = key else {
                return Err(A::Error::custom("keys are text"));
            };
            let Some(field) = FIELDS.iter().find(|f| **f == key) else {
                map.next_value::<IgnoredAny>()?;
                continue;
            };
            let value = map.next_value::<RawValue>()?;
            if fields.values.iter().any(|(name, _)| name == field) {
                fields.duplicate.get_or_insert(field);
            } else {
                fields.values.push((field, value));
            }
        }
        Ok(())
    }
}
