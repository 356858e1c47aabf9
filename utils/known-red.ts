/**
`node utils/lib/known-red.js LIST REPORT`: judges a test run by the list of known failures.

The run passes where it came to its end and every test that failed is on the list. The listed tests are
printed with what became of them.
*/
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import type {ReportLine} from './failed-tests-reporter.js';

/** A test, by its source file and its name. */
export type TestName = {file: string; name: string};

/** What a run amounts to. */
export type Verdict = {passes: boolean; lines: string[]};

const ENTRY = /^- test: (tests\/\S+\.spec\.ts), "([^"]+)"/gmu;

/** Tests that a list names; its other entries are plays of the bench, which no test run covers. */
export const listedTests = (list: string): TestName[] => [...list.matchAll(ENTRY)].map(([, file, name]) => ({file: file!, name: name!}));

const isSame = (left: TestName, right: TestName): boolean => left.file === right.file && left.name === right.name;

const show = ({file, name}: TestName): string => `${file}, "${name}"`;

/** Judges what a run reported, one JSON line each. */
export const judgeRun = (list: string, report: string): Verdict => {
	const listed = listedTests(list);
	const lines = report.split('\n').filter(line => line !== '').map(line => JSON.parse(line) as ReportLine);
	const failed = lines.filter(line => line.type === 'failed');
	const end = lines.find(line => line.type === 'end');
	const unlisted = failed.filter(test => !listed.some(entry => isSame(entry, test)));
	return {
		passes: end !== undefined && end.passed > 0 && unlisted.length === 0,
		lines: [
			...(end ? [] : ['The test run did not come to its end.']),
			...unlisted.map(test => `Failed: ${show(test)}`),
			...listed.map(test => `Known red, ${failed.some(other => isSame(other, test)) ? 'failed and passed over' : 'did not fail this time'}: ${show(test)}`),
		],
	};
};

if (process.argv[1] === fileURLToPath(import.meta.url)) {
	const [list, report] = process.argv.slice(2).map(file => readFileSync(file, 'utf8'));
	const {passes, lines} = judgeRun(list!, report!);
	for (const line of lines) {
		process.stdout.write(`${line}\n`);
	}

	process.exitCode = passes ? 0 : 1;
}
