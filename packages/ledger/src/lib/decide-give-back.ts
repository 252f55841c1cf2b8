import {accountOf} from '../account/account-of.js';
import {available} from '../account/available.js';
import type {Decision} from '../claims/decision.js';
import type {GiveBackRequest} from '../claims/give-back-request.js';
import type {Ledger} from '../claims/ledger.js';

/** Takes rights out of the holder's accounts, so that the store can grant them to other holders: at most what is available, and at most what the store granted. */
export const decideGiveBack = (ledger: Ledger, request: GiveBackRequest): Decision => {
	const ops = request.amounts
		.map(({budget, amount}) => {
			const account = accountOf(ledger, budget);
			const returnable = Math.min(amount, available(account), account.granted);
			return {type: 'give_back' as const, budget, amount: returnable};
		})
		.filter(({amount}) => amount > 0);
	return {ops, reply: {type: 'done'}};
};
