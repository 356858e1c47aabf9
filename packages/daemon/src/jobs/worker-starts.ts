/** The starts that a session orders on one life of a worker, and what their outcomes say about the runs. */
import {
	MAX_CALL_DELAY_MS, type EndedRun, type EndProof, type OrderResult, type RunStart, type WorkerTrack,
} from '@bronzebend/core';
import type {WorkerSessionOptions} from './worker-session-options.js';

/** Creates the starts of one session. */
export const createWorkerStarts = ({life, store, port, fence, clock, log, recordEnds, onStartAccepted, onRunSeen, onStartFailed, track, mayAct, timed, onOtherLife, ensurePolling}: WorkerSessionOptions & {
	track: WorkerTrack;
	/** False while the session must give no orders. */
	mayAct(): boolean;
	/** Counts a call and measures its time. */
	timed<Result extends {type: string}>(order: string, call: Promise<Result>): Promise<Result>;
	/** Called when another life answered a start. */
	onOtherLife(proof: EndProof): void;
	/** Makes the session poll the worker, to find out about a doubtful start. */
	ensurePolling(): void;
}) => {
	/** Starts of unknown outcome, and when they were sent, in milliseconds. */
	let unanswered: Array<{unit: string; attempt: number; sentMs: number}> = [];

	const forgetOld = (): void => {
		unanswered = unanswered.filter(({sentMs}) => clock.monotonicMs() - sentMs <= MAX_CALL_DELAY_MS);
	};

	/** Records a start that certainly had no effect as lost, so that the work unit is placed again. */
	const giveUp = async (start: RunStart, proof: EndProof): Promise<void> => {
		const over: EndedRun[] = [{
			unit: start.unit, attempt: start.attempt, how: 'lost', checkpoint: '',
		}];
		if (await recordEnds(life.life, over, proof)) {
			track.recorded(over, track.ackSeq());
		} else {
			track.doubtful(start.unit, start.attempt, clock.monotonicMs());
		}
	};

	const onResult = (start: RunStart, result: OrderResult, sentMs: number): void => {
		switch (result.type) {
			case 'done': {
				track.confirmed(start.unit, start.attempt, clock.monotonicMs());
				onStartAccepted(life.life);
				onRunSeen(start.unit);
				return;
			}

			case 'rejected': {
				onStartFailed(start, result.reason);
				void giveUp(start, {type: 'start-rejected', reason: result.reason, relay: result.relay});
				return;
			}

			case 'unsent': {
				if (!result.isCarrierLost) {
					onStartFailed(start, 'unsent');
				}

				void giveUp(start, {type: 'start-unsent', cause: result.cause, relay: result.relay});
				return;
			}

			case 'gone': {
				onOtherLife({
					type: 'other-life', call: 'start', answer: result.answer, relay: result.relay,
				});
				return;
			}

			case 'unknown': {
				log.warn('Outcome of a start is unknown.', {
					unit: start.unit, attempt: start.attempt, worker: life.id, cause: result.cause,
				});
				track.doubtful(start.unit, start.attempt, clock.monotonicMs());
				forgetOld();
				unanswered.push({unit: start.unit, attempt: start.attempt, sentMs});
				if (!result.isCarrierLost) {
					onStartFailed(start, 'no-answer');
				}

				ensurePolling();
			}
		}
	};

	return {
		/** Starts that may still be under way, even if their runs were freed: a worker's next life knows nothing of the stops that this one confirmed. */
		underWay(): ReadonlyArray<{unit: string; attempt: number}> {
			forgetOld();
			return unanswered;
		},

		/** Sends the order to start a recorded run that the track knows. */
		async send(start: RunStart, ticket: string | undefined): Promise<void> {
			const found = store.find(start.unit);
			const sentMs = clock.monotonicMs();
			if (!found || !mayAct()) {
				// The start is not sent, so a later stop finds that it never began.
				track.doubtful(start.unit, start.attempt, clock.monotonicMs());
				return;
			}

			const isEvacuated = (): boolean => store.isEvacuated(life.zone);
			if (isEvacuated()) {
				await giveUp(start, {type: 'start-unsent', cause: 'the data centre is evacuated'});
				return;
			}

			const expiresMs = track.leaseExpiry(sentMs);
			if (expiresMs === undefined) {
				onStartFailed(start, 'clock-unknown');
				await giveUp(start, {type: 'start-unsent', cause: 'the clock of the worker is unknown'});
				return;
			}

			log.debug('Start ordered.', {unit: start.unit, attempt: start.attempt, worker: life.id});
			const result = await timed('start', port.start({
				unit: start.unit, attempt: start.attempt, spec: found.job.order.spec, expiresMs, fence, checkpoint: found.unit.checkpoint, ticket,
			}, () => !isEvacuated()));
			track.leaseCallEnded(expiresMs, result.type !== 'unsent');
			onResult(start, result, sentMs);
		},
	};
};
