//! Predicates for `skip_serializing_if`: fields that are omitted from a record when they have their default value.

pub(super) fn is_zero(value: &u64) -> bool {
    *value == 0
}

pub(super) fn is_false(value: &bool) -> bool {
    !*value
}
