export * from './disk.js';
export * from './folder-lock.js';
export * from './record-codec.js';
export * from './next-members.js';
export * from './raft.js';
export * from './replica.js';
export * from './replica-errors.js';
export * from './storage.js';
