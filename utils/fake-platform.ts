/** Fake platform: carries out each work ID once, can drop answers, and lists the works carried out. */
import http from 'node:http';
import type {AddressInfo} from 'node:net';

/** One order as received. */
export type ReceivedPlatformOrder = {workId: string; instance: string; action: {type: string; pool?: string}};

/** Behaviour of a fake platform. */
export type FakePlatformOptions = {
	/** Duration of a work, in milliseconds. */
	workMs: number;
	/** Carries out a work; called once for each work ID. */
	onWork(order: ReceivedPlatformOrder): void;
	/** Drops every n-th answer; 0 drops none. */
	loseEvery: number;
};

/** A running fake platform. */
export type FakePlatform = Awaited<ReturnType<typeof startFakePlatform>>;

/** Starts a fake platform on a free loopback port. */
export const startFakePlatform = async ({workMs, onWork, loseEvery}: FakePlatformOptions) => {
	const startedAtMs = new Map<string, number>();
	let answers = 0;

	const server = http.createServer((req, res) => {
		let text = '';
		req.on('data', chunk => {
			text += String(chunk);
		});
		req.on('end', () => {
			const workId = decodeURIComponent((req.url ?? '').split('/').at(-1) ?? '');
			const nowMs = performance.now();
			if (!startedAtMs.has(workId)) {
				startedAtMs.set(workId, nowMs);
				onWork({workId, ...JSON.parse(text) as Omit<ReceivedPlatformOrder, 'workId'>});
			}

			answers += 1;
			if (loseEvery > 0 && answers % loseEvery === 0) {
				res.destroy();
				return;
			}

			res.setHeader('content-type', 'application/json');
			res.end(JSON.stringify({state: nowMs - startedAtMs.get(workId)! >= workMs ? 'done' : 'accepted'}));
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});

	return {
		url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
		works: (): string[] => [...startedAtMs.keys()],

		async stop(): Promise<void> {
			server.closeAllConnections();
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
};
