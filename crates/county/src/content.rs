//! Implements the document interface for counties.

use crate::{Counties, CountySpec, Known, Others, Spec, spec};
use document::{Content, Fault, Packer};
use serde::{Deserialize, Serialize};

/// The counties that are stored in one record.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Part {
    #[serde(default)]
    pub others: Others,
    #[serde(default)]
    pub counties: Vec<CountySpec>,
}

impl Content for Spec {
    const KIND: &'static str = "counties";
    const NAME: &'static str = "counties";
    type Part = Part;
    type Context = Known;
    type Built = Counties;

    fn pack(&self, into: &mut Packer<Part>) {
        for c in &self.counties {
            into.push(c, |p| {
                p.others = self.others;
                p.counties.push(c.clone());
            });
        }
    }
    fn unpack(&mut self, part: &Part) {
        self.others = part.others;
        self.counties.extend(part.counties.iter().cloned());
    }
    fn build(&self, known: &Known) -> Result<Counties, Vec<Fault>> {
        Counties::build(self, known)
    }
    fn differences(old: &Self, new: &Self, max_lines: usize) -> Vec<String> {
        spec::differences(old, new, max_lines)
    }
    fn size(counties: &Counties) -> String {
        let rules: usize = counties.spec().counties.iter().map(|c| c.rules.len()).sum();
        format!(
            "{} counties with {rules} rules",
            counties.spec().counties.len()
        )
    }
    fn fitting(&self, known: &Known) -> Spec {
        self.without_unknown_names(known)
    }
}
