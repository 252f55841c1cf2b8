import type {HostAccount} from './host-account.js';

const sum = (amounts: Iterable<number>): number => {
	let total = 0;
	for (const amount of amounts) {
		total += amount;
	}

	return total;
};

/** Tokens received from peers, less those given to them. */
export const transferredRights = ({received, given}: HostAccount): number => sum(received.values()) - sum(given.values());
