import {appendFileSync} from 'node:fs';
import {ExportResultCode, W3CTraceContextPropagator} from '@opentelemetry/core';
import {context, propagation} from '@opentelemetry/api';
import {AsyncLocalStorageContextManager} from '@opentelemetry/context-async-hooks';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {
	BasicTracerProvider, BatchSpanProcessor, ConsoleSpanExporter, SimpleSpanProcessor, type ReadableSpan, type SpanExporter, type SpanProcessor,
} from '@opentelemetry/sdk-trace-base';
import type {DaemonSettings} from '../../daemon-settings.js';
import type {Tracing} from './tracing.js';

const describeSpan = (span: ReadableSpan): string => JSON.stringify({
	trace: span.spanContext().traceId,
	span: span.spanContext().spanId,
	parent: span.parentSpanContext?.spanId,
	name: span.name,
	host: span.resource.attributes['host.name'],
	ms: (span.duration[0] * 1000) + (span.duration[1] / 1e6),
	attributes: span.attributes,
});

const fileExporter = (path: string): SpanExporter => ({
	export(spans, done) {
		appendFileSync(path, spans.map(span => `${describeSpan(span)}\n`).join(''));
		done({code: ExportResultCode.SUCCESS});
	},
	async shutdown() {
		// Every export was written through.
	},
});

const processorsFor = (spans: DaemonSettings['telemetry']['spans']): SpanProcessor[] => {
	switch (spans.kind) {
		case 'none': {
			return [];
		}

		case 'console': {
			return [new SimpleSpanProcessor(new ConsoleSpanExporter())];
		}

		case 'file': {
			return [new BatchSpanProcessor(fileExporter(spans.path))];
		}

		case 'otlp': {
			return [new BatchSpanProcessor(new OTLPTraceExporter({url: spans.url}))];
		}
	}
};

/** Sets up tracing: one span for each hop, in W3C trace context across processes. */
export const createTracing = (settings: DaemonSettings): Tracing => {
	const provider = new BasicTracerProvider({
		resource: resourceFromAttributes({'service.name': 'deckwheeld', 'host.name': settings.host, 'deckwheel.hall': settings.hall}),
		spanProcessors: processorsFor(settings.telemetry.spans),
	});
	context.setGlobalContextManager(new AsyncLocalStorageContextManager().enable());
	propagation.setGlobalPropagator(new W3CTraceContextPropagator());
	return {
		tracer: provider.getTracer('deckwheel'),
		async close() {
			try {
				await provider.shutdown();
			} catch {
				// Spans are best effort: a planned stop goes on without the last ones.
			}
		},
	};
};
