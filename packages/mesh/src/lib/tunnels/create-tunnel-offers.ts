import {randomBytes} from 'node:crypto';
import type {Socket} from 'node:net';
import type {TunnelOffers} from './tunnel-offers.js';

/** For how long a connection waits for its peer, in ms: the ticket's way to the peer and a new connection back. */
const ticketValidMs = 1000;

/** The length of a ticket in bytes: too many possible tickets for one to be guessed. */
const ticketBytes = 24;

type Offer = {readonly target: Socket; readonly expiry: NodeJS.Timeout};

/** Creates an empty set of offers. A ticket works once: whoever presents it a second time gets nothing. */
export const createTunnelOffers = (): TunnelOffers => {
	const offers = new Map<string, Offer>();

	const remove = (ticket: string): Socket | undefined => {
		const offer = offers.get(ticket);
		offers.delete(ticket);
		clearTimeout(offer?.expiry);
		return offer?.target;
	};

	return {
		add(target) {
			const ticket = randomBytes(ticketBytes).toString('hex');
			const expiry = setTimeout(() => {
				remove(ticket)?.destroy();
			}, ticketValidMs);
			offers.set(ticket, {target, expiry});
			return ticket;
		},
		take(ticket) {
			const target = remove(ticket);
			return target?.destroyed ? undefined : target;
		},
		close() {
			for (const ticket of offers.keys()) {
				remove(ticket)?.destroy();
			}
		},
	};
};
