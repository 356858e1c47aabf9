/** The replicated state machine: aggregates driven by the commands in the log. */
import {createAssignments, type AssignCommand, type Assignment} from './assignments.js';
import {
	createClaims, type ClaimCommand, type ClaimOutcome, type ClaimsSnapshot, type SettleCommand,
} from './claims.js';
import {
	createDataCentreEvacuations, type DataCentreEvacuation, type DataCentreEvacuationCommand, type DataCentreEvacuationOutcome,
} from './data-centre-evacuations.js';
import {createGrants, type Grant, type GrantsCommand} from './grants.js';
import {createPlacements, type Placement, type PlacementCommand} from './placements.js';
import {
	createPublications, type PublicationsSnapshot, type PublishCommand, type PublishOutcome, type WithdrawKeyCommand,
} from './publications.js';

/** Limit of a team without a declared one, in units of running work. */
export const UNLIMITED_RUNNING = 1_000_000;

/** A command in the log. */
export type ControlCommand =
	| PublishCommand
	| WithdrawKeyCommand
	| ClaimCommand
	| SettleCommand
	| AssignCommand
	| GrantsCommand
	| PlacementCommand
	| DataCentreEvacuationCommand;

/** Result of applying a command. */
export type ControlOutcome =
	| {type: 'published'; outcome: PublishOutcome}
	| {type: 'claimed'; outcome: ClaimOutcome}
	| {type: 'evacuation'; outcome: DataCentreEvacuationOutcome}
	| {type: 'applied'; changed: boolean};

/** Serializable content of the whole state machine. */
export type ControlSnapshot = {
	publications: PublicationsSnapshot;
	claims: ClaimsSnapshot;
	assignments: Assignment[];
	grants: Grant[];
	placements: Placement[];
	/** Absent in snapshots of earlier versions, and while no data centre is evacuated. */
	evacuations?: DataCentreEvacuation[];
};

/** The replicated state machine. */
export type ControlState = ReturnType<typeof createControlState>;

/** Creates the state machine, empty or from a snapshot. */
export const createControlState = (snapshot?: ControlSnapshot) => {
	const publications = createPublications(snapshot?.publications);
	const claims = createClaims(snapshot?.claims);
	const assignments = createAssignments(snapshot?.assignments);
	const grants = createGrants(snapshot?.grants);
	const placements = createPlacements(snapshot?.placements);
	const evacuations = createDataCentreEvacuations(snapshot?.evacuations);
	let limits = new Map<string, number>();

	const updateLimits = (): void => {
		limits = new Map(publications.catalogue().list('limit').map(limit => [limit.team, limit.running]));
	};

	updateLimits();
	const limitOf = (team: string): number => limits.get(team) ?? UNLIMITED_RUNNING;
	const epochOf = (pool: string): number => assignments.find(pool)?.epoch ?? 0;

	/** Places newly declared instances in their declared pool and removes instances that are no longer declared. */
	const syncPlacements = (): void => {
		const catalogue = publications.catalogue();
		for (const {name, pool} of catalogue.list('instance')) {
			placements.apply({type: 'place', instance: name, pool});
		}

		for (const {instance} of placements.list()) {
			if (!catalogue.has('instance', instance)) {
				placements.apply({type: 'remove', instance});
			}
		}
	};

	/** Data centres in which instances are declared. */
	const dataCentres = (): ReadonlySet<string> => new Set(publications.catalogue().list('instance').map(instance => instance.dataCentre));

	return {
		publications,
		claims,
		assignments,
		grants,
		placements,
		evacuations,
		dataCentres,
		limitOf,

		/** Applies one committed command. Deterministic: the same commands in the same order give the same state on every node. */
		apply(command: ControlCommand): ControlOutcome {
			switch (command.type) {
				case 'publish': {
					const before = publications.version();
					const outcome = publications.publish(command);
					if (publications.version() !== before) {
						updateLimits();
						syncPlacements();
					}

					return {type: 'published', outcome};
				}

				case 'withdraw-key': {
					return {type: 'published', outcome: publications.withdrawKey(command)};
				}

				case 'claim': {
					return {type: 'claimed', outcome: claims.claim(command)};
				}

				case 'settle': {
					claims.settle(command);
					return {type: 'applied', changed: true};
				}

				case 'assign': {
					return {type: 'applied', changed: assignments.assign(command)};
				}

				case 'grants': {
					grants.apply(command, {limitOf, epochOf});
					return {type: 'applied', changed: true};
				}

				case 'place':
				case 'remove':
				case 'start-work':
				case 'advance-work':
				case 'cancel-work': {
					return {type: 'applied', changed: placements.apply(command)};
				}

				case 'evacuate':
				case 'end-evacuation': {
					return {type: 'evacuation', outcome: evacuations.apply(command, dataCentres())};
				}
			}
		},

		snapshot: (): ControlSnapshot => ({
			publications: publications.snapshot(),
			claims: claims.snapshot(),
			assignments: assignments.snapshot(),
			grants: grants.snapshot(),
			placements: placements.snapshot(),
			...(evacuations.names().size > 0 && {evacuations: evacuations.snapshot()}),
		}),
	};
};
