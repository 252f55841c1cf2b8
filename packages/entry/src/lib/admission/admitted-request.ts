import type {Organisation} from '../../config/organisation.js';
import type {Route} from '../../config/route.js';
import type {Prompt} from './prompt.js';

/** What the configuration in force and the request's head say of a request that is admitted. */
export type AdmittedRequest = {
	readonly route: Route;
	/** The organisation whose API key the request has; `undefined` where none is known and the route needs none. */
	readonly organisation: Organisation | undefined;
	/** The size of the prompt; `undefined` where the request has no token count. */
	readonly prompt: Prompt | undefined;
	/** The id of the attempt that brought the caller the first event of the stream that this request takes up; `undefined` for other requests. */
	readonly resumes?: string;
	/** Whether the caller has events of that stream, which the request goes on with. */
	readonly isContinued?: boolean;
	/** The earlier of when the caller stops waiting and when the timeout of the route ends, in monotonic ms. */
	readonly deadline: number;
};
