/** `npm run measure [-- SECTION…]`: runs the given sections, or all, and writes their figures as JSON and as a table. */
import {
	existsSync, readFileSync, writeFileSync, mkdirSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {measureCapacity} from './measure/capacity.js';
import {measureDispatch, measureOverload} from './measure/dispatch.js';
import {measureFailover} from './measure/failover.js';
import {measureLimits} from './measure/limits.js';
import {measurePath} from './measure/path.js';
import {measureSlopes} from './measure/slopes.js';
import {measureState} from './measure/state.js';
import {renderTable, type Figure} from './measure/table.js';

const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
const folder = path.join(root, 'docs', 'measurements');
const jsonFile = path.join(folder, 'latest.json');

const sections: Record<string, () => Promise<Figure[]>> = {
	path: measurePath,
	state: measureState,
	dispatch: measureDispatch,
	overload: measureOverload,
	limits: measureLimits,
	failover: measureFailover,
	capacity: measureCapacity,
	slopes: measureSlopes,
};

const requested = process.argv.slice(2);
const unknown = requested.filter(name => !(name in sections));
if (unknown.length > 0) {
	process.stderr.write(`Unknown section: ${unknown.join(', ')}. Available sections: ${Object.keys(sections).join(', ')}.\n`);
	process.exit(2);
}

const names = requested.length > 0 ? requested : Object.keys(sections);
const earlier = existsSync(jsonFile) ? JSON.parse(readFileSync(jsonFile, 'utf8')) as Figure[] : [];
const figures: Figure[] = [];
for (const name of names) {
	process.stderr.write(`measuring ${name} …\n`);
	figures.push(...await sections[name]!());
}

const table = renderTable(figures, earlier);
process.stdout.write(`${table}\n`);
mkdirSync(folder, {recursive: true});
const kept = earlier.filter(figure => !names.includes(figure.section));
const all = [...kept, ...figures];
writeFileSync(jsonFile, `${JSON.stringify(all, undefined, '\t')}\n`);
writeFileSync(path.join(folder, 'latest.md'), `# Figures of the last run of each section\n\n${renderTable(all, [])}\n`);
process.exit();
