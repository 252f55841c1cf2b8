import type {Log} from '../../adapter/log.js';
import type {Accounts} from '../rights/accounts.js';
import type {BudgetPacer} from '../budget-pacing/budget-pacer.js';
import type {RightsAcquirer} from '../rights/rights-acquirer.js';
import type {Allocators} from './allocators.js';
import {createClientDemand} from './create-client-demand.js';
import type {LoanReply} from './loan-reply.js';
import type {LoanRequest} from './loan-request.js';
import {loanShare} from './loan-share.js';
import {planLoan} from './plan-loan.js';
import type {ReportedLeft} from './reported-left.js';

type Options = {
	readonly accounts: Accounts;
	readonly allocators: Allocators;
	readonly acquirer: Pick<RightsAcquirer, 'acquireForClient'>;
	readonly budgetPacer: BudgetPacer;
	readonly isStoreUp: () => boolean;
	/** What is left of a budget by a fresh record of the store; `undefined` if this host has none. */
	readonly leftOf: (budget: string) => ReportedLeft | undefined;
	readonly isRetiring: () => boolean;
	readonly log: Log;
};

/** Creates the function that replies to a peer's loan request. Rights leave this host's account before the reply is sent. */
export const createLender = ({accounts, allocators, acquirer, budgetPacer, isStoreUp, leftOf, isRetiring, log}: Options) => {
	const clientDemand = createClientDemand();

	return async (to: string, {budget, tokens, demanded, received, rank}: LoanRequest): Promise<LoanReply> => {
		const givenTo = (): number => accounts.get(budget).given.get(to) ?? 0;
		const isClient = allocators.isClient(to, budget);
		const share = loanShare(isClient);
		const isKept = isClient && rank !== undefined && budgetPacer.keptFor(budget, rank.tokens, rank.priority) !== undefined;
		// Only a client's demand counts as demand on this host. Hosts of this or another hall that draw for themselves ask only when they lack rights.
		if (isClient) {
			accounts.apply(budget, {type: 'demanded', by: 'client', tokens: clientDemand.note(to, budget, demanded)});
			if (!isKept) {
				await acquirer.acquireForClient(budget, Math.ceil(planLoan({asked: tokens, given: givenTo(), received}) / share));
			}
		}

		// Planned anew after the wait above: another loan request of the same peer may have been replied to in the meantime.
		const toLend = isRetiring() || isKept ? 0 : planLoan({asked: tokens, given: givenTo(), received});
		const {lent, total} = accounts.lend(budget, {to, tokens: toLend, share});
		if (isClient && rank && lent > 0) {
			budgetPacer.note(budget, rank.priority, rank.tokens);
		}

		log('rights_lent', {
			to, budget, asked: tokens, lent, total, kept: isKept,
		});
		// Only a client is told that this host reaches the store. For a host that draws for itself nothing was drawn here, so it may still draw.
		const left = isClient ? leftOf(budget) : undefined;
		return {
			total, reachesStore: isClient && isStoreUp() && !isRetiring(), isKept, ...(left && {left}),
		};
	};
};
