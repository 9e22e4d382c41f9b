//! Admission control: which call is served next, which calls wait, and which are refused and until
//! when. Addresses loads where demand exceeds the capacity of a service.

mod class_queue;
mod class_reserve;
mod drain_rate;
mod queued_call;
mod refusal_schedule;
mod silence_limits;
mod wait_queue;

pub use class_reserve::{CapacityLimits, ClassRank, ClassReserve, ServiceClasses};
pub use drain_rate::DrainRate;
pub use queued_call::{
    PriorityClass, QueueError, QueueForecast, QueueSettings, QueuedCall, StartWindow, WaitOutlook,
    WaiterId,
};
pub use refusal_schedule::{RefusalLoad, RefusalSchedule, RefusalSettings};
pub use silence_limits::{SilenceLimits, StreamAlternative};
pub use wait_queue::WaitQueue;
