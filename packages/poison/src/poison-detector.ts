import type {LostRun} from './lost-run.js';
import type {SuspicionsQuestion} from './suspicions-question.js';
import type {SuspicionsReply} from './suspicions-reply.js';

/** Finds the requests that end the endpoints that run them, together with the other hosts. */
export type PoisonDetector = {
	readonly runLost: (run: LostRun) => void;
	/** Notes that an endpoint answered a request whole, and so lived through it. */
	readonly runAnswered: (fingerprint: () => string) => void;
	/** Until when a request is sent to no endpoint, in monotonic ms; `undefined` when it may be sent. */
	readonly blockedUntil: (fingerprint: () => string) => number | undefined;
	/** Takes in what a peer of a hall tells, and answers with what this host knows beyond it. */
	readonly answer: (hall: string, question: SuspicionsQuestion) => SuspicionsReply;
	/** Asks peers for what they know, once there are any. */
	readonly peersListed: () => void;
	readonly close: () => void;
};
