//! Types for time and ids. Times are whole microseconds on one monotonic clock; ids are small numbers that
//! carry no meaning of their own.

/// Microseconds: an instant on the caller's clock, or a duration.
pub type Micros = i64;
/// A client request, unique for the life of an instance.
pub type RequestId = u64;
/// Number of an attempt within its request, from 0, in the order in which
/// [`Action::Send`](crate::Action::Send) was issued.
pub type AttemptNumber = u32;
/// An endpoint, numbered densely from 0 by the caller. The id of a removed endpoint with nothing in flight
/// may be reused.
pub type EndpointId = usize;
/// Position of a class in [`Settings::classes`](crate::Settings::classes).
pub type ClassId = usize;
/// Position of a tenant in [`Settings::tenants`](crate::Settings::tenants).
pub type TenantId = usize;
/// A zone, numbered by the caller.
pub type ZoneId = usize;
/// A machine type, numbered by the caller; endpoints of one type are expected to perform alike.
pub type MachineTypeId = usize;
