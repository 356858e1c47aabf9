/** Starts a process: creates and connects the components that its roles need. */
import {type Buffer} from 'node:buffer';
import process from 'node:process';
import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {createRandom, systemClock, type Clock} from '@bronzebend/core';
import {createPeerNetwork, type NodeAddress, type PeerMessage} from '@bronzebend/wire';
import {createDispatchHost} from './dispatch/dispatch-host.js';
import {createBackendClients} from './entry/backend-clients.js';
import {createEntryServer, type EntryServer} from './entry/entry-server.js';
import {createTicketClient} from './entry/ticket-client.js';
import {createClientGuard} from './http/client-guard.js';
import {defaultClientLimits} from './http/client-limits.js';
import {createKeeperHost, type KeeperHost} from './keeper/keeper-host.js';
import {createNoPlatform, createPlatformClient} from './leader/platform-client.js';
import {createNodeAgent, type NodeAgent} from './node/node-agent.js';
import {createOperatorsServer, MAX_CALL_BYTES} from './operators/operators-server.js';
import {readSecret, roles, type Settings} from './settings.js';
import {createLogs, type LogFactory} from './utils/log.js';
import {createMetrics} from './utils/metrics.js';
import {createRecorder} from './utils/recorder.js';
import {createTracing} from './utils/tracing.js';

/** Time that load balancers get to notice that this process is not ready, in milliseconds. */
const UNREADY_MS = 500;
/** Time that other nodes get to take over leadership and pools from this one, in milliseconds. */
const HANDOVER_MS = 1000;

/** Options beside the settings, for tests and embedding. `onFatal` replaces the exit of the process. */
export type ServeOptions = {clock?: Clock; logs?: LogFactory; seed?: number; onFatal?(error: unknown): void};

/** A running process. */
export type RunningNode = Awaited<ReturnType<typeof serve>>;

const readTls = (files: {keyFile: string; certFile: string} | undefined): {key: Buffer; cert: Buffer} | undefined => files && {key: readFileSync(files.keyFile), cert: readFileSync(files.certFile)};

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

/** Starts a process with the given settings. */
export const serve = async (settings: Settings, options: ServeOptions = {}) => {
	const {node} = settings;
	const clock = options.clock ?? systemClock;
	const logs = options.logs ?? createLogs(settings.log, node);
	const log = logs('node');
	const secret = readSecret(settings.clusterSecretFile);
	const operatorKey = readSecret(settings.operatorKeyFile);
	const metrics = createMetrics();
	const limits = {...defaultClientLimits(), bodyBytes: 2 * MAX_CALL_BYTES};
	const guard = createClientGuard({
		clock,
		log: logs('clients'),
		// Two of the longest calls of operators, which are the longest bodies that are kept.
		limits: () => limits,
		onGivenUp(server, reason) {
			metrics.givenUp.inc({server, reason});
		},
	});
	const tracing = await createTracing(node, settings.traces);
	const isEntry = settings.roles.includes(roles.entry);
	const keeperAddresses = new Map(settings.keepers.map(keeper => [keeper.node, {host: keeper.host, port: keeper.port}]));
	const lateBound: {agent?: NodeAgent} = {};
	let keeper: KeeperHost | undefined;
	let entry: EntryServer | undefined;
	let stopping = false;

	const onFatal = (error: unknown): void => {
		log.error('Fatal error; the process cannot continue.', {reason: String(error)});
		if (options.onFatal) {
			options.onFatal(error);
			return;
		}

		process.exitCode = 70;
		// Nothing may be sent after a disk failure, so the process exits without the usual shutdown sequence.
		process.exit();
	};

	const onMessage = (from: string, message: PeerMessage): void => {
		if (message.type === 'dispatch') {
			dispatchHost?.receive(from, message.pool, message.epoch, message.request);
			return;
		}

		if (message.type === 'dispatch-answer') {
			tickets?.receive(message.pool, message.epoch, message.answer);
			return;
		}

		if (lateBound.agent?.receive(from, message) !== true) {
			keeper?.receive(from, message);
		}
	};

	const peersTls = readTls(settings.peersTls);
	const network = await createPeerNetwork({
		node,
		host: settings.peers.host,
		port: settings.peers.port,
		advertise: settings.peers.advertise ?? settings.peers.host,
		secret,
		tls: peersTls && {...peersTls, ca: readFileSync(settings.peersTls!.caFile)},
		clock,
		locate: name => keeperAddresses.get(name) ?? lateBound.agent?.view.addressOf(name) ?? lateBound.agent?.toldAddressOf(name),
		onMessage,
		onFault(what, peer) {
			logs('peers').warn('Rejected a message or connection of a peer.', {what, peer});
		},
	});
	const send = (to: string, message: PeerMessage): void => {
		network.send(to, message);
	};

	const address = (): NodeAddress => ({
		node, host: settings.peers.advertise ?? settings.peers.host, port: network.port(), dataCentre: settings.dataCentre, region: settings.region,
	});

	const agent = createNodeAgent({
		address,
		run: randomUUID(),
		isEntry,
		keepers: settings.keepers.map(item => item.node),
		clock,
		log: logs('agent'),
		send,
		dispatchReports: () => dispatchHost?.reports() ?? [],
		onOrders(orders, sentAtMs) {
			dispatchHost?.applyOrders(orders, sentAtMs);
		},
		onChange() {
			metrics.version.set(agent.view.version());
			dispatchHost?.onViewChange(node);
			tickets?.onViewChange();
			entry?.onViewChange();
		},
	});
	lateBound.agent = agent;
	const recorder = settings.recording && createRecorder({...settings.recording, node});
	const dispatchHost = isEntry
		? createDispatchHost({
			view: agent.view, clock, log: logs('dispatch'), send, record: recorder, onPromise: agent.sendHeartbeatNow,
		})
		: undefined;
	const clients = createBackendClients(() => clock.monotonicMs());
	const tickets = isEntry
		? createTicketClient({
			node, view: agent.view, nowMs: () => clock.monotonicMs(), send, openConnections: pool => clients.openOf(pool),
		})
		: undefined;

	if (settings.roles.includes(roles.keeper)) {
		keeper = await createKeeperHost({
			node,
			folder: settings.dataFolder!,
			keepers: settings.keepers.map(item => item.node),
			clock,
			random: createRandom(options.seed ?? Math.floor(clock.wallMs()) + network.port()),
			log: logs('keeper'),
			platform: settings.platform
				? createPlatformClient({url: settings.platform.url, key: settings.platform.keyFile === undefined ? undefined : readSecret(settings.platform.keyFile)})
				: createNoPlatform(),
			send,
			locate: network.locate,
			onFatal,
		});
	}

	agent.start();
	if (tickets && settings.callers) {
		entry = await createEntryServer({
			host: settings.callers.host,
			port: settings.callers.port,
			tls: readTls(settings.callersTls),
			agent,
			tickets,
			clients,
			clock,
			log: logs('entry'),
			guard,
			metrics,
			tracing,
		});
	}

	const isReady = (): boolean => !stopping && agent.view.isFresh(clock.monotonicMs());

	const readMetrics = async (): Promise<{type: string; text: string}> => {
		for (const {pool, teams} of dispatchHost?.usage() ?? []) {
			for (const {team, running, share, cap} of teams) {
				metrics.running.set({pool, team}, running);
				metrics.share.set({pool, team}, share);
				metrics.granted.set({pool, team}, cap);
			}
		}

		metrics.evacuatedDataCentres.set(agent.view.evacuations().length);
		metrics.evacuatedRequests.reset();
		for (const {dataCentre, running} of dispatchHost?.evacuatedUsage() ?? []) {
			metrics.evacuatedRequests.inc({data_centre: dataCentre}, running);
		}

		metrics.controlBytes.set({direction: 'sent'}, network.stats.bytesSent);
		metrics.controlBytes.set({direction: 'received'}, network.stats.bytesReceived);
		return {type: metrics.registry.contentType, text: await metrics.registry.metrics()};
	};

	const operators = settings.operators && await createOperatorsServer({
		host: settings.operators.host,
		port: settings.operators.port,
		tls: readTls(settings.operatorsTls),
		operatorKey,
		agent,
		log: logs('operators'),
		guard,
		isReady,
		readMetrics,
	});
	log.info('Started.', {callers: entry?.port(), peers: network.port(), operators: operators?.port()});

	/** Stops all components at once, without draining. */
	const stopNow = async (): Promise<void> => {
		stopping = true;
		tickets?.stop();
		dispatchHost?.stop();
		agent.stop();
		await entry?.stop();
		await operators?.stop();
		guard.stop();
		await keeper?.stop();
		await network.close();
		await tracing.stop();
		await recorder?.stop();
	};

	return {
		node,
		agent,
		network,
		isReady,
		keeper: () => keeper,
		callersPort: (): number | undefined => entry?.port(),
		operatorsPort: (): number | undefined => operators?.port(),
		peersPort: (): number => network.port(),
		dispatching: () => dispatchHost?.usage() ?? [],
		stopNow,

		/** Shuts down gracefully: reports not ready, releases its pools, drains running requests, transfers leadership and stops. */
		async stop(): Promise<void> {
			log.info('Stopping.');
			stopping = true;
			await pause(UNREADY_MS);
			dispatchHost?.releaseAll();
			agent.drain();
			await entry?.drain(settings.drainSeconds * 1000);
			if (keeper?.isLeading()) {
				keeper.transferLeadership();
			}

			await pause(HANDOVER_MS);
			await stopNow();
			log.info('Stopped.');
		},
	};
};
