import type {ResponseHead} from './response-head.js';

/** Keeps requests away from brittle endpoints that have no room: those that crash when they have to turn too many away. */
export type BrittleEndpoints = {
	/** Takes in the head of a response of the endpoint with this id, also of a request that it did not run. */
	readonly noteResponse: (endpoint: string, head: ResponseHead) => void;
};
