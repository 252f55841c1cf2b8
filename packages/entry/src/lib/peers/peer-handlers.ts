import type {SuspicionsRequest, SuspicionsReply} from '@deckwheel/poison';
import type {LoanReply} from '../lending/loan-reply.js';
import type {LoanRequest} from '../lending/loan-request.js';
import type {LoadSharing} from '../load-sharing/load-sharing.js';
import type {EndpointLimits} from '../request-limits/endpoint-limits.js';
import type {StreamOrigins} from '../stream-origins/stream-origins.js';
import type {TunnelServer} from '../tunnels/tunnel-server.js';
import type {ChangeRegistry} from '../store-changes/change-registry.js';
import type {ChangeReply} from '../store-changes/change-reply.js';

/** The handlers of peers' requests, one for each type of message. `from` and `to` are names of holders. */
export type PeerHandlers = {
	/** Replies to a peer that asks for a loan of rights. */
	readonly lend: (to: string, request: LoanRequest) => Promise<LoanReply>;
	/** Takes in rights that a peer hands back; `total` is all tokens that the peer ever gave to this host of this budget. */
	readonly takeBack: (from: string, budget: string, total: number) => void;
	/** Replies to a peer that asks whether a topic of the store changed after the revision `after`; the reply may be held for `holdMs`. */
	readonly answerChanges: (topic: string, after: number, holdMs: number) => Promise<ChangeReply>;
	/** Replies to a peer that requests the changes of a topic after a revision, or from the base that it sends. */
	readonly answerPatch: ChangeRegistry['answerPatch'];
	/** Replies to a peer of the hall `hall` that reports requests suspected of crashing endpoints. */
	readonly answerSuspicions: (hall: string, request: SuspicionsRequest) => SuspicionsReply;
	/** Replies to a peer that asks for a permit for a request to an endpoint. */
	readonly answerPermit: EndpointLimits['answerPermit'];
	/** Takes in the limits of endpoints that a peer reports. */
	readonly answerLimits: EndpointLimits['answerLimits'];
	/** Replies to a peer that reports its load to this host as a load leader. */
	readonly answerLoad: LoadSharing['answerLoad'];
	/** Takes in where streams began that a peer tells of, and replies with what it asks for. */
	readonly answerOrigins: StreamOrigins['answerOrigins'];
	/** Replies to a peer that asks for a connection to an endpoint. */
	readonly answerTunnel: TunnelServer['answerTunnel'];
	/** Replies to a peer that asks which endpoints this host reaches. */
	readonly answerReach: TunnelServer['answerReach'];
	/** Replies to a peer that asks whether an endpoint ended a connection that the peer had through this host. */
	readonly answerTunnelEnd: TunnelServer['answerTunnelEnd'];
};
