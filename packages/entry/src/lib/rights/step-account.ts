import {available} from '@deckwheel/ledger';
import type {AccountEvent} from './account-event.js';
import type {HostAccount} from './host-account.js';
import {rateTimeConstantSeconds} from './rate-time-constant-seconds.js';

/** A demand rate below this counts as 0, in tokens per second. */
const negligibleRate = 1;

const applyLent = (account: HostAccount, {to, tokens, share}: AccountEvent & {type: 'lent'}): HostAccount => {
	const lent = Math.max(0, Math.min(Math.ceil(tokens), Math.floor(available(account) * share)));
	return lent === 0 ? account : {...account, given: new Map(account.given).set(to, (account.given.get(to) ?? 0) + lent)};
};

const applyDemanded = (account: HostAccount, {by, tokens}: AccountEvent & {type: 'demanded'}): HostAccount => ({
	...account,
	demanded: account.demanded + (by === 'own_request' ? tokens : 0),
	rate: account.rate + (tokens / rateTimeConstantSeconds),
});

const applyAged = (account: HostAccount, seconds: number): HostAccount => ({
	...account,
	rate: account.rate < negligibleRate ? 0 : account.rate * Math.exp(-seconds / rateTimeConstantSeconds),
	observedSeconds: account.observedSeconds + seconds,
});

/** Applies one event to an account. Pure. Rights leave the giver's account (`lent`) before they can enter the receiver's (`received`). */
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
			return applyLent(account, event);
		}

		case 'not_taken': {
			return {...account, given: new Map(account.given).set(event.by, (account.given.get(event.by) ?? 0) - event.tokens)};
		}

		case 'received': {
			const total = Math.max(account.received.get(event.from) ?? 0, event.total);
			return {...account, received: new Map(account.received).set(event.from, total)};
		}

		case 'demanded': {
			return applyDemanded(account, event);
		}

		case 'aged': {
			return applyAged(account, event.seconds);
		}
	}
};
