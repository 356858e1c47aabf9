/* eslint-disable @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-assignment -- plain script without types */

/** A small deployment: the project's programs, stand-in executors, the machine service and an operator. */
/* eslint-disable no-await-in-loop -- steps of a case follow one another; names of the settings file */
import process from 'node:process';
import {pause, send} from './http.mjs';
import {startMachines} from './machines.mjs';
import {createProcesses} from './processes.mjs';
import {startWorker} from './worker.mjs';

const START_MS = 20_000;
/** Time after which a case ends itself as one that could not run, in milliseconds. */
const MAX_CASE_MS = 115_000;
const CAPACITY = {cpu: 16_000, 'mem-mb': 32_768, gpu: 0};

/** True if the case is to run with its disruption. */
export const isTroubled = process.env.TROUBLE !== '0';

export const EXIT = {held: 0, broken: 1, notRun: 2};

/** Ends of the script, however the case ends. */
export const runCase = async (record, run) => {
	let code = EXIT.notRun;
	const giveUp = why => {
		record.note('could not run', {cause: String(why)});
		record.write();
		process.exit(EXIT.notRun);
	};

	for (const event of ['SIGINT', 'SIGTERM', 'SIGHUP', 'uncaughtException', 'unhandledRejection']) {
		process.on(event, giveUp);
	}

	setTimeout(giveUp, MAX_CASE_MS, 'out of time');
	try {
		code = await run();
	} catch (error) {
		record.note('could not run', {cause: error.stack});
	}

	record.note('exit', {code});
	record.write();
	process.exit(code);
};

/** Starts a deployment and publishes its first manifest. */
export const startSite = async ({record, manifest, keepers, entries, workers = 4, pool = 'huvo11a', capacity = CAPACITY, machineOptions = {}, waves = new Map(), settings, rackOf = () => 'r1-1'}) => {
	const processes = await createProcesses({keepers, entries, settings});
	const runs = [];
	const onRun = event => {
		runs.push({...event, atMs: Date.now()});
		record.note('run', event);
	};

	processes.startAll();
	let lives = 0;
	const machines = Array.from({length: workers}, (_, index) => {
		const machine = {
			name: `m-${index + 1}`, pool, capacity, rack: rackOf(index), async boot() {
				lives += 1;
				return startWorker({
					id: `i-${String(lives).padStart(8, '0')}`, address: processes.workerAddress(index), service: machine.pool, machine: machine.name, rack: machine.rack, capacity, controls: processes.controls(), onRun,
				});
			},
		};
		return machine;
	});
	const service = await startMachines({
		address: processes.machinesAddress, machines, waves, onEvent(event) {
			record.note('platform', event);
		}, ...machineOptions,
	});

	/** Sends a call of the operator to the nodes in turn until one answers clearly or the time is over. */
	const operate = async (method, path, body, {forMs = 10_000, hosts = processes.core} = {}) => {
		const untilMs = Date.now() + forMs;
		let last;
		for (let turn = 0; Date.now() < untilMs; turn += 1) {
			const host = hosts[turn % hosts.length];
			last = await send({
				method, address: processes.controlOf(host), path, body, timeoutMs: 1000,
			});
			if (last.status === 200 || (last.status >= 400 && last.status < 500 && last.status !== 408 && last.status !== 429)) {
				return last;
			}

			await pause(100);
		}

		return last;
	};

	const first = await operate('POST', '/Config.Replace', manifest, {forMs: START_MS});
	record.note('first manifest', {status: first.status});
	if (first.status !== 200) {
		throw new Error('the first manifest was not accepted');
	}

	for (const machine of machines) {
		machine.worker = await machine.boot();
	}

	await pause(4000);
	return {
		processes, machines, service, runs, operate,
		/** Sends a call of a consumer. */
		async call(method, {id, key, edge = processes.edge[0], body, prefix = `/${pool}/`, host = 'pule25.example', timeoutMs = 3000}) {
			const answer = await send({
				method, address: processes.frontendOf(edge), path: `${prefix}${id}`, body, timeoutMs, headers: {host, 'x-api-key': key, 'x-deadline-ms': String(timeoutMs)},
			});
			record.note('call', {
				method, id, key, edge, status: answer.status, body: answer.body, cause: answer.cause, tookMs: answer.tookMs,
			});
			return answer;
		},
		async stop() {
			for (const machine of machines) {
				await machine.worker?.end();
			}

			service.close();
			await processes.stopAll();
		},
	};
};
