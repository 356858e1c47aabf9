/* eslint-disable @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-argument -- plain script without types */

/** The record of one case: what was sent, answered and run. */
import {writeFileSync} from 'node:fs';
import path from 'node:path';

export const createRecord = folder => {
	const lines = [];
	const startedMs = Date.now();
	return {
		note(what, detail = {}) {
			lines.push(`${((Date.now() - startedMs) / 1000).toFixed(3)} ${what} ${JSON.stringify(detail)}`);
		},
		write() {
			writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
		},
	};
};
