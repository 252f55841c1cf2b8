import type {Socket} from 'node:net';

/** Open connections of this host that wait for a peer to take them over. */
export type TunnelOffers = {
	/** Keeps an open connection for the peer that presents the returned ticket, and closes it when none does in time. */
	readonly add: (target: Socket) => string;
	/** Takes the connection that a ticket stands for; `undefined` for a ticket that is unknown, used or expired, or whose connection closed. */
	readonly take: (ticket: string) => Socket | undefined;
	/** Closes all connections that wait. */
	readonly close: () => void;
};
