/** Published versions of the configuration: compare-and-swap on the base version, idempotent resends, increasing version numbers. */
import {
	applyDelta, createCatalogue, objectId, type Catalogue, type CatalogueDelta, type ObjectId,
} from '../declarations/catalogue.js';
import type {Declaration} from '../declarations/kinds.js';

/** Number of versions whose deltas are kept, for nodes that lag behind and for `history`. */
export const KEPT_VERSIONS = 1000;

/** One accepted version. */
export type VersionRecord = {
	version: number;
	publicationId: string;
	author: string;
	atMs: number;
	delta: CatalogueDelta;
	/** Digests of secrets withdrawn by this version. */
	withdrawn: string[];
};

/** Publishes a change of the configuration. */
export type PublishCommand = {
	type: 'publish';
	publicationId: string;
	/** Version that the change is based on. */
	base: number;
	/** Digest of the whole set of declarations after the change. */
	contentDigest: string;
	delta: CatalogueDelta;
	author: string;
	atMs: number;
};

/** Withdraws a secret permanently. */
export type WithdrawKeyCommand = {type: 'withdraw-key'; publicationId: string; sha256: string; author: string; atMs: number};

/** Answer to a publication. Accepted versions are recorded by publication ID. */
export type PublishOutcome =
	| {type: 'accepted'; version: number}
	| {type: 'conflict'; current: number; winner: string; winnerAuthor: string; differs: ObjectId[]}
	| {type: 'publication-id-reused'; version: number};

type RecordedAnswer = {publicationId: string; contentDigest: string; version: number};

/** Serializable content of the aggregate. */
export type PublicationsSnapshot = {
	version: number;
	declarations: Declaration[];
	withdrawn: string[];
	history: VersionRecord[];
	answers: RecordedAnswer[];
};

/** Update that brings a node from one version to another. */
export type ViewUpdate =
	| {type: 'delta'; from: number; to: number; delta: CatalogueDelta; withdrawn: string[]}
	| {type: 'full'; to: number; declarations: Declaration[]; withdrawn: string[]};

const deltaIds = (delta: CatalogueDelta): ObjectId[] => [...delta.upserts.map(declaration => objectId(declaration)), ...delta.removals];

const mergeDeltas = (records: readonly VersionRecord[]): CatalogueDelta => {
	const upserts = new Map<ObjectId, Declaration>();
	const removals = new Set<ObjectId>();
	for (const {delta} of records) {
		for (const id of delta.removals) {
			upserts.delete(id);
			removals.add(id);
		}

		for (const declaration of delta.upserts) {
			upserts.set(objectId(declaration), declaration);
			removals.delete(objectId(declaration));
		}
	}

	return {upserts: [...upserts.values()], removals: [...removals]};
};

/** The publications aggregate. */
export type Publications = ReturnType<typeof createPublications>;

/** Creates the aggregate, empty or from a snapshot. */
export const createPublications = (snapshot?: PublicationsSnapshot) => {
	let version = snapshot?.version ?? 0;
	let catalogue: Catalogue = createCatalogue(snapshot?.declarations ?? []);
	const withdrawn = new Set(snapshot?.withdrawn);
	const history: VersionRecord[] = [...snapshot?.history ?? []];
	const answers = new Map((snapshot?.answers ?? []).map(answer => [answer.publicationId, answer]));

	const accept = (record: VersionRecord, contentDigest: string): PublishOutcome => {
		version = record.version;
		history.push(record);
		if (history.length > KEPT_VERSIONS) {
			const dropped = history.shift();
			if (dropped) {
				answers.delete(dropped.publicationId);
			}
		}

		answers.set(record.publicationId, {publicationId: record.publicationId, contentDigest, version});
		return {type: 'accepted', version};
	};

	const recordedAnswer = (publicationId: string, contentDigest: string): PublishOutcome | undefined => {
		const answer = answers.get(publicationId);
		if (!answer) {
			return undefined;
		}

		return answer.contentDigest === contentDigest
			? {type: 'accepted', version: answer.version}
			: {type: 'publication-id-reused', version: answer.version};
	};

	return {
		version: () => version,
		catalogue: () => catalogue,
		isWithdrawn: (sha256: string) => withdrawn.has(sha256),
		withdrawnDigests: () => [...withdrawn],
		history: (): readonly VersionRecord[] => history,
		recordedAnswer,

		publish(command: PublishCommand): PublishOutcome {
			const recorded = recordedAnswer(command.publicationId, command.contentDigest);
			if (recorded) {
				return recorded;
			}

			if (command.base !== version) {
				const since = history.filter(record => record.version > command.base);
				const winner = since.at(0) ?? history.at(-1);
				return {
					type: 'conflict',
					current: version,
					winner: winner?.publicationId ?? 'none',
					winnerAuthor: winner?.author ?? 'none',
					differs: deltaIds(mergeDeltas(since)),
				};
			}

			catalogue = applyDelta(catalogue, command.delta);
			return accept({
				version: version + 1, publicationId: command.publicationId, author: command.author, atMs: command.atMs, delta: command.delta, withdrawn: [],
			}, command.contentDigest);
		},

		withdrawKey(command: WithdrawKeyCommand): PublishOutcome {
			const recorded = recordedAnswer(command.publicationId, command.sha256);
			if (recorded) {
				return recorded;
			}

			withdrawn.add(command.sha256);
			return accept({
				version: version + 1, publicationId: command.publicationId, author: command.author, atMs: command.atMs, delta: {upserts: [], removals: []}, withdrawn: [command.sha256],
			}, command.sha256);
		},

		/** Update for a node at version `from`; undefined if it is current. A full set if `from` is 0, newer than the current version or no longer in the history, else a delta. */
		updateSince(from: number): ViewUpdate | undefined {
			if (from === version) {
				return undefined;
			}

			const records = history.filter(record => record.version > from);
			if (from > version || from === 0 || records.length !== version - from) {
				return {
					type: 'full', to: version, declarations: [...catalogue.objects.values()], withdrawn: [...withdrawn],
				};
			}

			return {
				type: 'delta', from, to: version, delta: mergeDeltas(records), withdrawn: records.flatMap(record => record.withdrawn),
			};
		},

		snapshot: (): PublicationsSnapshot => ({
			version,
			declarations: [...catalogue.objects.values()],
			withdrawn: [...withdrawn],
			history: [...history],
			answers: [...answers.values()],
		}),
	};
};
