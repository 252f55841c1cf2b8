import type {LostRun} from './lost-run.js';
import type {SuspicionsRequest} from './suspicions-request.js';
import type {SuspicionsReply} from './suspicions-reply.js';

/** Finds, together with the other hosts, the requests that crash the endpoints that run them. */
export type PoisonDetector = {
	/** Notes a run that broke off. It counts against its request if the endpoint turns out to have crashed. */
	readonly noteLostRun: (run: LostRun) => void;
	/** Notes that an endpoint responded to a request, and so did not crash while it ran the request. */
	readonly noteCompletedRun: (fingerprint: () => string) => void;
	/** When a request may be sent to endpoints again, in monotonic ms; `undefined` when it may be sent now. */
	readonly blockedUntil: (fingerprint: () => string) => number | undefined;
	/** Records the suspicions that a peer in `hall` sent, and returns what this host knows of the same requests. */
	readonly answer: (hall: string, message: SuspicionsRequest) => SuspicionsReply;
	/** Called when a peer list came: runs a round of gossip, which asks some peers for their blocked requests. */
	readonly notePeerList: () => void;
	/** Stops the gossip. */
	readonly close: () => void;
};
