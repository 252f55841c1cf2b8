import type {ReachReply} from './reach-reply.js';
import type {TunnelEndReply} from './tunnel-end-reply.js';
import type {TunnelReply} from './tunnel-reply.js';

/** Opens connections to endpoints for peers that do not reach them. */
export type TunnelServer = {
	/** Opens a connection to the endpoint with this id, by this host's own links, and offers it to the peer. */
	readonly answerTunnel: (endpoint: string) => Promise<TunnelReply>;
	/** Tells which of the endpoints with these ids this host reaches by its own links. */
	readonly answerReach: (endpoints: readonly string[]) => Promise<ReachReply>;
	/** Tells whether the endpoint with this id ended the connection that a peer took over by this ticket in order, and still runs. */
	readonly answerTunnelEnd: (ticket: string, endpoint: string) => Promise<TunnelEndReply>;
};
