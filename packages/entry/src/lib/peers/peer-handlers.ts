import type {SuspicionsRequest, SuspicionsReply} from '@deckwheel/poison';
import type {LoanReply} from '../lending/loan-reply.js';
import type {LoanRequest} from '../lending/loan-request.js';
import type {EndpointLimits} from '../request-limits/endpoint-limits.js';
import type {ChangeReply} from '../store-changes/change-reply.js';

/** Who answers which message of a peer. */
export type PeerHandlers = {
	/** Answers a peer that asks for rights. */
	readonly lend: (to: string, request: LoanRequest) => Promise<LoanReply>;
	/** Takes rights that a peer hands back; `total` is all that it ever gave. */
	readonly takeBack: (from: string, budget: string, total: number) => void;
	/** Answers a peer that asks whether something changed in the store. */
	readonly answerChanges: (topic: string, after: number, holdMs: number) => Promise<ChangeReply>;
	/** Answers a peer of a hall that tells of requests that end endpoints. */
	readonly answerSuspicions: (hall: string, question: SuspicionsRequest) => SuspicionsReply;
	/** Answers a peer that asks for a permit for one request to an endpoint. */
	readonly answerPermit: EndpointLimits['answerPermit'];
	/** Takes in what a peer tells of limits of endpoints. */
	readonly answerLimits: EndpointLimits['answerLimits'];
};
