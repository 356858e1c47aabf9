/** Authenticates and checks announcements of backend servers, and passes them on to the pool's dispatcher. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	ANNOUNCEMENT_LEASE_MS, keyPurposes, sha256Hex, type Announcement,
} from '@bronzebend/core';
import {z} from 'zod';
import {TOO_LARGE} from '../http/guarded-server.js';
import type {View} from '../node/view.js';
import {bearerSecret} from './http-fields.js';

/** Path for announcements on the callers' port. */
export const ANNOUNCE_PATH = '/bronzebend/v1/announce';
/** Size limit of an announcement, in bytes. */
export const MAX_ANNOUNCEMENT_BYTES = 1_048_576;

const name = z.string().min(1).max(63);

/** Schema of an announcement. */
export const announcementSchema = z.strictObject({
	service: name,
	instance: name,
	pool: name.optional().describe('Pool that the server thinks it is in; refused where it is wrong'),
	dataCentre: name.optional().describe('As declared, where it is left out'),
	rack: name.optional().describe('As declared, where it is left out'),
	address: z.url({protocol: /^https?$/}),
	slots: z.number().int().min(1).max(100_000),
	connections: z.number().int().min(1).max(100_000),
	healthy: z.boolean().default(true),
	leaving: z.boolean().default(false),
	inFlight: z.array(z.string().max(300)).max(10_000).default([]).describe('bronzebend-ticket values of requests being worked on'),
});

/** Answer to an announcement. */
export type AnnounceAnswer = {status: number; code: string; detail: string};

/** Options of the announcement handler. */
export type AnnouncementsOptions = {
	view: View;
	nowMs(): number;
	/** Sends the announcement to the pool's dispatcher. Returns false if none is known. */
	announce(pool: string, announcement: Announcement): boolean;
};

const refuse = (status: number, code: string, detail: string): AnnounceAnswer => ({status, code, detail});

/** Creates the announcement handler. */
export const createAnnouncements = ({view, nowMs, announce}: AnnouncementsOptions) => {
	const decide = (secret: string | undefined, value: unknown): AnnounceAnswer => {
		if (!view.isFresh(nowMs())) {
			return refuse(503, 'stale-view', 'This entry has lost contact with the keepers. Announce again; another entry may answer.');
		}

		const key = secret === undefined ? undefined : view.findKey(sha256Hex(secret));
		if (key?.purpose !== keyPurposes.announce) {
			return refuse(401, 'wrong-key', 'Send "authorization: Bearer KEY" with an announce key.');
		}

		const parsed = announcementSchema.safeParse(value);
		if (!parsed.success) {
			return refuse(400, 'invalid-announcement', parsed.error.issues.map(issue => `${issue.path.join('.') || '(top)'}: ${issue.message}`).join('; '));
		}

		const {pool: claimedPool, ...announcement} = parsed.data;
		if (key.service !== announcement.service) {
			return refuse(403, 'wrong-service', `The key announces service "${key.service}", not "${announcement.service}".`);
		}

		const pool = view.poolOfInstance(announcement.instance);
		if (pool === undefined) {
			return refuse(404, 'unknown-instance', `No instance is declared as "${announcement.instance}".`);
		}

		if (claimedPool !== undefined && claimedPool !== pool) {
			return refuse(409, 'wrong-pool', `The instance is in pool "${pool}", not in "${claimedPool}".`);
		}

		if (view.catalogue().find('pool', pool)?.service !== announcement.service) {
			return refuse(409, 'wrong-service', `Pool "${pool}" does not hold service "${announcement.service}".`);
		}

		const declared = view.catalogue().find('instance', announcement.instance);
		const placed = {...announcement, dataCentre: announcement.dataCentre ?? declared?.dataCentre ?? '', rack: announcement.rack ?? declared?.rack ?? ''};
		return announce(pool, placed)
			? {status: 200, code: 'announced', detail: `Announced in pool "${pool}".`}
			: refuse(503, 'no-dispatcher', 'No node dispatches the pool yet. Announce again.');
	};

	const parseBody = (body: Uint8Array | typeof TOO_LARGE): unknown => {
		try {
			return body === TOO_LARGE ? undefined : JSON.parse(new TextDecoder().decode(body));
		} catch {
			return undefined;
		}
	};

	return {
		handle(req: IncomingMessage, res: ServerResponse, body: Uint8Array | typeof TOO_LARGE): void {
			const answer = req.method === 'POST'
				? decide(bearerSecret(req.headers), parseBody(body))
				: refuse(405, 'method-not-allowed', 'Announce with POST.');
			res.writeHead(answer.status, {'content-type': 'application/json', 'cache-control': 'no-store'});
			res.end(JSON.stringify({code: answer.code, detail: answer.detail, leaseMs: ANNOUNCEMENT_LEASE_MS}));
		},
	};
};
