/** Consistency checks of a whole set of declarations. Every fault is reported at once, with its location and a fix. */
import {createCatalogue, objectId, type Catalogue} from './catalogue.js';
import {declarationSchema, type Declaration, type Kind} from './kinds.js';

/** An unparsed object with the file that contains it. */
export type RawDeclaration = {file: string; value: unknown};

/** A fault found in a set. */
export type Fault = {
	/** Stable code, kebab-case. */
	code: string;
	file: string;
	/** `kind/name`, or the position in the file where the object has no name. */
	object: string;
	/** Path of the field inside the object, dot-separated; empty for the object itself. */
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

/** Returns the references of a declaration as [path, kind, name]. */
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
			report(item, samePool ? 'instance-in-two-pools' : 'duplicate-name', 'name', `${id} is also declared in ${first.file}.`, 'Remove one of the two declarations.');
		} else {
			seen.set(id, item);
		}
	}
};

const checkReferences = (located: readonly Located[], catalogue: Catalogue, report: Report): void => {
	for (const item of located) {
		for (const [path, kind, name] of referencesOf(item.declaration)) {
			if (!catalogue.has(kind, name)) {
				report(item, 'dangling-reference', path, `No ${kind} is named "${name}".`, `Declare ${kind}/${name}, or refer to a declared one.`);
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
				report(item, 'reference-cycle', path, `${objectId(item.declaration)} refers to itself through a chain of references.`, 'Remove one of the references in the cycle.');
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

	const poolsInWaves = new Set(catalogue.list('wave').flatMap(wave => wave.pools));
	for (const item of located) {
		const {declaration} = item;
		if (declaration.kind !== 'pool') {
			continue;
		}

		if (poolsInWaves.has(declaration.name) && declaration.availability.maxOut === 0) {
			report(item, 'budget-forbids-maintenance', 'availability.maxOut', 'A wave covers this pool, but its budget allows no instance to be out.', 'Raise it, or remove the pool from the wave.');
		}

		if (declaration.availability.maxOut > 0 && declaration.availability.maxOut >= declaration.capacity.instances && declaration.capacity.instances > 1) {
			report(item, 'budget-empties-pool', 'availability.maxOut', 'The budget allows all instances to be out at once.', 'Set it below capacity.instances.');
		}

		if (declaration.sparePool !== undefined && catalogue.find('pool', declaration.sparePool)?.spare === false) {
			report(item, 'not-a-spare-pool', 'sparePool', `pool/${declaration.sparePool} is not declared as spare.`, 'Set "spare": true in that pool, or refer to a spare pool.');
		}

		const assigned = members.get(declaration.name) ?? 0;
		if (!declaration.spare && declaration.sparePool === undefined && assigned < declaration.capacity.instances) {
			const message = `The pool has a capacity of ${declaration.capacity.instances} instances, but only ${assigned} are declared in it and it has no spare pool.`;
			report(item, 'capacity-unreachable', 'capacity.instances', message, 'Lower the capacity, declare more instances or set sparePool.');
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
				report(item, 'two-limits', 'team', `Team "${declaration.team}" has two limits.`, 'Remove one of them.');
			}

			limits.set(declaration.team, declaration.running);
		}

		if (declaration.kind === 'share') {
			const id = `${declaration.team} ${declaration.pool}`;
			if (shares.has(id)) {
				report(item, 'two-shares', 'team', `Team "${declaration.team}" has two shares of pool "${declaration.pool}".`, 'Remove one of them.');
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
			report(item, 'share-above-limit', 'minimum', `The minimum of the share is ${declaration.minimum} slots, but the team's limit is ${limit}.`, 'Raise the limit or lower the minimum.');
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
			const other = digests.get(declaration.sha256);
			if (other !== undefined && other !== declaration.name) {
				report(item, 'shared-secret', 'sha256', `key/${other} has the same secret.`, 'Issue a separate secret for each key.');
			}

			digests.set(declaration.sha256, declaration.name);
			if (declaration.purpose === 'submit' && declaration.team === undefined) {
				report(item, 'key-without-team', 'team', 'A submit key needs a team.', 'Set the team.');
			}

			if (declaration.purpose === 'announce' && declaration.service === undefined) {
				report(item, 'key-without-service', 'service', 'An announce key needs a service.', 'Set the service.');
			}
		}

		if (declaration.kind === 'queue') {
			const other = prefixes.get(declaration.prefix);
			if (other !== undefined && other !== declaration.name) {
				report(item, 'same-prefix', 'prefix', `queue/${other} has the same prefix.`, 'Use a different prefix for each queue.');
			}

			prefixes.set(declaration.prefix, declaration.name);
			if (declaration.defaultDeadlineMs > declaration.maxDeadlineMs) {
				report(item, 'deadline-above-maximum', 'defaultDeadlineMs', 'The default deadline is above the maximum.', 'Raise maxDeadlineMs or lower the default.');
			}
		}
	}
};

/** Result of a check: the set, or all of its faults. */
export type CheckResult =
	| {type: 'sound'; catalogue: Catalogue}
	| {type: 'faulty'; faults: Fault[]};

/** Checks a whole set of raw objects and reports every fault at once. */
export const checkDeclarations = (raw: readonly RawDeclaration[]): CheckResult => {
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
