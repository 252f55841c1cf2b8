import {context as traceContext, propagation} from '@opentelemetry/api';

/** The W3C trace context of the active span, for the next hop. */
export const traceHeaders = (): Readonly<Record<string, string>> => {
	const headers: Record<string, string> = {};
	propagation.inject(traceContext.active(), headers);
	return headers;
};
