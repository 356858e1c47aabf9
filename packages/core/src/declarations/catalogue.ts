/** Sets of declarations, indexed by kind and name, and deltas between them. */
import {canonicalJson, sha256Hex} from '../utils/canonical-json.js';
import type {Declaration, DeclarationOf, Kind} from './kinds.js';

/** Identifies one object in a set, as `kind/name`. */
export type ObjectId = `${Kind}/${string}`;

/** Returns the object ID of a declaration. */
export const objectId = (declaration: {kind: Kind; name: string}): ObjectId => `${declaration.kind}/${declaration.name}`;

/** Read access to a set of declarations. */
export type Catalogue = {
	readonly objects: ReadonlyMap<ObjectId, Declaration>;
	find<K extends Kind>(kind: K, name: string): DeclarationOf<K> | undefined;
	has(kind: Kind, name: string): boolean;
	list<K extends Kind>(kind: K): ReadonlyArray<DeclarationOf<K>>;
	/** Digest of the content; equal sets have equal digests. */
	digest(): string;
};

/** Indexes declarations; a later declaration replaces an earlier one with the same ID. */
export const createCatalogue = (declarations: Iterable<Declaration>): Catalogue => {
	const objects = new Map<ObjectId, Declaration>();
	const byKind = new Map<Kind, Declaration[]>();
	for (const declaration of declarations) {
		objects.set(objectId(declaration), declaration);
	}

	for (const declaration of objects.values()) {
		const list = byKind.get(declaration.kind) ?? [];
		list.push(declaration);
		byKind.set(declaration.kind, list);
	}

	return {
		objects,
		find: <K extends Kind>(kind: K, name: string) => objects.get(`${kind}/${name}`) as DeclarationOf<K> | undefined,
		has: (kind, name) => objects.has(`${kind}/${name}`),
		list: <K extends Kind>(kind: K) => (byKind.get(kind) ?? []) as Array<DeclarationOf<K>>,
		digest() {
			const ids = [...objects.keys()].sort();
			return sha256Hex(canonicalJson(ids.map(id => objects.get(id))));
		},
	};
};

/** Changes that turn one set into another. */
export type CatalogueDelta = {
	upserts: Declaration[];
	removals: ObjectId[];
};

/** Finds the smallest delta from `before` to `after`. */
export const diffCatalogues = (before: Catalogue, after: Catalogue): CatalogueDelta => ({
	upserts: [...after.objects].filter(([id, declaration]) => {
		const old = before.objects.get(id);
		return old === undefined || canonicalJson(old) !== canonicalJson(declaration);
	}).map(([, declaration]) => declaration),
	removals: [...before.objects.keys()].filter(id => !after.objects.has(id)),
});

/** Applies a delta to a set and returns the new set. */
export const applyDelta = (before: Catalogue, delta: CatalogueDelta): Catalogue => {
	const objects = new Map(before.objects);
	for (const id of delta.removals) {
		objects.delete(id);
	}

	for (const declaration of delta.upserts) {
		objects.set(objectId(declaration), declaration);
	}

	return createCatalogue(objects.values());
};
