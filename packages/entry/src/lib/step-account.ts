import type {AccountEvent} from './account-event.js';
import {availableRights} from './available-rights.js';
import type {HostAccount} from './host-account.js';

/** A lender keeps at least this part of what it has, so that rights do not swing between hosts. */
const lentShare = 0.5;

const give = (account: HostAccount, to: string, tokens: number): HostAccount => {
	const lent = Math.max(0, Math.min(Math.ceil(tokens), Math.floor(availableRights(account) * lentShare)));
	return lent === 0 ? account : {...account, given: new Map(account.given).set(to, (account.given.get(to) ?? 0) + lent)};
};

/** Moves an account on by one event. Pure; rights leave one account before they can enter another. */
export const stepAccount = (account: HostAccount, event: AccountEvent): HostAccount => {
	switch (event.type) {
		case 'reserved': {
			return {...account, reserved: account.reserved + event.tokens};
		}

		case 'settled': {
			return {...account, reserved: account.reserved - event.reserved, settled: account.settled + event.used};
		}

		case 'granted': {
			return {...account, granted: event.total};
		}

		case 'lent': {
			return give(account, event.to, event.tokens);
		}

		case 'received': {
			const total = Math.max(account.received.get(event.from) ?? 0, event.total);
			return {...account, received: new Map(account.received).set(event.from, total)};
		}

		case 'demanded': {
			return {...account, rate: account.rate + event.tokensPerSecond};
		}

		case 'faded': {
			return {...account, rate: account.rate < 1 ? 0 : account.rate * event.share};
		}
	}
};
