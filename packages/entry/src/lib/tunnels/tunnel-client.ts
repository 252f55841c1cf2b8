import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {TunnelOutcome} from './tunnel-outcome.js';
import type {TunnelTicket} from './tunnel-ticket.js';

/** Asks peers for connections to endpoints that this host does not reach by its own links. */
export type TunnelClient = {
	/** Asks peers, one after the other, to open a connection to an endpoint. */
	readonly open: (endpoint: ListedEndpoint) => Promise<TunnelOutcome>;
	/** Returns the ids of those endpoints that some peer reaches now. */
	readonly reachedByPeers: (endpoints: readonly string[]) => Promise<ReadonlySet<string>>;
	/**
	Asks the peer of a tunnel that has ended whether the endpoint with this id ended it: only then is a response whole that ends with its connection.
	False where the peer says no or is not heard of in time: whatever ends a peer ends its tunnels too.
	*/
	readonly confirmEnd: (tunnel: TunnelTicket, endpoint: string) => Promise<boolean>;
};
