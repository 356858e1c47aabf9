/** Leases between nodes and the leader, in milliseconds. */

/** Pause between two heartbeats of a node. */
export const NODE_HEARTBEAT_MS = 500;
/** How long a node may rely on its view; with clock drift this stays below the 3 s in which a withdrawn key must stop. */
export const VIEW_LEASE_MS = 1900;
/** How long a node may dispatch a pool; work must stop reaching a leaving server within 2 s. */
export const DISPATCH_LEASE_MS = 1500;
/** What the leader adds to a lease before it takes it as ended, for clocks that run apart. */
export const LEASE_MARGIN_MS = 100;
/** Pause between two plans of the portions of limits. */
export const GRANTS_MS = 500;
/** Silence after which a node gets no new pools. */
export const NODE_SILENCE_MS = 1000;
/** Silence after which a node leaves the directory. */
export const NODE_FORGET_MS = 60_000;
/** Age below which a leader does not yet know every node. */
export const LEADER_SETTLE_MS = 10_000;
