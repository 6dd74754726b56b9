//! What the operators may read: counts since the start of the process, each taken once, where the fact
//! occurs. How many endpoints there are, and which of them are avoided, the module says.

use gullpulley::Census;
use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;

/// How a request ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served: 200.
    Completed,
    /// Refused: 429 or 503.
    Rejected,
    /// Any other answer, or none.
    Failed,
}

/// Every way for a request to end, with its name in the report.
const ENDS: [(End, &str); 3] =
    [(End::Completed, "completed"), (End::Rejected, "rejected"), (End::Failed, "failed")];

/// The counts of one process.
pub struct Counters {
    classes: Vec<Class>,
    upstream: Cell<u64>,
    pending: Cell<u64>,
}

struct Class {
    name: String,
    ended: [Cell<u64>; ENDS.len()],
}

/// A request that was taken and has not ended; counts as pending while it lives. One that is dropped
/// without an end has lost its client, and stands under no end.
pub struct Taken {
    counters: Rc<Counters>,
    class: usize,
}

impl Counters {
    /// Nothing counted yet.
    pub fn new(classes: &[String]) -> Rc<Self> {
        let class = |name: &String| Class { name: name.clone(), ended: Default::default() };
        let (upstream, pending) = Default::default();
        Rc::new(Counters { classes: classes.iter().map(class).collect(), upstream, pending })
    }

    /// A request of a class has come whole.
    pub fn taken(self: &Rc<Self>, class: usize) -> Taken {
        self.pending.set(self.pending.get() + 1);
        Taken { counters: self.clone(), class }
    }

    /// A request of a class ended.
    pub fn ended(&self, class: usize, end: End) {
        if let Some(class) = self.classes.get(class) {
            let count = &class.ended[end as usize];
            count.set(count.get() + 1);
        }
    }

    /// An attempt was written to an endpoint, or is taken back as it never was.
    pub fn sent(&self, written: bool) {
        let count = self.upstream.get();
        self.upstream.set(if written { count + 1 } else { count.saturating_sub(1) });
    }

    /// All figures, a line each.
    pub fn report(&self, census: Census) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64| {
            let _ = writeln!(text, "svc.{name}={value}"); // writing to a string does not fail
        };
        for class in &self.classes {
            for (end, name) in ENDS {
                let count = class.ended[end as usize].get();
                line(&format!("downstream_requests.{}.{name}", class.name), count);
            }
        }
        line("upstream_requests", self.upstream.get());
        line("pending", self.pending.get());
        line("members", census.members as u64);
        line("members_unavailable", census.unavailable as u64);
        text
    }
}

impl Taken {
    /// It ended.
    pub fn end(self, end: End) {
        self.counters.ended(self.class, end);
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        let pending = &self.counters.pending;
        pending.set(pending.get().saturating_sub(1));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_figure_is_there_from_the_start_and_counts_its_own_fact() {
        let counters = Counters::new(&["quote".to_owned(), "book".to_owned()]);
        let census = Census { members: 3, unavailable: 1 };
        let zeros = counters.report(census);
        for class in ["quote", "book"] {
            for end in ["completed", "rejected", "failed"] {
                assert!(zeros.contains(&format!("svc.downstream_requests.{class}.{end}=0\n")), "{zeros}");
            }
        }
        let (first, second, left) = (counters.taken(0), counters.taken(1), counters.taken(1));
        assert!(counters.report(census).contains("svc.pending=3\n"));
        first.end(End::Completed);
        second.end(End::Rejected);
        drop(left);
        counters.ended(1, End::Failed);
        counters.sent(true);
        counters.sent(true);
        counters.sent(false);
        let wanted = "svc.downstream_requests.quote.completed=1\nsvc.downstream_requests.quote.rejected=0\n\
                      svc.downstream_requests.quote.failed=0\nsvc.downstream_requests.book.completed=0\n\
                      svc.downstream_requests.book.rejected=1\nsvc.downstream_requests.book.failed=1\n\
                      svc.upstream_requests=1\nsvc.pending=0\nsvc.members=3\nsvc.members_unavailable=1\n";
        assert_eq!(counters.report(census), wanted);
    }
}
