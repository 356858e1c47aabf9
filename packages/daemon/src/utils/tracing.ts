/** Tracing: a span for each hop, with W3C trace context. */
import type {Attributes} from '@opentelemetry/api';

/** Tracing of one process. */
export type Tracing = {
	/** Starts the span of a request, as a child of the caller's span if the headers carry one. */
	startRequest(headers: Record<string, unknown>, attributes: Attributes): RequestTrace;
	stop(): Promise<void>;
};

/** The spans of one request. */
export type RequestTrace = {
	traceId: string;
	/** Starts a child span of the request's span. */
	child(name: string, attributes?: Attributes): HopSpan;
	end(attributes: Attributes, failed: boolean): void;
};

/** The span of one hop. */
export type HopSpan = {
	/** Returns the header fields that pass this span's context to the next hop. */
	fields(): Record<string, string>;
	end(attributes?: Attributes): void;
};

const ignore = (): void => undefined;

/** Passes the caller's trace context on and records no spans. */
const createPassThrough = (): Tracing => ({
	startRequest(headers) {
		const traceparent = typeof headers.traceparent === 'string' ? headers.traceparent : undefined;
		const fields: Record<string, string> = traceparent === undefined ? {} : {traceparent};
		return {
			traceId: traceparent?.split('-')[1] ?? '',
			child: () => ({fields: () => fields, end: ignore}),
			end: ignore,
		};
	},
	async stop() {
		// There is nothing to close.
	},
});

/** Creates the tracing of a process. The tracing library is loaded only if spans are recorded, to save memory. */
export const createTracing = async (node: string, traces: {file: string} | undefined): Promise<Tracing> => {
	if (!traces) {
		return createPassThrough();
	}

	const {createFileTracing} = await import('./file-tracing.js');
	return createFileTracing(node, traces.file);
};
