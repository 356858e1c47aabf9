/**
Client of the platform's HTTP interface. Each work has an ID, so that an order that is sent again is
carried out only once.

`PUT /v1/works/{workId}` with `{instance, action}` orders the work; `GET` on that path returns its state.
*/
import type {PlatformOrder, PlatformWorkState} from '@bronzebend/core';
import {request} from 'undici';
import {z} from 'zod';

/** Time limit of one request to the platform, in milliseconds. */
const REQUEST_TIMEOUT_MS = 2000;

const responseSchema = z.object({state: z.enum(['accepted', 'done'])});

/** The operations of the platform that the leader uses. */
export type Platform = {
	/** Orders a work, or returns the state of one that is already ordered. Never rejects; a failed request gives `unknown`. */
	order(order: PlatformOrder): Promise<PlatformWorkState>;
};

/** Creates a client of the platform's HTTP interface. */
export const createPlatformClient = ({url, key}: {url: string; key: string | undefined}): Platform => ({
	async order({workId, instance, action}) {
		try {
			const response = await request(new URL(`/v1/works/${encodeURIComponent(workId)}`, url), {
				method: 'PUT',
				headers: {'content-type': 'application/json', ...(key === undefined ? {} : {authorization: `Bearer ${key}`})},
				body: JSON.stringify({instance, action}),
				signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
			});
			const parsed = responseSchema.safeParse(await response.body.json());
			return parsed.success ? parsed.data.state : 'unknown';
		} catch {
			// The request or its response was lost. The order is sent again at the next planning step.
			return 'unknown';
		}
	},
});

/** Stand-in for deployments without a platform: moves count as done, since they need no action of it; reboots wait. */
export const createNoPlatform = (): Platform => ({
	order: async ({action}) => (action.type === 'reassign' ? 'done' : 'unknown'),
});
