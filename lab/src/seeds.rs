//! Random numbers by seed and part: what one part draws never shifts what another does.

use rand::SeedableRng;
use rand_pcg::Pcg64;

/// The parts that draw.
#[derive(Clone, Copy, Debug)]
pub enum Part {
    /// When requests come, of which class and zone.
    Schedule,
    /// A request's work, by its number.
    Work,
    /// Whether an endpoint fails a request, by its number.
    Failing,
    /// When an endpoint stands still, by its number.
    Stall,
    /// How often a request calls the next tier, by its number.
    Calls,
    /// What of the unsynced a power cut leaves, by cut.
    Disk,
    /// A client's wait before it asks again, by the request's number.
    Retry,
    /// What goes wrong, where that is drawn.
    Faults,
    /// When a client leaves early, by the request's number.
    Leaving,
    /// What a copy's calls do, by its number.
    Injected,
    /// The deployment, where that is drawn.
    Deployment,
    /// What becomes of a call at discovery, by copy and call.
    Trouble,
    /// How an endpoint leaves, by its number.
    Leave,
    /// How calls end while discovery is crowded, by copy and crowded time.
    Crowd,
}

/// The draws of one part, for one thing among many.
pub fn draws(seed: u64, part: Part, of: u64) -> Pcg64 {
    // Odd multipliers keep distinct inputs distinct; the generator's own seeding mixes them.
    let mixed = seed
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .wrapping_add((part as u64).wrapping_mul(0xbf58_476d_1ce4_e5b9))
        .wrapping_add(of.wrapping_mul(0x94d0_49bb_1331_11eb));
    Pcg64::seed_from_u64(mixed)
}
