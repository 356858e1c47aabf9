/**
Answers the calls with which operators evacuate data centres and withdraw that.

Handles operators who repeat a call to any keeper until it is acknowledged: a repeated call is
acknowledged without a commit, and a refusal never rests on what a new leader does not know yet.
*/
import type {
	Clock, JobAnswer, JobCall, JobCommand, JobOutcome, JobStore,
} from '@bronzebend/core';
import type {Log} from '../utils/log.js';
import type {KnownDataCentres} from './known-data-centres.js';

/** A call about an evacuation. */
type EvacuationCall = JobCall & {type: 'evacuate' | 'end-evacuation'};

const unchanged: JobAnswer = {type: 'evacuation', changed: false};

/** Creates the handler of one term. */
export const createEvacuationCalls = ({store, clock, log, dataCentres, commit, refused, requestPass}: {
	store: JobStore;
	clock: Clock;
	log: Log;
	dataCentres: Pick<KnownDataCentres, 'list' | 'isComplete'>;
	/** Commits a command; returns the answer for the operator if that failed. */
	commit(command: JobCommand): Promise<JobOutcome | JobAnswer>;
	refused(reason: 'group-forming' | 'workers-unknown'): JobAnswer;
	/** Requests a scheduling pass. */
	requestPass(): void;
}) => {
	const propose = async ({type, dataCentre}: EvacuationCall): Promise<JobAnswer> => {
		const startedMs = clock.monotonicMs();
		const atMs = clock.wallMs();
		const isBegin = type === 'evacuate';
		const known = dataCentres.list();
		const command: JobCommand = {type: 'end-evacuation', dataCentre, atMs};
		const outcome = await commit(isBegin ? {...command, type: 'evacuate', known} : command);
		const tookMs = Math.round(clock.monotonicMs() - startedMs);
		if (outcome.type === 'evacuation') {
			if (outcome.changed) {
				log.info(isBegin ? 'Evacuation of a data centre accepted.' : 'Evacuation of a data centre withdrawn.', {dataCentre, tookMs});
				requestPass();
			}

			return outcome;
		}

		log.warn('Evacuation call not carried out.', {
			call: type, dataCentre, outcome: outcome.type, tookMs,
		});
		if (outcome.type === 'last-data-centre') {
			return dataCentres.isComplete() ? {type: 'last-data-centre'} : refused('workers-unknown');
		}

		return outcome as JobAnswer;
	};

	return async (call: EvacuationCall): Promise<JobAnswer> => {
		const {type, dataCentre} = call;
		if (!store.isGroupWhole()) {
			return refused('group-forming');
		}

		const isInForce = store.isEvacuated(dataCentre);
		if (isInForce && type === 'evacuate') {
			return unchanged;
		}

		if (!isInForce && !dataCentres.list().includes(dataCentre)) {
			return dataCentres.isComplete() ? {type: 'unknown-data-centre'} : refused('workers-unknown');
		}

		// An evacuation that is being committed may not be in force yet, so its withdrawal is committed too.
		return propose(call);
	};
};
