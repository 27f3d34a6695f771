//! A value of a submission whose field, and so its type, is not known yet.

use serde::de::{Deserialize, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use std::fmt;

/// A decoded value. Only kinds of values that some field may have are kept; the content of all others is dropped.
#[derive(Debug, PartialEq)]
pub(super) enum RawValue {
    Null,
    Bool(bool),
    /// A non-negative integer.
    Unsigned(u64),
    Number(f64),
    Text(String),
    List(Vec<RawValue>),
    Other,
}

struct RawValueVisitor;

impl<'de> Visitor<'de> for RawValueVisitor {
    type Value = RawValue;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("any value")
    }
    fn visit_unit<E>(self) -> Result<RawValue, E> {
        Ok(RawValue::Null)
    }
    fn visit_none<E>(self) -> Result<RawValue, E> {
        Ok(RawValue::Null)
    }
    fn visit_bool<E>(self, v: bool) -> Result<RawValue, E> {
        Ok(RawValue::Bool(v))
    }
    fn visit_u64<E>(self, v: u64) -> Result<RawValue, E> {
        Ok(RawValue::Unsigned(v))
    }
    fn visit_i64<E>(self, v: i64) -> Result<RawValue, E> {
        Ok(u64::try_from(v).map_or(RawValue::Number(v as f64), RawValue::Unsigned))
    }
    fn visit_f64<E>(self, v: f64) -> Result<RawValue, E> {
        Ok(RawValue::Number(v))
    }
    fn visit_str<E>(self, v: &str) -> Result<RawValue, E> {
        Ok(RawValue::Text(v.to_owned()))
    }
    fn visit_bytes<E>(self, _: &[u8]) -> Result<RawValue, E> {
        Ok(RawValue::Other)
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<RawValue, A::Error> {
        // No memory is reserved for the declared length, since the sender may declare any length.
        let mut values = Vec::new();
        while let Some(value) = seq.next_element::<RawValue>()? {
            values.push(value);
        }
        Ok(RawValue::List(values))
    }
    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<RawValue, A::Error> {
        while map.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
        Ok(RawValue::Other)
    }
    /// A `MessagePack` extension type, which no field has.
    fn visit_newtype_struct<D: Deserializer<'de>>(
        self,
        deserializer: D,
    ) -> Result<RawValue, D::Error> {
        IgnoredAny::deserialize(deserializer).map(|_| RawValue::Other)
    }
}

impl<'de> Deserialize<'de> for RawValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(RawValueVisitor)
    }
}
