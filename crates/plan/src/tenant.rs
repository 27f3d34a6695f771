//! The tenants of tasks and of machines.

/// The owner of a task for anti-affinity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Tenant {
    /// Number of the county, 0 for none.
    pub county: u16,
    /// Its tasks share no machine with those of other counties.
    pub is_isolated: bool,
}

impl Tenant {
    /// Whether tasks of the two must not be on one machine at the same time.
    pub fn conflicts_with(&self, other: &Tenant) -> bool {
        self.county != other.county && (self.is_isolated || other.is_isolated)
    }
}

/// Summary of the tenants on a machine, which decides who else may use it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Tenants {
    county: Option<u16>,
    has_several: bool,
    has_isolated: bool,
}

impl Tenants {
    pub fn of<'a>(all: impl IntoIterator<Item = &'a Tenant>) -> Self {
        let mut out = Tenants::default();
        all.into_iter().for_each(|t| out.add(t));
        out
    }
    pub fn admits(&self, new: &Tenant) -> bool {
        match self.county {
            None => true,
            Some(county) if !self.has_several && county == new.county => true,
            Some(_) => !self.has_isolated && !new.is_isolated,
        }
    }
    pub fn add(&mut self, new: &Tenant) {
        self.has_several |= self.county.is_some_and(|c| c != new.county);
        self.county = Some(new.county);
        self.has_isolated |= new.is_isolated;
    }
}
