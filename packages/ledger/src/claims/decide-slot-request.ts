import {decideClaim} from '../lib/decide-claim.js';
import {decideExpire} from '../lib/decide-expire.js';
import {decideGiveBack} from '../lib/decide-give-back.js';
import {decideSettle} from '../lib/decide-settle.js';
import {decideWant} from '../lib/decide-want.js';
import type {Ledger} from './ledger.js';
import type {Decision} from './decision.js';
import {claimId} from './claim-id.js';
import type {SlotRequest} from './slot-request.js';

/**
Decides one request against a ledger. Pure: the caller applies the ops with
`applyOp`, and sends the reply only when both hosts of the pair hold those ops.

@param now Wall-clock time in ms.
*/
export const decideSlotRequest = (ledger: Ledger, request: SlotRequest, now: number): Decision => {
	switch (request.type) {
		case 'claim': {
			return decideClaim(ledger, request);
		}

		case 'settle': {
			return decideSettle(ledger, request);
		}

		case 'lookup': {
			return {ops: [], reply: {type: 'found', claim: ledger.claims.get(claimId(request.budget, request.key))}};
		}

		case 'want': {
			return decideWant(ledger, request);
		}

		case 'receive': {
			// The total was given to one holder. A holder of a later generation would credit itself with all that the earlier holder received.
			const {to, ...received} = request;
			return {ops: to === ledger.holder ? [received] : [], reply: {type: 'done'}};
		}

		case 'grant': {
			return {ops: request.grants.map(grant => ({type: 'grant' as const, ...grant})), reply: {type: 'done'}};
		}

		case 'give_back': {
			return decideGiveBack(ledger, request);
		}

		case 'expire': {
			return decideExpire(ledger, now);
		}
	}
};
