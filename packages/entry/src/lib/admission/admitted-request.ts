import type {Route} from '../../config/route.js';
import type {Organisation} from '../../config/organisation.js';
import type {Prompt} from './prompt.js';

/** What the configuration in force says of one request. */
export type AdmittedRequest = {
	readonly route: Route;
	readonly organisation: Organisation | undefined;
	readonly prompt: Prompt | undefined;
	/** How long the request may be held from now, in ms: the least of what the caller still waits and the route's time-out. */
	readonly timeLeftMs: number;
};
