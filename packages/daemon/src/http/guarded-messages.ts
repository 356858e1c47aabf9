/**
Requests that pass a body on without a stream, and requests and responses that cost nothing on a connection that is already destroyed.

A stream makes an object and several ticks of each chunk, however small it is, which keeps a process busy for seconds where a body comes in
chunks of one byte.

Node parses the rest of a read of 64 KB after the connection was destroyed, and keeps each request and response that it finds until the
socket is closed, which is after all other sockets were read. Thousands of requests of each connection would fill the heap meanwhile.
*/
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';

class DeadRequest extends IncomingMessage {
	override push(): boolean {
		return true;
	}

	override destroy(): this {
		return this;
	}

	/** Called by Node's parser for each head; an object that is used for all of them must not collect their fields. */
	_addHeaderLines(): void {
		// Drops the fields.
	}
}

class DeadResponse extends ServerResponse {
	override on(): this {
		return this;
	}

	override assignSocket(): void {
		// The socket is destroyed.
	}

	override destroy(): this {
		return this;
	}
}

const deadRequest = new DeadRequest(new Socket());
const deadResponse = new DeadResponse(deadRequest);

/** Whether a request arrived on a destroyed connection. */
export const isDead = (req: IncomingMessage): boolean => req === deadRequest;

/** Receives a body. */
export type BodySink = {
	/** Returns false if no more may be read from the socket until it is resumed. */
	add(chunk: Uint8Array): boolean;
	end(): void;
};

/** Receives the end of a request without a body. */
export const noBody: BodySink = {add: () => true, end: () => undefined};

/** Request of a guarded server. */
export class GuardedRequest extends IncomingMessage {
	sink: BodySink | undefined;

	constructor(socket: Socket) {
		super(socket);
		if (socket.destroyed) {
			// Node keeps what the constructor returns.
			// eslint-disable-next-line no-constructor-return
			return deadRequest as unknown as this;
		}
	}

	/** Called by Node's parser for each chunk, and with null at the end. */
	override push(chunk: Uint8Array | null, encoding?: BufferEncoding): boolean {
		if (!this.sink) {
			return super.push(chunk, encoding);
		}

		if (chunk !== null) {
			return this.sink.add(chunk);
		}

		this.sink.end();
		return true;
	}

	/** Called by Node after the answer, to read what is left of the request. Nothing is left of one that was received whole. */
	_dump(): void {
		if (!this.sink || !this.complete) {
			(IncomingMessage.prototype as unknown as {_dump(): void})._dump.call(this);
		}
	}
}

/** Response of a guarded server. */
export class GuardedResponse<Request extends IncomingMessage = IncomingMessage> extends ServerResponse<Request> {
	constructor(...args: ConstructorParameters<typeof ServerResponse<Request>>) {
		super(...args);
		if (isDead(args[0])) {
			// eslint-disable-next-line no-constructor-return
			return deadResponse as unknown as this;
		}
	}
}
