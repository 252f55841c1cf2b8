import {accountOf} from '../account/account-of.js';
import {available} from '../account/available.js';
import type {Decision} from '../claims/decision.js';
import type {Ledger} from '../claims/ledger.js';
import type {WantRequest} from '../claims/want-request.js';

/**
Gives rights to another holder. The `give` op takes the rights out of this ledger before the reply is sent, so that they are never
counted twice. If the reply is lost, neither holder can spend them until the next reply, which carries the total again.
*/
export const decideWant = (ledger: Ledger, request: WantRequest): Decision => {
	const account = accountOf(ledger, request.budget);
	// The asking holder gets all that is available, up to what it asks for: a request that waits there counts more than one that may yet arrive here.
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
