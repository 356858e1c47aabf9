/** Durations of the protocol between nodes and the leader, in milliseconds. */

/** Interval between heartbeats of a node. */
export const NODE_HEARTBEAT_INTERVAL_MS = 500;
/** How long a node may rely on its view. A withdrawn key must stop working within 3 s; this leaves room for clock drift. */
export const VIEW_LEASE_MS = 1900;
/** How long a node may dispatch a pool without renewal. Work must stop reaching a leaving server within 2 s. */
export const DISPATCH_LEASE_MS = 1500;
/** What the leader adds to a lease before it treats it as expired, to allow for clock drift. */
export const LEASE_MARGIN_MS = 100;
/** Interval between two plans of the grants, which divide the teams' limits among pools. */
export const GRANTS_INTERVAL_MS = 500;
/** Time without a heartbeat after which a node is assigned no new pools. */
export const NODE_LIVENESS_TIMEOUT_MS = 1000;
/** Time without a heartbeat after which a node is removed from the directory. */
export const NODE_REMOVAL_TIMEOUT_MS = 60_000;
/** Age of a leadership below which the leader may not know every node yet. */
export const LEADER_SETTLE_MS = 10_000;
