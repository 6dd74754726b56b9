//! Whether an experiment's parts go together: every name that one uses of another is looked up.

use super::{Check, Experiment, Fault, That, What};

impl Experiment {
    /// Whether its parts go together.
    pub(super) fn fits(&self) -> Result<(), String> {
        let zone = |name: &str| self.zone.iter().any(|zone| zone.name == name);
        let wrong = |what: String| Err(what);
        if self.zone.is_empty() || self.zone.len() > 50 {
            return wrong("zone: from 1 to 50 are needed".to_owned());
        }
        if self.class.is_empty() || self.class.iter().map(|class| class.share).sum::<f64>() <= 0.0 {
            return wrong("class: at least one with a share is needed".to_owned());
        }
        for (i, one) in self.zone.iter().enumerate() {
            if self.zone[..i].iter().any(|other| other.name == one.name) {
                return wrong(format!("zone `{}` stands twice", one.name));
            }
            if let Some(kind) = one.endpoints.keys().find(|kind| !self.kind.contains_key(*kind)) {
                return wrong(format!("zone `{}`: there is no kind `{kind}`", one.name));
            }
        }
        if let Some(name) = self.link.iter().flat_map(|link| &link.between).find(|name| !zone(name)) {
            return wrong(format!("link: there is no zone `{name}`"));
        }
        for (number, fault) in self.fault.iter().enumerate() {
            self.target(fault).map_err(|problem| format!("fault[{number}]: {problem}"))?;
            if let Some(to) = fault.to.as_ref().filter(|to| !zone(to)) {
                return wrong(format!("fault[{number}]: there is no zone `{to}`"));
            }
        }
        for (number, check) in self.check.iter().enumerate() {
            if check.at_least.is_none() && check.at_most.is_none() {
                return wrong(format!("check[{number}]: say at_least or at_most"));
            }
            if matches!(check.that, That::LeftZoneWithin | That::ReturnedWithin)
                && self.zone_fault(check).is_none()
            {
                return wrong(format!(
                    "check[{number}]: name a zone that a fault strikes, and ends where it must return"
                ));
            }
            if let Some(name) = check.zone.as_ref().filter(|name| !zone(name)) {
                return wrong(format!("check[{number}]: there is no zone `{name}`"));
            }
        }
        Ok(())
    }

    /// Checks that what a fault strikes is there.
    fn target(&self, fault: &Fault) -> Result<(), String> {
        let missing = |sort: &str, known: Vec<String>| {
            Err(format!("there is no {sort} `{}`; there are {}", fault.of, known.join(", ")))
        };
        match fault.what {
            What::Kill | What::Term | What::Pause => {
                let known = self.copies();
                if known.contains(&fault.of) { Ok(()) } else { missing("copy", known) }
            }
            What::ZoneLost
            | What::CutOff
            | What::CutOffOneWay
            | What::Delay
            | What::Loss
            | What::Reset
            | What::DiscoveryStale => {
                let known: Vec<String> = self.zone.iter().map(|zone| zone.name.clone()).collect();
                if known.contains(&fault.of) { Ok(()) } else { missing("zone", known) }
            }
            What::Slow | What::Failing | What::Silent | What::Gone | What::Drain => {
                let known: Vec<String> =
                    self.endpoints().into_iter().map(|endpoint| endpoint.name).collect();
                // A zone's name strikes all of its endpoints.
                let zone = self.zone.iter().any(|zone| zone.name == fault.of);
                if zone || known.contains(&fault.of) { Ok(()) } else { missing("endpoint", known) }
            }
            What::DiscoveryDown => Ok(()),
        }
    }

    /// The fault of a zone whose leaving or return a check measures; for a return one that ends.
    pub fn zone_fault(&self, check: &Check) -> Option<&Fault> {
        let of_zone =
            [What::ZoneLost, What::CutOff, What::CutOffOneWay, What::Delay, What::Loss, What::Reset];
        let ends = |fault: &&Fault| check.that == That::LeftZoneWithin || fault.lasts.is_some();
        let mut struck = self.fault.iter().filter(|fault| of_zone.contains(&fault.what));
        struck.find(|fault| Some(&fault.of) == check.zone.as_ref() && ends(fault))
    }
}
