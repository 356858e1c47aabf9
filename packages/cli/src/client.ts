/** HTTP client for the operators' port. */
import {readFileSync} from 'node:fs';
import {BronzebendError} from '@bronzebend/core';
import {CALLS_PATH} from '@bronzebend/daemon';
import {decodeBytes} from '@bronzebend/replica';
import type {LeaderCall} from '@bronzebend/wire';

/** The server rejected a call or could not be reached, or the operators' key could not be read. */
export class ServerError extends BronzebendError {
	override readonly name = 'ServerError';
}

/** URL of the server, and path of the file with the operators' key. */
export type ClientOptions = {server: string; keyFile: string};

/** Client of one server. */
export type Client = ReturnType<typeof createClient>;

const readKey = (keyFile: string): string => {
	try {
		return readFileSync(keyFile, 'utf8').trim();
	} catch (error) {
		throw new ServerError('no-operator-key', `Cannot read the operators' key: ${(error as Error).message}. Set its path with --key-file or BRONZEBEND_KEY_FILE.`);
	}
};

/** Creates a client of an operators' port. The key is read again for each call. */
export const createClient = ({server, keyFile}: ClientOptions) => ({
	/**
	Makes a call and returns the decoded result.

	@throws {ServerError} The key could not be read, the server could not be reached, or it rejected the call.
	*/
	async call(call: LeaderCall): Promise<unknown> {
		const key = readKey(keyFile);
		let response: Response;
		try {
			response = await fetch(new URL(CALLS_PATH, server), {
				method: 'POST',
				headers: {authorization: `Bearer ${key}`, 'content-type': 'application/json'},
				body: JSON.stringify(call),
			});
		} catch (error) {
			throw new ServerError('unreachable', `Cannot reach ${server}: ${String((error as Error).cause ?? error)}. Set the URL of the server with --server or BRONZEBEND_SERVER.`);
		}

		if (response.headers.get('content-type') === 'application/cbor') {
			return decodeBytes(new Uint8Array(await response.arrayBuffer()));
		}

		const value: unknown = await response.json();
		if (!response.ok) {
			const failure = value as {code: string; message: string; details: Record<string, unknown>};
			throw new ServerError(failure.code, failure.message, failure.details);
		}

		return value;
	},
});
