/** Tracing with OpenTelemetry: a span for each hop, appended to a file. */
import {createWriteStream} from 'node:fs';
import {
	context, trace, SpanKind, SpanStatusCode, type Attributes, type Context, type Span, type Tracer,
} from '@opentelemetry/api';
import {W3CTraceContextPropagator} from '@opentelemetry/core';
import {
	BasicTracerProvider, BatchSpanProcessor, type ReadableSpan, type SpanExporter,
} from '@opentelemetry/sdk-trace-base';
import type {HopSpan, Tracing} from './tracing.js';

const toMicros = ([seconds, nanos]: [number, number]): number => (seconds * 1e6) + Math.round(nanos / 1e3);

/** Appends finished spans to a file as one JSON object per line, so that no collector is needed to read them. */
const createFileExporter = (file: string): SpanExporter => {
	const stream = createWriteStream(file, {flags: 'a'});
	const describe = (span: ReadableSpan): string => JSON.stringify({
		traceId: span.spanContext().traceId,
		spanId: span.spanContext().spanId,
		parentSpanId: span.parentSpanContext?.spanId,
		name: span.name,
		startUs: toMicros(span.startTime),
		durationUs: toMicros(span.duration),
		attributes: span.attributes,
	});
	return {
		export(spans, done) {
			stream.write(`${spans.map(span => describe(span)).join('\n')}\n`, error => {
				done(error ? {code: 1, error} : {code: 0});
			});
		},
		async shutdown() {
			await new Promise<void>(resolve => {
				stream.end(() => {
					resolve();
				});
			});
		},
	};
};

const propagator = new W3CTraceContextPropagator();
const setter = {
	set(carrier: Record<string, string>, key: string, value: string) {
		carrier[key] = value;
	},
};
const getter = {
	keys: (carrier: Record<string, unknown>) => Object.keys(carrier),
	get: (carrier: Record<string, unknown>, key: string) => carrier[key] as string | string[] | undefined,
};

const createHop = (tracer: Tracer, parent: Context, name: string, attributes: Attributes): HopSpan => {
	const span: Span = tracer.startSpan(name, {kind: SpanKind.CLIENT, attributes}, parent);
	return {
		fields() {
			const carrier: Record<string, string> = {};
			propagator.inject(trace.setSpan(parent, span), carrier, setter);
			return carrier;
		},
		end(extra = {}) {
			span.setAttributes(extra);
			span.end();
		},
	};
};

/** Creates the tracing of a process, which appends finished spans to the file. */
export const createFileTracing = (node: string, file: string): Tracing => {
	const processors = [new BatchSpanProcessor(createFileExporter(file))];
	const provider = new BasicTracerProvider({spanProcessors: processors});
	const tracer = provider.getTracer('bronzebend');
	return {
		startRequest(headers, attributes) {
			const parent = propagator.extract(context.active(), headers, getter);
			const span = tracer.startSpan('entry', {kind: SpanKind.SERVER, attributes: {...attributes, node}}, parent);
			const own = trace.setSpan(parent, span);
			return {
				traceId: span.spanContext().traceId,
				child: (name, extra = {}) => createHop(tracer, own, name, extra),
				end(extra, failed) {
					span.setAttributes(extra);
					if (failed) {
						span.setStatus({code: SpanStatusCode.ERROR});
					}

					span.end();
				},
			};
		},
		async stop() {
			await provider.shutdown();
		},
	};
};

