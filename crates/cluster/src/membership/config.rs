//! How SWIM is set up.

use crate::message_authentication::MAX_PAYLOAD_BYTES;
use foca::{Config, PeriodicParams};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Each member probes one other in this time.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// After this time without a response, others are requested to probe the member as well.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Others that probe as well: where 30% of all datagrams are lost, half of all round trips fail.
const INDIRECT_PROBES: NonZeroUsize = NonZeroUsize::new(8).unwrap();
/// A suspected member that sends no refutation for this long is down: some eight paths of it have failed by then.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Who is down is remembered for this long, so that old messages bring nobody back.
pub(super) const DOWN_RETENTION: Duration = Duration::from_secs(60);
/// Each update is passed on so often by each: three times the logarithm of 300.
const UPDATE_TRANSMISSIONS: NonZeroU8 = NonZeroU8::new(18).unwrap();
const MAX_PACKET_BYTES: NonZeroUsize = NonZeroUsize::new(MAX_PAYLOAD_BYTES).unwrap();
const GOSSIP: PeriodicParams = PeriodicParams {
    frequency: Duration::from_millis(200),
    num_members: NonZeroUsize::new(3).unwrap(),
};
const ANNOUNCE: PeriodicParams = PeriodicParams {
    frequency: Duration::from_secs(10),
    num_members: NonZeroUsize::MIN,
};
const ANNOUNCE_TO_DOWN: PeriodicParams = PeriodicParams {
    frequency: Duration::from_secs(2),
    num_members: NonZeroUsize::new(2).unwrap(),
};

pub(super) fn swim_config() -> Config {
    Config {
        probe_period: PROBE_INTERVAL,
        probe_rtt: PROBE_TIMEOUT,
        num_indirect_probes: INDIRECT_PROBES,
        max_transmissions: UPDATE_TRANSMISSIONS,
        suspect_to_down_after: SUSPICION_TIMEOUT,
        remove_down_after: DOWN_RETENTION,
        max_packet_size: MAX_PACKET_BYTES,
        notify_down_members: true,
        periodic_announce: Some(ANNOUNCE),
        periodic_announce_to_down_members: Some(ANNOUNCE_TO_DOWN),
        periodic_gossip: Some(GOSSIP),
    }
}
