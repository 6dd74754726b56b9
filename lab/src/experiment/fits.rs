//! Whether an experiment's parts go together: every name that one uses of another is looked up.

use super::{Abandoned, Check, Experiment, Fault, That, What};

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
        self.tiers_fit()?;
        let discovery = &self.discovery;
        let costs = !(discovery.per_call.is_zero() && discovery.per_line.is_zero());
        if discovery.abandoned == Abandoned::Served && !costs {
            return wrong("discovery: `abandoned` work takes per_call or per_line".to_owned());
        }
        if costs && discovery.patience.is_zero() {
            return wrong("discovery: a patience of 0 sends every call away".to_owned());
        }
        if let Some(name) = self.link.iter().flat_map(|link| &link.between).find(|name| !zone(name)) {
            return wrong(format!("link: there is no zone `{name}`"));
        }
        for (number, fault) in self.fault.iter().enumerate() {
            self.target(fault).map_err(|problem| format!("fault[{number}]: {problem}"))?;
        }
        if let Some(inject) = &self.inject {
            inject.fits()?;
        }
        if let Some(draw) = &self.draw {
            let room = draw.until.saturating_sub(draw.from);
            if draw.what.is_empty() || draw.faults == 0 {
                return wrong("draw: say how many faults, and what may go wrong".to_owned());
            }
            if draw.longest.is_zero() || draw.longest > room || draw.until > self.lasts {
                return wrong(
                    "draw: from, longest and until must fit in what the experiment lasts".to_owned(),
                );
            }
        }
        for (number, check) in self.check.iter().enumerate() {
            if check.at_least.is_none() && check.at_most.is_none() {
                return wrong(format!("check[{number}]: say at_least or at_most"));
            }
            if (check.that == That::Figure) != check.metric.is_some() {
                return wrong(format!(
                    "check[{number}]: `metric` goes with `figure`, and `figure` with it"
                ));
            }
            if matches!(check.that, That::LeftZoneWithin | That::ReturnedWithin)
                && self.zone_fault(check).is_none()
            {
                return wrong(format!(
                    "check[{number}]: name a zone that a fault strikes, and ends where it must return"
                ));
            }
            if matches!(check.that, That::ToldWithin | That::ToldWithinP99)
                && !self.fault.iter().any(Fault::of_list)
            {
                return wrong(format!("check[{number}]: no fault changes the list"));
            }
            if let Some(name) = check.zone.as_ref().filter(|name| !zone(name)) {
                return wrong(format!("check[{number}]: there is no zone `{name}`"));
            }
        }
        Ok(())
    }

    /// Whether each tier has endpoints, and no two copies one name.
    fn tiers_fit(&self) -> Result<(), String> {
        if let Some((name, kind)) = self.kind.iter().find(|(_, kind)| kind.tier >= self.tiers().len()) {
            return Err(format!(
                "kind `{name}`: there is no tier {}; there are {}",
                kind.tier,
                self.tiers().len()
            ));
        }
        for (number, tier) in self.tiers().iter().enumerate() {
            if !self.endpoints().iter().any(|endpoint| endpoint.kind.tier == number) {
                return Err(format!("tier[{number}]: no zone has endpoints of it"));
            }
            if !(tier.work > 0.0 && tier.calls >= 0.0) {
                return Err(format!("tier[{number}]: work must be above 0, and calls at least 0"));
            }
        }
        let mut names: Vec<String> = self.copies().into_iter().map(|copy| copy.name).collect();
        names.sort();
        match names.windows(2).find(|pair| pair[0] == pair[1]) {
            Some(pair) => {
                Err(format!("two copies would be called `{}`; give a zone or kind another name", pair[0]))
            }
            None => Ok(()),
        }
    }

    /// Checks that what a fault strikes is there.
    pub(super) fn target(&self, fault: &Fault) -> Result<(), String> {
        let missing = |sort: &str, known: Vec<String>| {
            Err(format!("there is no {sort} `{}`; there are {}", fault.of, known.join(", ")))
        };
        let zones: Vec<String> = self.zone.iter().map(|zone| zone.name.clone()).collect();
        let copies: Vec<String> = self.copies().into_iter().map(|copy| copy.name).collect();
        if fault.by_part() && !(fault.by > 0.0 && fault.by <= 1.0) {
            return Err(format!("by = {}: say which part, above 0 and at most 1", fault.by));
        }
        if let Some(to) = &fault.to {
            let (sort, known) = if copies.contains(&fault.of) { ("copy", copies) } else { ("zone", zones) };
            return match fault.of_way() {
                false => Err("`to` is for ways between zones or copies".to_owned()),
                true if !known.contains(&fault.of) || !known.contains(to) => {
                    Err(format!("there is no {sort} `{to}`; there are {}", known.join(", ")))
                }
                true => Ok(()),
            };
        }
        if fault.what == What::DiskOlder && fault.lasts.is_none() {
            return Err("say with `lasts` when the older folder is put back".to_owned());
        }
        match fault.what {
            What::Kill | What::Term | What::Signals | What::Pause => {
                if copies.contains(&fault.of) {
                    Ok(())
                } else {
                    missing("copy", copies)
                }
            }
            // Without a name all copies.
            What::DiscoveryCrowded if fault.of.is_empty() => Ok(()),
            What::Reload
            | What::DiscoveryCrowded
            | What::PowerCut
            | What::DiskFull
            | What::DiskFailing
            | What::DiskSlow
            | What::DiskLying
            | What::DiskFlipped
            | What::DiskOlder
            | What::CutOff
            | What::Stall
            | What::CutOffOneWay
            | What::Delay
            | What::Loss
            | What::Duplicate
            | What::Reorder => {
                let known = [zones, copies].concat();
                if known.contains(&fault.of) { Ok(()) } else { missing("zone or copy", known) }
            }
            What::ZoneLost | What::BlackHole | What::Reset | What::Resets | What::DiscoveryStale => {
                if zones.contains(&fault.of) { Ok(()) } else { missing("zone", zones) }
            }
            What::Slow
            | What::Failing
            | What::Silent
            | What::Gone
            | What::Drain
            | What::DiscoveryMissing => {
                let known: Vec<String> =
                    self.endpoints().into_iter().map(|endpoint| endpoint.name).collect();
                // A zone's name strikes all of its endpoints.
                let known_so = zones.contains(&fault.of) || known.contains(&fault.of);
                if known_so { Ok(()) } else { missing("endpoint", known) }
            }
            What::DiscoveryDown
            | What::DiscoveryTorn
            | What::DiscoverySilent
            | What::DiscoveryTroubled
            | What::DiscoveryBehind
            | What::DiscoveryReset => Ok(()),
        }
    }

    /// The fault of a zone whose leaving or return a check measures; for a return one that ends.
    pub fn zone_fault(&self, check: &Check) -> Option<&Fault> {
        let endpoints =
            [What::ZoneLost, What::PowerCut, What::Slow, What::Failing, What::Silent, What::Gone];
        let ends = |fault: &&Fault| check.that == That::LeftZoneWithin || fault.lasts.is_some();
        let mut struck =
            self.fault.iter().filter(|fault| fault.of_way() || endpoints.contains(&fault.what));
        struck.find(|fault| Some(&fault.of) == check.zone.as_ref() && ends(fault))
    }
}
