/** Test runner reporter: writes one JSON line for each failed test, and one at the end of the run. */
import path from 'node:path';
import process from 'node:process';

/** Event of the test runner. */
type TestEvent = {
	type: string;
	data: {name?: string; file?: string; details?: {type?: string; error?: {failureType?: string}}};
};

/** One line of the report; `file` is the source file. */
export type ReportLine = {type: 'failed'; file: string; name: string} | {type: 'end'; passed: number};

/** Source file of a compiled test. */
const sourceOf = (file: string): string => path.relative(process.cwd(), file).replaceAll(path.sep, '/').replace('tests/lib/', 'tests/').replace(/\.js$/u, '.ts');

/** Yields the report lines of a run. */
export default async function * failedTests(events: AsyncIterable<TestEvent>): AsyncGenerator<string> {
	let passed = 0;
	const line = (content: ReportLine): string => `${JSON.stringify(content)}\n`;
	for await (const {type, data} of events) {
		const isSuite = data?.details?.type === 'suite';
		if (type === 'test:pass' && !isSuite) {
			passed += 1;
		}

		// Suites that fail only because of their tests are skipped; one that fails by itself is reported, as no test stands for it.
		if (type === 'test:fail' && data.details?.error?.failureType !== 'subtestsFailed') {
			yield line({type: 'failed', file: sourceOf(data.file ?? data.name ?? ''), name: data.name ?? ''});
		}
	}

	yield line({type: 'end', passed});
}
