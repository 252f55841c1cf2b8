import type {EndpointLoad} from '@deckwheel/routing';
import type {TrackedRun} from './tracked-run.js';

/** Tracks the load of endpoints: this host's own, and that of other hosts by what they report. */
export type LoadTracker = {
	/** The load of an endpoint now. `endpoint` is the id of one incarnation. */
	readonly loadOf: (endpoint: string) => EndpointLoad;
	/** This host's share of the requests that are open at endpoints, over all hosts, 0 to 1; `undefined` while the load of others is not known. */
	readonly openShare: () => number | undefined;
	/**
	Notes that this host sent a request to an endpoint.

	@param promptTokens The tokens of the prompt that the endpoint probably has to prefill; 0 for a request without a prompt.
	*/
	readonly noteSent: (endpoint: string, promptTokens: number) => TrackedRun;
};
