import type {RouteChoice} from './route-choice.js';

/** An endpoint as one policy rates it; the least cost wins. */
export type RatedEndpoint = RouteChoice & {readonly cost: number};
