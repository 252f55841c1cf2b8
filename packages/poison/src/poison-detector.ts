import type {LostRun} from './lost-run.js';
import type {RequestSubjects} from './request-subjects.js';
import type {SuspicionsRequest} from './suspicions-request.js';
import type {SuspicionsReply} from './suspicions-reply.js';

/** Finds, together with the other hosts, the requests and the parts of prompts that crash the endpoints that run them. */
export type PoisonDetector = {
	/**
	Notes a run that broke off. It counts against its request and the parts of its prompt if the endpoint turns out to have crashed.
	Resolves with whether it has, once this host knows.
	*/
	readonly noteLostRun: (run: LostRun) => Promise<boolean>;
	/**
	Notes that an endpoint responded to a request, and so did not crash while it ran the request.

	@param isGoodEnd Whether the response was a whole success. After an error the endpoint may not have come to the parts of the prompt.
	*/
	readonly noteCompletedRun: (request: RequestSubjects, isGoodEnd: boolean) => void;
	/** Whether an endpoint crashed under the request, or under another one with one of its parts, and no run has come to a good end since. */
	readonly isSuspected: (request: RequestSubjects) => boolean;
	/** When a request may be sent to endpoints again, in monotonic ms; `undefined` when it may be sent now. */
	readonly blockedUntil: (request: RequestSubjects) => number | undefined;
	/** Notes that a request is sent to an endpoint. After a block it is a test, so that others with the same part wait for it. */
	readonly noteSent: (request: RequestSubjects) => void;
	/** Records the suspicions that a peer in `hall` sent, and returns what this host knows of the same subjects. */
	readonly answer: (hall: string, message: SuspicionsRequest) => SuspicionsReply;
	/** Called when a peer list came: runs a round of gossip, which asks some peers for their blocked subjects. */
	readonly notePeerList: () => void;
	/** Stops the gossip. */
	readonly close: () => void;
};
