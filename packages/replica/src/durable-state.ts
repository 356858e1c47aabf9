/** What a replica keeps on its disk and starts from. */
import type {LogEntry} from '@bronzebend/wire';
import type {LogBase} from './raft-log.js';

/** Term and vote; must be durable before any message that depends on them is sent. */
export type HardState = {term: number; votedFor: string | undefined};

/** State from which a replica starts. */
export type RestoredState = {hardState: HardState; base: LogBase; entries: LogEntry[]};
