import type {EndpointChoice} from '../endpoints/endpoint-choice.js';

/** An endpoint as one policy rates it; the least cost wins. The reason is put into words only for the one that is chosen. */
export type ScoredEndpoint = Omit<EndpointChoice, 'reason'> & {
	readonly cost: number;
	readonly reason: () => string;
};
