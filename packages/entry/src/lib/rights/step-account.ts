import {available} from '@deckwheel/ledger';
import type {AccountEvent} from './account-event.js';
import type {HostAccount} from './host-account.js';
import {rateMemorySeconds} from './rate-memory-seconds.js';

/** A demand below this, in tokens a second, counts as none. */
const negligibleRate = 1;

const give = (account: HostAccount, {to, tokens, share}: AccountEvent & {type: 'lent'}): HostAccount => {
	const lent = Math.max(0, Math.min(Math.ceil(tokens), Math.floor(available(account) * share)));
	return lent === 0 ? account : {...account, given: new Map(account.given).set(to, (account.given.get(to) ?? 0) + lent)};
};

const demand = (account: HostAccount, {by, tokens}: AccountEvent & {type: 'demanded'}): HostAccount => ({
	...account,
	demanded: account.demanded + (by === 'own_request' ? tokens : 0),
	rate: account.rate + (tokens / rateMemorySeconds),
});

const age = (account: HostAccount, seconds: number): HostAccount => ({
	...account,
	rate: account.rate < negligibleRate ? 0 : account.rate * Math.exp(-seconds / rateMemorySeconds),
	observedSeconds: account.observedSeconds + seconds,
});

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
			return give(account, event);
		}

		case 'not_taken': {
			return {...account, given: new Map(account.given).set(event.by, (account.given.get(event.by) ?? 0) - event.tokens)};
		}

		case 'received': {
			const total = Math.max(account.received.get(event.from) ?? 0, event.total);
			return {...account, received: new Map(account.received).set(event.from, total)};
		}

		case 'demanded': {
			return demand(account, event);
		}

		case 'aged': {
			return age(account, event.seconds);
		}
	}
};
