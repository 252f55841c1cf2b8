import type {LostRun} from './lost-run.js';
import type {SuspicionsRequest} from './suspicions-request.js';
import type {SuspicionsReply} from './suspicions-reply.js';

/** Finds the requests that end the endpoints that run them, together with the other hosts. */
export type PoisonDetector = {
	readonly noteLostRun: (run: LostRun) => void;
	/** Notes that an endpoint answered a request whole, and so lived through it. */
	readonly noteAnsweredRun: (fingerprint: () => string) => void;
	/** Until when a request is sent to no endpoint, in monotonic ms; `undefined` when it may be sent. */
	readonly blockedUntil: (fingerprint: () => string) => number | undefined;
	/** Takes in what a peer of a hall tells, and answers with what this host knows beyond it. */
	readonly answer: (hall: string, question: SuspicionsRequest) => SuspicionsReply;
	/** Asks peers for what they know, once there are any. */
	readonly notePeerList: () => void;
	readonly close: () => void;
};
