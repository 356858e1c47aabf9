/** Limits on what the clients of all HTTP servers of a process may hold at once. */

/** Limits of one process, over all its servers; those of jobs are not the guard's. */
export type ClientLimits = {
	/** Bytes allocated for bodies that are being received or whose requests are being answered. */
	bodyBytes: number;
	/** Requests whose head has arrived and whose answer has not been taken, including those sent ahead. */
	requests: number;
	connections: number;
	/** Steps of jobs whose submissions are being answered. */
	steps: number;
	/** Work units of jobs that a keeper holds, see `held-work.ts`. */
	heldWork: number;
};

/** Requests of one connection that may wait for the answers to earlier ones. */
export const MAX_WAITING_REQUESTS = 32;
/** Time without progress of a body, or without a byte of an answer taken, after which a connection is closed, in milliseconds. */
export const PROGRESS_TIMEOUT_MS = 15_000;

/** Time in which the head of a request must be complete, in milliseconds; the usual value in manifests. */
export const HEADERS_TIMEOUT_MS = 3000;

const BYTES_PER_MB = 1_048_576;
/** Memory and descriptors where nothing is set: those of the smallest machine. */
const DEFAULT_MEMORY_MB = 250;
const DEFAULT_FDS = 4096;
/** Descriptors that are reserved for files. */
const RESERVED_FDS = 200;
/** Share of the other descriptors that clients may use; the rest is for connections to other nodes and to workers. */
const CLIENT_FDS_SHARE = 0.75;
const MIN_CONNECTIONS = 16;
/** Share of the memory for bodies. The text and the decoded form of a body take several times its bytes while it is handled. */
const BODY_SHARE = 1 / 8;
/** Requests for each MB; a request takes up to 16 KB of headers and a few KB of objects. */
const REQUESTS_PER_MB = 8;
/** Steps for each MB; one takes some 500 bytes while it is decoded and sent. The longest body, of 21,800 steps, still fits on the smallest machine. */
const STEPS_PER_MB = 100;
/** Work units for each MB; one takes some 350 bytes on a keeper, so that they take up to a seventh of its memory. */
const HELD_WORK_PER_MB = 400;

/** Derives the limits from the memory and the descriptors of the machine. */
export const defaultClientLimits = ({memoryMb = DEFAULT_MEMORY_MB, maxFds = DEFAULT_FDS}: {memoryMb?: number; maxFds?: number} = {}): ClientLimits => ({
	bodyBytes: Math.floor(memoryMb * BYTES_PER_MB * BODY_SHARE),
	requests: Math.floor(memoryMb * REQUESTS_PER_MB),
	connections: Math.max(MIN_CONNECTIONS, Math.floor((maxFds - RESERVED_FDS) * CLIENT_FDS_SHARE)),
	steps: Math.floor(memoryMb * STEPS_PER_MB),
	heldWork: Math.floor(memoryMb * HELD_WORK_PER_MB),
});
