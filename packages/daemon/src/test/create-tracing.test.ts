/** Guards against a planned stop that ends with an error, since the last spans have nowhere to go. */
import test from 'ava';
import type {DaemonSettings} from '../daemon-settings.js';
import {createTracing} from '../lib/process/create-tracing.js';

for (const spans of [{kind: 'file', path: '/dev/full'}, {kind: 'otlp', url: 'http://127.0.0.1:1/v1/traces'}] as const) {
	test(`a stop fails since spans cannot be written any more: ${spans.kind}`, async t => {
		const tracing = createTracing({host: 'host-1', hall: 'hall-a', telemetry: {spans}} as DaemonSettings);
		tracing.tracer.startSpan('request').end();
		await t.notThrowsAsync(tracing.close());
	});
}
