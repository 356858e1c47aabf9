/** Spans for each hop, with W3C trace context. */
import type {Attributes} from '@opentelemetry/api';

/** Spans of one process. */
export type Tracing = {
	/** Starts the span of a request, below the caller's trace where there is one. */
	startRequest(headers: Record<string, unknown>, attributes: Attributes): RequestTrace;
	stop(): Promise<void>;
};

/** The spans of one request. */
export type RequestTrace = {
	traceId: string;
	/** Starts a span below the request's. */
	child(name: string, attributes?: Attributes): HopSpan;
	end(attributes: Attributes, failed: boolean): void;
};

/** The span of one hop. */
export type HopSpan = {
	/** Fields that carry this span to the next hop. */
	fields(): Record<string, string>;
	end(attributes?: Attributes): void;
};

const ignore = (): void => undefined;

/** Passes the caller's trace context on without spans of its own. */
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
		// Nothing was opened.
	},
});

/** Creates the spans of a process. The tracing library is loaded only where spans are kept, for its memory. */
export const createTracing = async (node: string, traces: {file: string} | undefined): Promise<Tracing> => {
	if (!traces) {
		return createPassThrough();
	}

	const {createFileTracing} = await import('./file-tracing.js');
	return createFileTracing(node, traces.file);
};
