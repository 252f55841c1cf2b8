import {accountOf} from '../account/account-of.js';
import {available} from '../account/available.js';
import type {Decision} from '../claims/decision.js';
import type {Ledger} from '../claims/ledger.js';
import type {WantRequest} from '../claims/want-request.js';

/**
Gives rights to another holder. They leave here before the reply is sent:
a lost reply strands them until the next one, which carries the total again.
*/
export const decideWant = (ledger: Ledger, request: WantRequest): Decision => {
	const account = accountOf(ledger, request.budget);
	// All that is asked: a request that waits over there counts more than one that may come here.
	const amount = Math.max(0, Math.min(request.tokens, available(account)));
	const total = account.given.get(request.holder, 0) + amount;
	return {
		ops: amount > 0
			? [{
				type: 'give', budget: request.budget, to: request.holder, total,
			}]
			: [],
		reply: {type: 'given', from: ledger.holder, total},
	};
};
