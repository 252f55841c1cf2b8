import type {Route} from '../route.js';
import type {Organisation} from '../organisation.js';
import type {Prompt} from './prompt.js';

/** What the configuration in force says of one request. */
export type Admission = {
	readonly route: Route;
	readonly organisation: Organisation | undefined;
	readonly prompt: Prompt | undefined;
	/** How long the request may be held from now, in ms: the least of the caller's patience and the route's time-out. */
	readonly timeLeftMs: number;
};
