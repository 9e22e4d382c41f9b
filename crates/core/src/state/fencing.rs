//! Fencing tokens: which entry may send commands to the endpoints of a service.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{EntryId, ServiceId};
use crate::time::TimePoint;

/// How long a fence is valid without renewal.
pub const FENCE_DURATION: Duration = Duration::from_secs(6);

/// Number that increases each time a fence gets a new holder.
pub type FencingToken = u64;

/// The exclusive right to send commands to the endpoints of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceLease {
    /// Entry that holds it.
    pub holder: EntryId,
    /// Incarnation of that entry.
    pub incarnation: u64,
    /// Token that the holder's commands carry.
    pub number: FencingToken,
    /// End of validity, in the Unix time of the keepers' leader.
    pub until: TimePoint,
}

/// Fences of all services, with the last token issued.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceTable {
    fences: BTreeMap<ServiceId, FenceLease>,
    last_number: FencingToken,
}

impl FenceTable {
    /// Acquires or renews the fence of `service`. Returns `None` while another holder's fence is
    /// valid: until it expires, commands of that holder may reach endpoints that ignore fencing
    /// tokens.
    pub fn acquire(
        &mut self,
        service: &ServiceId,
        holder: &EntryId,
        incarnation: u64,
        stamp: TimePoint,
    ) -> Option<FenceLease> {
        let current = self.fences.get_mut(service);
        if let Some(fence) = current {
            let is_own = fence.holder == *holder && fence.incarnation == incarnation;
            if is_own && stamp < fence.until {
                fence.until = stamp + FENCE_DURATION;
                return Some(fence.clone());
            }
            if stamp < fence.until {
                return None;
            }
        }
        self.last_number += 1;
        let fence = FenceLease {
            holder: holder.clone(),
            incarnation,
            number: self.last_number,
            until: stamp + FENCE_DURATION,
        };
        self.fences.insert(service.clone(), fence.clone());
        Some(fence)
    }

    /// The fence of `service`, valid or not.
    pub fn get(&self, service: &ServiceId) -> Option<&FenceLease> {
        self.fences.get(service)
    }
}
