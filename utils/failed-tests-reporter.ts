/** Reporter of the test runner: one JSON line for each test that failed, and one at the end of the run. */
import path from 'node:path';
import process from 'node:process';

/** What the runner tells of one test. */
type TestEvent = {
	type: string;
	data: {name?: string; file?: string; details?: {type?: string; error?: {failureType?: string}}};
};

/** One line of the report; `file` is the source file. */
export type ReportLine = {type: 'failed'; file: string; name: string} | {type: 'end'; passed: number};

/** Source file of a compiled test. */
const sourceOf = (file: string): string => path.relative(process.cwd(), file).replaceAll(path.sep, '/').replace('tests/lib/', 'tests/').replace(/\.js$/u, '.ts');

/** Reports a run. */
export default async function * failedTests(events: AsyncIterable<TestEvent>): AsyncGenerator<string> {
	let passed = 0;
	const line = (content: ReportLine): string => `${JSON.stringify(content)}\n`;
	for await (const {type, data} of events) {
		const isSuite = data?.details?.type === 'suite';
		if (type === 'test:pass' && !isSuite) {
			passed += 1;
		}

		// A suite that fails by its tests adds nothing; one that fails by itself has no test to name.
		if (type === 'test:fail' && data.details?.error?.failureType !== 'subtestsFailed') {
			yield line({type: 'failed', file: sourceOf(data.file ?? data.name ?? ''), name: data.name ?? ''});
		}
	}

	yield line({type: 'end', passed});
}
