/** Consistency of a whole set: every fault at once, each with its path and what to do. */
import {createCatalogue, objectId, type Catalogue} from './catalogue.js';
import {declarationSchema, type Declaration, type Kind} from './kinds.js';

/** One raw object with the file it stands in. */
export type RawDeclaration = {file: string; value: unknown};

/** One fault found in a set. */
export type Fault = {
	/** Stable code, kebab-case. */
	code: string;
	file: string;
	/** `kind/name`, or the position in the file where the object has no name. */
	object: string;
	/** Field path inside the object, dot-separated; empty for the object itself. */
	path: string;
	message: string;
	/** What the operator can do. */
	fix: string;
};

type Located = {file: string; declaration: Declaration};
type Report = (located: Located, code: string, path: string, message: string, fix: string) => void;

const describeRaw = (value: unknown): string => {
	const candidate = value as {kind?: unknown; name?: unknown} | undefined;
	return typeof candidate?.kind === 'string' && typeof candidate.name === 'string' ? `${candidate.kind}/${candidate.name}` : 'unnamed object';
};

const parseAll = (raw: readonly RawDeclaration[], faults: Fault[]): Located[] => raw.flatMap(({file, value}) => {
	const result = declarationSchema.safeParse(value);
	if (result.success) {
		return [{file, declaration: result.data}];
	}

	faults.push(...result.error.issues.map(issue => ({
		code: issue.code === 'unrecognized_keys' ? 'unknown-field' : 'invalid-field',
		file,
		object: describeRaw(value),
		path: [...issue.path, ...(issue.code === 'unrecognized_keys' ? [issue.keys.join(',')] : [])].join('.'),
		message: issue.message,
		fix: 'Correct the field; schemas/ holds the JSON Schema of every kind.',
	})));
	return [];
});

/** The references of a declaration as [path, kind, name]. */
const referencesOf = (declaration: Declaration): Array<[string, Kind, string]> => {
	const reference = (path: string, kind: Kind, name: string | undefined): Array<[string, Kind, string]> => (name === undefined ? [] : [[path, kind, name]]);
	switch (declaration.kind) {
		case 'pool': {
			return reference('sparePool', 'pool', declaration.sparePool);
		}

		case 'instance': {
			return reference('pool', 'pool', declaration.pool);
		}

		case 'workspace': {
			return reference('parent', 'workspace', declaration.parent);
		}

		case 'team': {
			return reference('workspace', 'workspace', declaration.workspace);
		}

		case 'key': {
			return reference('team', 'team', declaration.team);
		}

		case 'share': {
			return [...reference('team', 'team', declaration.team), ...reference('pool', 'pool', declaration.pool)];
		}

		case 'limit': {
			return reference('team', 'team', declaration.team);
		}

		case 'queue': {
			const {access} = declaration;
			const teams = access.type === 'open'
				? reference('access.team', 'team', access.team)
				: access.teams.flatMap((name, index) => reference(`access.teams.${index}`, 'team', name));
			return [...reference('pool', 'pool', declaration.pool), ...teams];
		}

		case 'wave': {
			return declaration.pools.flatMap((name, index) => reference(`pools.${index}`, 'pool', name));
		}

		case 'policy': {
			return [];
		}
	}
};

const checkDuplicates = (located: readonly Located[], report: Report): void => {
	const seen = new Map<string, Located>();
	for (const item of located) {
		const id = objectId(item.declaration);
		const first = seen.get(id);
		if (first) {
			const samePool = item.declaration.kind === 'instance' && first.declaration.kind === 'instance' && item.declaration.pool !== first.declaration.pool;
			report(item, samePool ? 'instance-in-two-pools' : 'duplicate-name', 'name', `${id} is declared in ${first.file} too.`, 'Keep one of the two.');
		} else {
			seen.set(id, item);
		}
	}
};

const checkReferences = (located: readonly Located[], catalogue: Catalogue, report: Report): void => {
	for (const item of located) {
		for (const [path, kind, name] of referencesOf(item.declaration)) {
			if (!catalogue.has(kind, name)) {
				report(item, 'dangling-reference', path, `No ${kind} is named "${name}".`, `Declare ${kind}/${name} or name another.`);
			}
		}
	}
};

const checkCycles = (located: readonly Located[], catalogue: Catalogue, report: Report): void => {
	const parentOf = (declaration: Declaration): Declaration | undefined => {
		if (declaration.kind === 'workspace' && declaration.parent !== undefined) {
			return catalogue.find('workspace', declaration.parent);
		}

		return declaration.kind === 'pool' && declaration.sparePool !== undefined ? catalogue.find('pool', declaration.sparePool) : undefined;
	};

	for (const item of located) {
		const visited = new Set<Declaration>();
		let current = parentOf(item.declaration);
		while (current && !visited.has(current)) {
			if (objectId(current) === objectId(item.declaration)) {
				const path = item.declaration.kind === 'pool' ? 'sparePool' : 'parent';
				report(item, 'reference-cycle', path, `${objectId(item.declaration)} refers to itself through others.`, 'Remove one reference of the cycle.');
				break;
			}

			visited.add(current);
			current = parentOf(current);
		}
	}
};

const checkPools = (located: readonly Located[], catalogue: Catalogue, report: Report): void => {
	const members = new Map<string, number>();
	for (const {pool} of catalogue.list('instance')) {
		members.set(pool, (members.get(pool) ?? 0) + 1);
	}

	const waved = new Set(catalogue.list('wave').flatMap(wave => wave.pools));
	for (const item of located) {
		const {declaration} = item;
		if (declaration.kind !== 'pool') {
			continue;
		}

		if (waved.has(declaration.name) && declaration.availability.maxOut === 0) {
			report(item, 'budget-forbids-maintenance', 'availability.maxOut', 'A wave covers this pool, but its budget lets no instance out.', 'Allow 1, or take the pool out of the wave.');
		}

		if (declaration.availability.maxOut > 0 && declaration.availability.maxOut >= declaration.capacity.instances && declaration.capacity.instances > 1) {
			report(item, 'budget-empties-pool', 'availability.maxOut', 'The budget lets every instance out at once.', 'Lower it below capacity.instances.');
		}

		if (declaration.sparePool !== undefined && catalogue.find('pool', declaration.sparePool)?.spare === false) {
			report(item, 'not-a-spare-pool', 'sparePool', `pool/${declaration.sparePool} is not declared as spare.`, 'Set "spare": true there, or name another pool.');
		}

		const assigned = members.get(declaration.name) ?? 0;
		if (!declaration.spare && declaration.sparePool === undefined && assigned < declaration.capacity.instances) {
			const message = `The pool wants ${declaration.capacity.instances} instances, has ${assigned} and no spare pool.`;
			report(item, 'capacity-unreachable', 'capacity.instances', message, 'Lower the capacity, declare instances or name a spare pool.');
		}
	}
};

const checkTeams = (located: readonly Located[], catalogue: Catalogue, report: Report): void => {
	const limits = new Map<string, number>();
	const shares = new Set<string>();
	const minimums = new Map<string, number>();
	for (const item of located) {
		const {declaration} = item;
		if (declaration.kind === 'limit') {
			if (limits.has(declaration.team)) {
				report(item, 'two-limits', 'team', `Team "${declaration.team}" has two limits.`, 'Keep one.');
			}

			limits.set(declaration.team, declaration.running);
		}

		if (declaration.kind === 'share') {
			const id = `${declaration.team} ${declaration.pool}`;
			if (shares.has(id)) {
				report(item, 'two-shares', 'team', `Team "${declaration.team}" has two shares of pool "${declaration.pool}".`, 'Keep one.');
			}

			shares.add(id);
			minimums.set(declaration.pool, (minimums.get(declaration.pool) ?? 0) + declaration.minimum);
		}
	}

	for (const item of located) {
		const {declaration} = item;
		if (declaration.kind !== 'share') {
			continue;
		}

		const limit = limits.get(declaration.team);
		if (limit !== undefined && declaration.minimum > limit) {
			report(item, 'share-above-limit', 'minimum', `The share means ${declaration.minimum} slots, but the team's limit is ${limit}.`, 'Raise the limit or lower the minimum.');
		}

		const pool = catalogue.find('pool', declaration.pool);
		const slots = pool ? pool.capacity.instances * pool.capacity.slotsPerInstance : Infinity;
		if ((minimums.get(declaration.pool) ?? 0) > slots) {
			report(item, 'shares-above-capacity', 'minimum', `The minimums of pool "${declaration.pool}" add up to more than its ${slots} slots.`, 'Lower the minimums or raise the capacity.');
		}
	}
};

const checkKeysAndQueues = (located: readonly Located[], report: Report): void => {
	const digests = new Map<string, string>();
	const prefixes = new Map<string, string>();
	for (const item of located) {
		const {declaration} = item;
		if (declaration.kind === 'key') {
			const twin = digests.get(declaration.sha256);
			if (twin !== undefined && twin !== declaration.name) {
				report(item, 'shared-secret', 'sha256', `key/${twin} has the same secret.`, 'Issue a secret of its own.');
			}

			digests.set(declaration.sha256, declaration.name);
			if (declaration.purpose === 'submit' && declaration.team === undefined) {
				report(item, 'key-without-team', 'team', 'A submit key needs a team.', 'Name the team.');
			}

			if (declaration.purpose === 'announce' && declaration.service === undefined) {
				report(item, 'key-without-service', 'service', 'An announce key needs a service.', 'Name the service.');
			}
		}

		if (declaration.kind === 'queue') {
			const twin = prefixes.get(declaration.prefix);
			if (twin !== undefined && twin !== declaration.name) {
				report(item, 'same-prefix', 'prefix', `queue/${twin} has the same prefix.`, 'Give each queue its own prefix.');
			}

			prefixes.set(declaration.prefix, declaration.name);
			if (declaration.defaultDeadlineMs > declaration.maxDeadlineMs) {
				report(item, 'deadline-above-maximum', 'defaultDeadlineMs', 'The default deadline is above the maximum.', 'Raise maxDeadlineMs or lower the default.');
			}
		}
	}
};

/** Outcome of a check: the set, or all of its faults. */
export type CheckResult =
	| {type: 'sound'; catalogue: Catalogue}
	| {type: 'faulty'; faults: Fault[]};

/** Checks a whole set of raw objects and reports every fault at once. */
export const checkSet = (raw: readonly RawDeclaration[]): CheckResult => {
	const faults: Fault[] = [];
	const located = parseAll(raw, faults);
	const catalogue = createCatalogue(located.map(item => item.declaration));
	const report: Report = ({file, declaration}, code, path, message, fix) => {
		faults.push({
			code, file, object: objectId(declaration), path, message, fix,
		});
	};

	checkDuplicates(located, report);
	checkReferences(located, catalogue, report);
	checkCycles(located, catalogue, report);
	checkPools(located, catalogue, report);
	checkTeams(located, catalogue, report);
	checkKeysAndQueues(located, report);
	return faults.length > 0 ? {type: 'faulty', faults} : {type: 'sound', catalogue};
};
