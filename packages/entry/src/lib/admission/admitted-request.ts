import type {Organisation} from '../../config/organisation.js';
import type {Route} from '../../config/route.js';
import type {Prompt} from './prompt.js';

/** A request that the configuration in force allows, and what it says of it. */
export type AdmittedRequest = {
	readonly route: Route;
	readonly organisation: Organisation | undefined;
	readonly prompt: Prompt | undefined;
	/** Monotonic ms: the earlier of when the caller stops waiting and the end of the route's time. */
	readonly deadline: number;
};
