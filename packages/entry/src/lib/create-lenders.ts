import type {Mesh} from '@deckwheel/mesh';
import type {Lenders} from './lenders.js';
import {loanSchema} from './loan-schema.js';

/** A peer in reach answers in a few ms, or after it drew from the store. */
const askTimeoutMs = 120;
const maxAsked = 6;

type Options = {
	readonly mesh: () => Mesh | undefined;
	/** All that this host knows to have got from a lender. */
	readonly receivedFrom: (budget: string, lender: string) => number;
	/** Called with what a lender ever gave in total. */
	readonly onLoan: (budget: string, from: string, total: number) => void;
	/** Called when a peer did not answer. */
	readonly onSilence: (address: string) => void;
};

/** Creates the asker for rights of peers. A lost reply strands nothing for good: the next one carries the total again. */
export const createLenders = ({mesh, receivedFrom, onLoan, onSilence}: Options): Lenders => ({
	async borrow(budget, tokens, peers, isEnough) {
		const byAddress = new Map(peers.map(peer => [peer.address, peer.holder]));
		for (const [address, holder] of [...byAddress].slice(0, maxAsked)) {
			const reply = await mesh()?.request(address, {
				type: 'lend', budget, tokens, received: receivedFrom(budget, holder),
			}, askTimeoutMs);
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
