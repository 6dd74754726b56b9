//! Maps the names of endpoints to the numeric ids that the policy uses.

use crate::api::EndpointId;
use std::collections::HashMap;

/// A hash that is the same on every machine and in every release: FNV-1a.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let start: u64 = 0xcbf2_9ce4_8422_2325;
    bytes.iter().fold(start, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3))
}

/// The names and ids of endpoints. An id is a hash of the name, so that all balancers use the same one.
#[derive(Debug, Default)]
pub struct EndpointNames {
    names: HashMap<EndpointId, String>,
}

impl EndpointNames {
    /// The id of an endpoint name; assigned on the first use of the name.
    pub fn id(&mut self, name: &str) -> EndpointId {
        let mut id = EndpointId(stable_hash(name.as_bytes()));
        while let Some(known) = self.names.get(&id) {
            if known == name {
                return id;
            }
            id = EndpointId(id.0.wrapping_add(1)); // the id is taken by another name with this hash
        }
        self.names.insert(id, name.to_owned());
        id
    }

    /// The name that an id was assigned to, or `-` if there is none.
    pub fn name(&self, id: EndpointId) -> &str {
        self.names.get(&id).map_or("-", String::as_str)
    }
}
