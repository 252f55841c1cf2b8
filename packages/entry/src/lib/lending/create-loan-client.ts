import type {LinkError, Mesh} from '@deckwheel/mesh';
import type {Log} from '../../adapter/log.js';
import {readPeerReply} from '../peers/read-peer-reply.js';
import {handBackReplySchema} from './hand-back-reply-schema.js';
import type {LoanClient} from './loan-client.js';
import type {LoanOutcome} from './loan-outcome.js';
import type {LoanReply} from './loan-reply.js';
import type {LoanRequest} from './loan-request.js';
import {loanReplySchema} from './loan-reply-schema.js';
import type {ReportedLeft} from './reported-left.js';

/** The most peers that are asked in one call of `borrow`, which bounds its number of messages. */
const maxPeersAsked = 6;

type LoanMessage = LoanRequest & {readonly type: 'lend'};

type Options = {
	readonly mesh: () => Mesh | undefined;
	/** The total that this host knows to have received from a lender on a budget, in tokens. */
	readonly receivedFrom: (budget: string, lender: string) => number;
	/** Called with the total that a lender ever gave to this host on a budget, in tokens. */
	readonly onLoan: (budget: string, from: string, total: number) => void;
	/** Called when a peer was unreachable, or did not reply twice in a row. */
	readonly onSilence: (address: string) => void;
	/** How long one peer may take to reply, in ms. */
	readonly replyTimeoutMs: number;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

const mostLeft = (loans: readonly LoanReply[]): ReportedLeft | undefined =>
	loans.map(({left}) => left).filter(left => left !== undefined).sort((a, b) => b.tokens - a.tokens)[0];

/** Creates the client that requests loans from peers. Rights in a lost reply are not lost: each reply carries the total, so the next one makes up for it. */
export const createLoanClient = ({mesh, receivedFrom, onLoan, onSilence, replyTimeoutMs, log, now}: Options): LoanClient => {
	const silentPeers = new Set<string>();

	// After a first missing reply the peer is not yet reported: its link may still be opening, or it may be waiting for the store.
	const noteSilence = (address: string, error: LinkError): void => {
		if (error === 'unreachable' || silentPeers.has(address)) {
			silentPeers.delete(address);
			onSilence(address);
			return;
		}

		silentPeers.add(address);
	};

	const requestLoan = async (link: Mesh, address: string, message: LoanMessage, timeoutMs: number): Promise<LoanReply | undefined> => {
		const reply = await link.request(address, message, timeoutMs);
		if (!reply.ok) {
			noteSilence(address, reply.error);
			return undefined;
		}

		silentPeers.delete(address);
		const loan = readPeerReply(loanReplySchema, reply.value, {address, type: message.type}, log);
		if (loan) {
			onLoan(message.budget, loan.lender, loan.total);
		}

		return loan;
	};

	return {
		async borrow({budget, tokens, demanded, rank, peers, deadline = Number.POSITIVE_INFINITY, isEnough}) {
			const byAddress = new Map(peers.map(peer => [peer.address, peer.holder]));
			const loans: LoanReply[] = [];
			let isCutShort = false;
			for (const [address, holder] of [...byAddress].slice(0, maxPeersAsked)) {
				const link = mesh();
				const timeoutMs = Math.min(replyTimeoutMs, deadline - now());
				if (!link || timeoutMs <= 0) {
					isCutShort = true;
					break;
				}

				const loan = await requestLoan(link, address, {
					type: 'lend', budget, tokens, demanded, received: receivedFrom(budget, holder), ...(rank && {rank}),
				}, timeoutMs);
				if (loan) {
					loans.push(loan);
				}

				if (isEnough() || loan?.isKept) {
					break;
				}
			}

			const left = mostLeft(loans);
			return {
				hasReachedStore: loans.some(({reachesStore}) => reachesStore),
				isConclusive: loans.length > 0 && !isCutShort && !loans.some(({isKept}) => isKept),
				...(left && {left}),
			};
		},
		async handBack({address, holder}, budget, total) {
			const reply = await mesh()?.request(address, {
				type: 'hand_back', to: holder, budget, total,
			}, replyTimeoutMs);
			const content = reply?.ok ? readPeerReply(handBackReplySchema, reply.value, {address, type: 'hand_back'}, log) : undefined;
			if (!content) {
				return 'unknown';
			}

			return content.isTaken ? 'taken' : 'refused';
		},
	};
};
