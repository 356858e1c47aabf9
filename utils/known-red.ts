/**
`node utils/lib/known-red.js LIST REPORT`: checks a test run against the list of known failures.

The run passes if it finished with at least one passed test and every failed test is on the list. The listed
tests are printed with their results.
*/
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import type {ReportLine} from './failed-tests-reporter.js';

/** A test, by its source file and its name. */
export type TestName = {file: string; name: string};

/** Result of the check of a run, with the lines to print. */
export type CheckResult = {passes: boolean; lines: string[]};

const ENTRY = /^- test: (tests\/\S+\.spec\.ts), "(.+)"; command: /gmu;

/** Tests on a list; its other entries are simulated days, which a test run does not cover. */
export const listedTests = (list: string): TestName[] => [...list.matchAll(ENTRY)].map(([, file, name]) => ({file: file!, name: name!}));

const isSame = (left: TestName, right: TestName): boolean => left.file === right.file && left.name === right.name;

const formatTest = ({file, name}: TestName): string => `${file}, "${name}"`;

/** Checks the report of a run, which has one JSON object a line. */
export const checkRun = (list: string, report: string): CheckResult => {
	const listed = listedTests(list);
	const lines = report.split('\n').filter(line => line !== '').map(line => JSON.parse(line) as ReportLine);
	const failed = lines.filter(line => line.type === 'failed');
	const end = lines.find(line => line.type === 'end');
	const unlisted = failed.filter(test => !listed.some(entry => isSame(entry, test)));
	return {
		passes: end !== undefined && end.passed > 0 && unlisted.length === 0,
		lines: [
			...(end ? [] : ['The test run did not finish.']),
			...unlisted.map(test => `Failed: ${formatTest(test)}`),
			...listed.map(test => `Known red, ${failed.some(other => isSame(other, test)) ? 'failed and passed over' : 'did not fail this time'}: ${formatTest(test)}`),
		],
	};
};

if (process.argv[1] === fileURLToPath(import.meta.url)) {
	const [list, report] = process.argv.slice(2).map(file => readFileSync(file, 'utf8'));
	const {passes, lines} = checkRun(list!, report!);
	for (const line of lines) {
		process.stdout.write(`${line}\n`);
	}

	process.exitCode = passes ? 0 : 1;
}
