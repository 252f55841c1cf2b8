import type {EndpointChoice} from '../endpoints/endpoint-choice.js';

/** An endpoint with the score of a routing policy. `reason` is a function, so that only the chosen endpoint's text is built. */
export type ScoredEndpoint = Omit<EndpointChoice, 'reason'> & {
	/** The lowest cost is chosen. Its unit is the policy's own: ms, or a number of requests. */
	readonly cost: number;
	readonly reason: () => string;
};
