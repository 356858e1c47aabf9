/** What a soak tells a program that it runs; see program.ts. */

/** Environment variable with the {@link ProgramSettings}, as JSON. */
export const PROGRAM_VARIABLE = 'BRONZEBEND_SOAK_PROGRAM';

export type ProgramSettings = {self: string; peerPort: number; relay: {host: string; port: number}; syncDelayMs: number};

/** A message to the running program: the delay of each sync to its disk, in milliseconds, or whether the disk takes no more bytes. */
export type ProgramMessage = {syncDelayMs: number} | {isDiskFull: boolean};
