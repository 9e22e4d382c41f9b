//! Fencing numbers: who may give orders to the endpoints of a service.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{EntryId, ServiceId};
use crate::time::TimePoint;

/// How long a fence lasts without renewal.
pub const FENCE_DURATION: Duration = Duration::from_secs(6);

/// Number that grows with each new holder of a fence.
pub type FencingToken = u64;

/// The right to give orders to the endpoints of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceLease {
    /// Entry that holds it.
    pub holder: EntryId,
    /// Life of that entry.
    pub incarnation: u64,
    /// Number that its orders carry.
    pub number: FencingToken,
    /// End of validity, in the keepers' time.
    pub until: TimePoint,
}

/// Fences of all services.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceTable {
    fences: BTreeMap<ServiceId, FenceLease>,
    last_number: FencingToken,
}

impl FenceTable {
    /// Takes or renews the fence of `service`. Another holder's fence must have ended first: its
    /// orders may reach endpoints that ignore fencing numbers until then.
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

    /// The fence of `service`.
    pub fn get(&self, service: &ServiceId) -> Option<&FenceLease> {
        self.fences.get(service)
    }
}
