/** The operators' port: health checks, metrics, status page and calls. */
import {Buffer} from 'node:buffer';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import https from 'node:https';
import type {AddressInfo} from 'node:net';
import {BronzebendError, equalDigests, sha256Hex} from '@bronzebend/core';
import {encodeBytes} from '@bronzebend/replica';
import {leaderCallSchema, type LeaderCall} from '@bronzebend/wire';
import type {ClientGuard} from '../http/client-guard.js';
import {guardedServerOptions, guardServer, TOO_LARGE} from '../http/guarded-server.js';
import {CallFailedError, CallTimeoutError, type NodeAgent} from '../node/node-agent.js';
import type {ClusterStatus} from '../keeper/status.js';
import type {Log} from '../utils/log.js';
import {renderPage} from './page.js';

/** Path for calls to the leader. */
export const CALLS_PATH = '/v1/calls';
/** Size limit of a call, in bytes. */
export const MAX_CALL_BYTES = 64 * 1024 * 1024;
/** Time limit of a call to the leader, in milliseconds. */
const CALL_TIMEOUT_MS = 15_000;

/** Options of the operators' port. */
export type OperatorsServerOptions = {
	host: string;
	port: number;
	tls?: {key: Buffer; cert: Buffer};
	operatorKey: string;
	agent: NodeAgent;
	log: Log;
	guard: ClientGuard;
	isReady(): boolean;
	/** Returns the metrics in the text format, with its content type. */
	readMetrics(): Promise<{type: string; text: string}>;
};

/** The server of the operators' port of one process. */
export type OperatorsServer = Awaited<ReturnType<typeof createOperatorsServer>>;

const sendJson = (res: ServerResponse, status: number, value: unknown): void => {
	res.writeHead(status, {'content-type': 'application/json', 'cache-control': 'no-store'});
	res.end(JSON.stringify(value));
};

const sendFailure = (res: ServerResponse, status: number, error: {code: string; message: string; details?: unknown}): void => {
	sendJson(res, status, {code: error.code, message: error.message, details: error.details ?? {}});
};

const parseJson = (body: Uint8Array | typeof TOO_LARGE): unknown => {
	if (body === TOO_LARGE) {
		throw new BronzebendError('call-too-large', `The body of the call exceeds ${MAX_CALL_BYTES} bytes.`);
	}

	try {
		return JSON.parse(new TextDecoder().decode(body));
	} catch {
		throw new BronzebendError('call-no-json', 'The body of the call is not valid JSON.');
	}
};

/** Whether operators may make the call. Of the commands, only `withdraw-key` is theirs; all others are internal. */
const isOperatorsCall = (call: LeaderCall): boolean => call.type !== 'command' || call.command.type === 'withdraw-key';

/** Starts the operators' port. */
export const createOperatorsServer = async (options: OperatorsServerOptions) => {
	const {agent, log} = options;
	const keyDigest = sha256Hex(options.operatorKey);

	const isOperator = (req: IncomingMessage): boolean => {
		const bearer = /^bearer +(.+)$/i.exec(req.headers.authorization ?? '')?.[1];
		const basic = /^basic +(.+)$/i.exec(req.headers.authorization ?? '')?.[1];
		const password = basic === undefined ? undefined : Buffer.from(basic, 'base64').toString().split(':').slice(1).join(':');
		const secret = bearer ?? password;
		return secret !== undefined && equalDigests(sha256Hex(secret), keyDigest);
	};

	const call = async (body: Uint8Array | typeof TOO_LARGE, res: ServerResponse): Promise<void> => {
		const parsed = leaderCallSchema.safeParse(parseJson(body));
		if (!parsed.success || !isOperatorsCall(parsed.data)) {
			sendFailure(res, 400, {code: 'invalid-call', message: 'The call is not valid. Use the command line, or see docs/OPERATORS.md.'});
			return;
		}

		const value = await agent.call(parsed.data, {timeoutMs: CALL_TIMEOUT_MS, attemptMs: parsed.data.type === 'add-keeper' ? CALL_TIMEOUT_MS : 3000});
		if (parsed.data.type === 'backup') {
			res.writeHead(200, {'content-type': 'application/cbor'});
			res.end(encodeBytes(value));
			return;
		}

		sendJson(res, 200, value ?? {});
	};

	const page = async (res: ServerResponse): Promise<void> => {
		const status = await agent.call({type: 'status'}) as ClusterStatus;
		res.writeHead(200, {'content-type': 'text/html; charset=utf-8', 'cache-control': 'no-store'});
		res.end(renderPage(status));
	};

	const pathOf = (req: IncomingMessage): string => (req.url ?? '/').split('?', 1)[0]!;
	const isCall = (req: IncomingMessage): boolean => pathOf(req) === CALLS_PATH && req.method === 'POST';

	const route = async (req: IncomingMessage, res: ServerResponse, body: Uint8Array | typeof TOO_LARGE): Promise<void> => {
		const path = pathOf(req);
		if (path === '/healthz') {
			sendJson(res, 200, {healthy: true});
			return;
		}

		if (path === '/readyz') {
			const ready = options.isReady();
			sendJson(res, ready ? 200 : 503, {ready});
			return;
		}

		if (!isOperator(req)) {
			res.setHeader('www-authenticate', 'Basic realm="bronzebend operators"');
			sendFailure(res, 401, {code: 'wrong-operator-key', message: 'The operators\' key is missing or wrong. Send it as a Bearer token, or as the password of Basic authentication.'});
			return;
		}

		if (path === '/metrics') {
			const {type, text} = await options.readMetrics();
			res.writeHead(200, {'content-type': type});
			res.end(text);
			return;
		}

		if (isCall(req)) {
			await call(body, res);
			return;
		}

		if (path === '/') {
			await page(res);
			return;
		}

		sendFailure(res, 404, {code: 'no-such-path', message: 'No such path. Available are /, /metrics, /healthz, /readyz and POST /v1/calls.'});
	};

	const onRequest = (req: IncomingMessage, res: ServerResponse, body: Uint8Array | typeof TOO_LARGE): void => {
		route(req, res, body).catch((error: unknown) => {
			if (error instanceof CallTimeoutError) {
				sendFailure(res, 503, error);
			} else if (error instanceof CallFailedError || error instanceof BronzebendError) {
				sendFailure(res, 409, error);
			} else {
				log.error('Unexpected error while handling a call; closing the connection.', {reason: String(error)});
				res.destroy();
			}
		});
	};

	const server = options.tls ? https.createServer({...guardedServerOptions, ...options.tls}) : http.createServer(guardedServerOptions);
	guardServer(server, {
		name: 'operators',
		guard: options.guard,
		// Only operators' calls are read; the rest of any other body is dropped after its answer.
		maxBodyBytes: req => isCall(req) && isOperator(req) ? MAX_CALL_BYTES : undefined,
		handle: onRequest,
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(options.port, options.host, resolve);
	});

	return {
		port: (): number => (server.address() as AddressInfo).port,
		async stop(): Promise<void> {
			server.closeAllConnections();
			server.close();
		},
	};
};
