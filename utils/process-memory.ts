/** Memory and descriptors of a process, and the bytes that wait unread in its connections, from `/proc`. */
import {readdirSync, readFileSync} from 'node:fs';

const KB_PER_MB = 1024;
const BYTES_PER_MB = 1_048_576;

/** Resident memory of a process, in MB. */
export const residentMbOf = (pid: number): number => Number(/VmRSS:\s+(\d+)/u.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0) / KB_PER_MB;

/** Number of open descriptors of a process. */
export const descriptorsOf = (pid: number): number => readdirSync(`/proc/${pid}/fd`).length;

/** Bytes that have arrived for an IPv4 address and have not been read, in MB, over all its ports. */
export const unreadMbOf = (host: string): number => {
	const local = host.split('.').reverse().map(part => Number(part).toString(16).padStart(2, '0')).join('').toUpperCase();
	const rows = readFileSync('/proc/net/tcp', 'utf8').split('\n').slice(1).map(line => line.trim().split(/\s+/u));
	const LISTENING = '0A';
	return rows
		.filter(row => row[1]?.startsWith(`${local}:`) && row[3] !== LISTENING)
		.reduce((sum, row) => sum + Number.parseInt(row[4]!.split(':')[1]!, 16), 0) / BYTES_PER_MB;
};
