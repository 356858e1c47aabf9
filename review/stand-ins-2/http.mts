/* eslint-disable @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-argument, @typescript-eslint/no-unsafe-return -- plain script without types */
/* eslint-disable @typescript-eslint/restrict-plus-operands -- plain script without types */
/** HTTP helpers of the stand-ins. */
import {Buffer} from 'node:buffer';
import http from 'node:http';

const parse = text => {
	try {
		return text === '' ? undefined : JSON.parse(text);
	} catch {
		return text;
	}
};

/** Sends one request on a connection of its own; the status is 0 if no response came in time. */
export const send = async ({method, address, path, body, headers = {}, timeoutMs = 3000}) => new Promise(resolve => {
	const [host, port] = address.split(':');
	const text = body === undefined ? '' : (typeof body === 'string' ? body : JSON.stringify(body));
	const sentMs = Date.now();
	const finish = result => {
		clearTimeout(timer);
		resolve({...result, tookMs: Date.now() - sentMs});
	};

	const req = http.request({
		method, host, port, path, agent: false, headers: {'content-type': 'application/json', 'content-length': String(Buffer.byteLength(text)), ...headers},
	}, res => {
		let content = '';
		res.setEncoding('utf8');
		res.on('data', chunk => {
			content += chunk;
		});
		res.on('end', () => {
			finish({status: res.statusCode, body: parse(content)});
		});
		res.on('error', error => {
			finish({status: 0, cause: error.message});
		});
	});
	const timer = setTimeout(() => {
		req.destroy(new Error('no response in time'));
	}, timeoutMs);
	req.on('error', error => {
		finish({status: 0, cause: error.message});
	});
	req.end(text);
});

/** Starts a server; `handle` gets the method, path, headers and body, and returns a status and a body, or undefined to leave the call unanswered. */
export const listen = async (address, handle) => {
	const [host, port] = address.split(':');
	const server = http.createServer({keepAliveTimeout: 60_000}, (req, res) => {
		let text = '';
		req.setEncoding('utf8');
		req.on('data', chunk => {
			text += chunk;
		});
		req.on('error', () => undefined);
		res.on('error', () => undefined);
		req.on('end', async () => {
			const answer = await handle({
				method: req.method, path: req.url, headers: req.headers, body: parse(text),
			});
			if (answer) {
				res.writeHead(answer.status, {'content-type': 'application/json'}).end(JSON.stringify(answer.body ?? {}));
			}
		});
	});
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(Number(port), host, resolve);
	});
	return {
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
};

export const pause = async milliseconds => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});
