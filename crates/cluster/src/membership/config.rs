//! The SWIM configuration.

use crate::message_authentication::MAX_PAYLOAD_BYTES;
use foca::{Config, PeriodicParams};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Each member probes one other member per interval.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// After this time without a response, other members are asked to probe the member as well.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Indirect probes: with 30% datagram loss, half of all round trips fail.
const INDIRECT_PROBES: NonZeroUsize = NonZeroUsize::new(8).unwrap();
/// A suspected member that sends no refutation for this long is declared down: about eight paths to it have failed by then.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Members that are down are remembered for this long, so that old messages do not make them alive again.
pub(super) const DOWN_RETENTION: Duration = Duration::from_secs(60);
/// How often each member retransmits an update: about three times the natural logarithm of 300 members.
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
