import type {Mesh} from '@deckwheel/mesh';
import type {Lenders} from './lenders.js';
import {loanSchema} from './loan-schema.js';

/** A peer in reach answers in a few ms, or after it drew from the store. */
const askTimeoutMs = 120;
const maxAsked = 6;

type Options = {
	readonly mesh: () => Mesh | undefined;
	/** Called with what a lender ever gave in total. */
	readonly onLoan: (budget: string, from: string, total: number) => void;
	/** Called when a peer did not answer. */
	readonly onSilence: (address: string) => void;
};

/** Creates the asker for rights of peers. A lost reply strands nothing for good: the next one carries the total again. */
export const createLenders = ({mesh, onLoan, onSilence}: Options): Lenders => ({
	async borrow(budget, tokens, addresses, isEnough) {
		for (const address of [...new Set(addresses)].slice(0, maxAsked)) {
			const reply = await mesh()?.request(address, {type: 'lend', budget, tokens}, askTimeoutMs);
			const loan = loanSchema.safeParse(reply?.ok ? reply.value : undefined);
			if (loan.success) {
				onLoan(budget, loan.data.lender, loan.data.total);
			} else if (reply && !reply.ok) {
				onSilence(address);
			}

			if (isEnough()) {
				return;
			}
		}
	},
	handBack(address, budget, total) {
		void mesh()?.request(address, {type: 'hand_back', budget, total}, askTimeoutMs);
	},
});
