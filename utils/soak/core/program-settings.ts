/** What a soak tells a program that it runs; see program.ts. */

/** Environment variable with the {@link ProgramSettings}, as JSON. */
export const PROGRAM_VARIABLE = 'BRONZEBEND_SOAK_PROGRAM';

export type ProgramSettings = {self: string; peerPort: number; relay: {host: string; port: number}};

/** A message to the running program. */
export type ProgramMessage = {syncDelayMs: number};
