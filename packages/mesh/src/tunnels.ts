import type {Socket} from 'node:net';

/** Connections that one host opens and another one uses as if it had opened them itself. They go over the port of the links. */
export type Tunnels = {
	/**
	Offers an open connection of this host to a peer, which takes it over with `open`. The connection is closed when nobody does within a second.

	@returns The ticket for the peer, which works once. It is to be sent over a link, so that only a host gets it.
	*/
	readonly offer: (target: Socket) => string;
	/** Takes over a connection that the peer at `address`, `ip:port`, offered; `undefined` if that fails or takes longer than `timeoutMs`. */
	readonly open: (address: string, ticket: string, timeoutMs: number) => Promise<Socket | undefined>;
	/** The number of connections of this host that peers use now. */
	readonly served: () => number;
	/**
	Whether the connection that a peer took over by this ticket ended in order, and the peer got all of it. Only then did whoever is at its other end
	send all that it wanted to. Waits a moment for a connection that is still open. Known for some seconds; false for all that is not known.
	*/
	readonly hasEnded: (ticket: string) => Promise<boolean>;
	/** The number of connections that ended in order a moment ago, so that peers are about to ask `hasEnded`. */
	readonly recentlyEnded: () => number;
};
