import type {LinkError, Mesh} from '@deckwheel/mesh';
import type {Log} from '../../adapter/log.js';
import {readPeerReply} from '../peers/read-peer-reply.js';
import {handBackReplySchema} from './hand-back-reply-schema.js';
import type {LoanClient} from './loan-client.js';
import type {LoanReply} from './loan-reply.js';
import type {LoanRequest} from './loan-request.js';
import {loanReplySchema} from './loan-reply-schema.js';

/** Peers asked for one request: a bound on its messages. */
const maxAsked = 6;

type LoanMessage = LoanRequest & {readonly type: 'lend'};

type Options = {
	readonly mesh: () => Mesh | undefined;
	/** All that this host knows to have got from a lender. */
	readonly receivedFrom: (budget: string, lender: string) => number;
	/** Called with what a lender ever gave in total. */
	readonly onLoan: (budget: string, from: string, total: number) => void;
	/** Called when a peer could not be reached, or was silent twice in a row. */
	readonly onSilence: (address: string) => void;
	/** How long one peer may take to answer, in ms. */
	readonly askTimeoutMs: number;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Creates the client of loans. A lost reply strands nothing for good: the next one carries the total again. */
export const createLoanClient = ({mesh, receivedFrom, onLoan, onSilence, askTimeoutMs, log, now}: Options): LoanClient => {
	const silent = new Set<string>();

	// A first silence may be a link that is being opened, or a lender that waits for the store.
	const noteSilence = (address: string, error: LinkError): void => {
		if (error === 'unreachable' || silent.has(address)) {
			silent.delete(address);
			onSilence(address);
			return;
		}

		silent.add(address);
	};

	const ask = async (link: Mesh, address: string, question: LoanMessage, timeoutMs: number): Promise<LoanReply | undefined> => {
		const reply = await link.request(address, question, timeoutMs);
		if (!reply.ok) {
			noteSilence(address, reply.error);
			return undefined;
		}

		silent.delete(address);
		const loan = readPeerReply(loanReplySchema, reply.value, {address, type: question.type}, log);
		if (loan) {
			onLoan(question.budget, loan.lender, loan.total);
		}

		return loan;
	};

	return {
		async borrow({budget, tokens, demanded, rank, peers, deadline = Number.POSITIVE_INFINITY, isEnough}) {
			const byAddress = new Map(peers.map(peer => [peer.address, peer.holder]));
			let hasReachedStore = false;
			for (const [address, holder] of [...byAddress].slice(0, maxAsked)) {
				const link = mesh();
				const timeoutMs = Math.min(askTimeoutMs, deadline - now());
				if (!link || timeoutMs <= 0) {
					break;
				}

				const reply = await ask(link, address, {
					type: 'lend', budget, tokens, demanded, received: receivedFrom(budget, holder), ...(rank && {rank}),
				}, timeoutMs);
				hasReachedStore ||= reply?.reachesStore ?? false;
				if (isEnough() || reply?.isKept) {
					break;
				}
			}

			return hasReachedStore;
		},
		async handBack({address, holder}, budget, total) {
			const reply = await mesh()?.request(address, {
				type: 'hand_back', to: holder, budget, total,
			}, askTimeoutMs);
			const told = reply?.ok ? readPeerReply(handBackReplySchema, reply.value, {address, type: 'hand_back'}, log) : undefined;
			if (!told) {
				return 'unknown';
			}

			return told.isTaken ? 'taken' : 'refused';
		},
	};
};
