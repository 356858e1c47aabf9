/**
The platform's interface: works by ID, so that an order that is sent again is carried out once.

`PUT /v1/works/{workId}` with `{instance, action}` orders it; `GET` on it tells its state.
*/
import type {PlatformOrder, PlatformWork} from '@bronzebend/core';
import {request} from 'undici';
import {z} from 'zod';

/** Time for one exchange with the platform, in milliseconds. */
const TIMEOUT_MS = 2000;

const answerSchema = z.object({state: z.enum(['accepted', 'done'])});

/** The platform as the leader uses it. */
export type Platform = {
	/** Orders a work, or asks how far it is; never rejects. */
	order(order: PlatformOrder): Promise<PlatformWork>;
};

/** Creates a client of the platform's HTTP interface. */
export const createPlatformClient = ({url, key}: {url: string; key: string | undefined}): Platform => ({
	async order({workId, instance, action}) {
		try {
			const response = await request(new URL(`/v1/works/${encodeURIComponent(workId)}`, url), {
				method: 'PUT',
				headers: {'content-type': 'application/json', ...(key === undefined ? {} : {authorization: `Bearer ${key}`})},
				body: JSON.stringify({instance, action}),
				signal: AbortSignal.timeout(TIMEOUT_MS),
			});
			const parsed = answerSchema.safeParse(await response.body.json());
			return parsed.success ? parsed.data.state : 'unknown';
		} catch {
			// A lost answer is no answer; the order is sent again.
			return 'unknown';
		}
	},
});

/** Stands in where no platform is configured: moves need nothing of it, reboots wait. */
export const createNoPlatform = (): Platform => ({
	order: async ({action}) => (action.type === 'reassign' ? 'done' : 'unknown'),
});
