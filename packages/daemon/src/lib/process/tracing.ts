import type {Tracer} from '@opentelemetry/api';

/** Where spans go. */
export type Tracing = {
	readonly tracer: Tracer;
	readonly close: () => Promise<void>;
};
