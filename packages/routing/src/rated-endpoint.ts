import type {RouteChoice} from './route-choice.js';

/** An endpoint as one policy rates it; the least cost wins. The reason is put into words only for the one that is chosen. */
export type RatedEndpoint = Omit<RouteChoice, 'reason'> & {
	readonly cost: number;
	readonly reason: () => string;
};
