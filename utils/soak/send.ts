/** Sends HTTP requests of which any may fail. */
import {Buffer} from 'node:buffer';
import http from 'node:http';

/** Answer to a request; the status is 0 if none came, and `cause` says why. */
export type SendResult = {status: number; body?: unknown; cause?: string};

const parse = (text: string): unknown => {
	try {
		return text === '' ? undefined : JSON.parse(text);
	} catch {
		return text;
	}
};

/** Sends one request on a connection of its own. */
export const send = async ({method, address, path, body, headers = {}, timeoutMs = 3000}: {method: string; address: string; path: string; body?: unknown; headers?: Record<string, string>; timeoutMs?: number}): Promise<SendResult> => new Promise(resolve => {
	const [host, port] = address.split(':');
	const text = body === undefined ? '' : JSON.stringify(body);
	const req = http.request({
		method, host, port: Number(port), path, agent: false, headers: {'content-type': 'application/json', 'content-length': String(Buffer.byteLength(text)), ...headers},
	}, res => {
		let content = '';
		res.setEncoding('utf8');
		res.on('data', (chunk: string) => {
			content += chunk;
		});
		res.on('end', () => {
			finish({status: res.statusCode ?? 0, body: parse(content)});
		});
		res.on('error', fail);
	});
	const finish = (result: SendResult): void => {
		clearTimeout(timer);
		resolve(result);
	};

	const fail = (error: Error): void => {
		finish({status: 0, cause: error.message});
	};

	const timer = setTimeout(() => {
		req.destroy(new Error('no response in time'));
	}, timeoutMs);
	req.on('error', fail);
	req.end(text);
});
