export * from './client.js';
export * from './declaration-folder.js';
export * from './output.js';
