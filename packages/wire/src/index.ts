export * from './frame-codec.js';
export * from './messages.js';
export * from './peer-network.js';
export type * from './peer-network-options.js';
export * from './entry-codec.js';
export * from './log-entry.js';
export * from './raft-messages.js';
export * from './unproved-connections.js';
