//! Orders that are not recorded yet, and what they change of what is. No I/O.

use crate::net::manual_ejections::{ManualEjections, Order};

/// Maximum number of orders that wait.
const MAX_PENDING: usize = 256;

struct PendingOrder {
    number: u64,
    uid: String,
    order: Order,
    /// The number of a resumed endpoint where the order is in force.
    in_force: Option<u64>,
}

/// Orders that are not recorded yet, in the order in which they were given.
#[derive(Default)]
pub struct PendingOrders {
    last_number: u64,
    orders: Vec<PendingOrder>,
}

impl PendingOrders {
    /// Adds an order that is not in force yet, and returns its number; none if too many wait.
    pub fn add(&mut self, uid: &str, order: Order) -> Option<u64> {
        if self.orders.len() >= MAX_PENDING {
            return None;
        }
        self.last_number += 1;
        let number = self.last_number;
        self.orders.push(PendingOrder { number, uid: uid.to_owned(), order, in_force: None });
        Some(number)
    }

    /// Marks an order as in force before it is recorded, and gives it the number of a resumed endpoint.
    pub fn put_in_force(&mut self, number: u64, resumed_number: u64) {
        if let Some(pending) = self.orders.iter_mut().find(|pending| pending.number == number) {
            pending.in_force = Some(resumed_number);
        }
    }

    /// Whether an order is in force before it is recorded.
    pub fn is_in_force(&self, number: u64) -> bool {
        self.orders.iter().any(|pending| pending.number == number && pending.in_force.is_some())
    }

    /// Removes an order that is recorded, or will not be.
    pub fn remove(&mut self, number: u64) {
        self.orders.retain(|pending| pending.number != number);
    }

    /// What is in force where this is recorded.
    pub fn added_to(&self, recorded: &ManualEjections) -> ManualEjections {
        let mut in_force = recorded.clone();
        for PendingOrder { uid, order, in_force: number, .. } in &self.orders {
            match (number, order) {
                (None, _) => {}
                (Some(_), Order::Suspend) => in_force.apply(uid, *order),
                (Some(number), Order::Resume) => in_force.resume(uid, *number),
            }
        }
        in_force
    }
}
