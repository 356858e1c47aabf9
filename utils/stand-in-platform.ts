/** A stand-in for the platform: carries out each work once, may lose answers, tells what it did. */
import http from 'node:http';
import type {AddressInfo} from 'node:net';

/** One order as it came in. */
export type PlatformOrderSeen = {workId: string; instance: string; action: {type: string; pool?: string}};

/** How a stand-in behaves. */
export type StandInPlatformOptions = {
	/** Time that a work takes, in milliseconds. */
	workMs: number;
	/** Carries a work out; called once for each work ID. */
	onWork(order: PlatformOrderSeen): void;
	/** Loses every n-th answer; 0 loses none. */
	loseEvery: number;
};

/** A running stand-in. */
export type StandInPlatform = Awaited<ReturnType<typeof startStandInPlatform>>;

/** Starts a stand-in on a free loopback port. */
export const startStandInPlatform = async ({workMs, onWork, loseEvery}: StandInPlatformOptions) => {
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
				onWork({workId, ...JSON.parse(text) as Omit<PlatformOrderSeen, 'workId'>});
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
