//! Fields that are left out of a record when they have their default.

pub(super) fn is_zero(value: &u64) -> bool {
    *value == 0
}

pub(super) fn is_false(value: &bool) -> bool {
    !*value
}
