import type {Mesh} from '@deckwheel/mesh';
import type {ListedPeer} from '../listed-peer.js';
import type {Lenders} from './lenders.js';
import {loanSchema} from './loan-schema.js';

/** A peer in reach answers in a few ms. */
const askTimeoutMs = 60;
const maxAsked = 6;

type Options = {
	readonly mesh: () => Mesh | undefined;
	readonly peerOf: (holder: string) => ListedPeer | undefined;
	/** Called with what a lender ever gave in total. */
	readonly onLoan: (budget: string, from: string, total: number) => void;
};

/** Creates the asker for rights of peers. A lost reply strands nothing for good: the next one carries the total again. */
export const createLenders = ({mesh, peerOf, onLoan}: Options): Lenders => ({
	async borrow(budget, tokens, holders, isEnough) {
		const addresses = new Set(holders.map(holder => peerOf(holder)?.address).filter(address => address !== undefined));
		for (const address of [...addresses].slice(0, maxAsked)) {
			const reply = await mesh()?.request(address, {type: 'lend', budget, tokens}, askTimeoutMs);
			const loan = loanSchema.safeParse(reply?.ok ? reply.value : undefined);
			if (loan.success) {
				onLoan(budget, loan.data.lender, loan.data.total);
			}

			if (isEnough()) {
				return;
			}
		}
	},
});
