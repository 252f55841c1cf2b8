import {succeed, type Result} from '@deckwheel/core';
import type {LinkError, Mesh} from '@deckwheel/mesh';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {Log} from '../../adapter/log.js';
import {readPeerReply} from '../peers/read-peer-reply.js';
import {createMissingReplies} from './create-missing-replies.js';
import {handBackReplySchema} from './hand-back-reply-schema.js';
import type {LoanClient} from './loan-client.js';
import type {LoanOutcome} from './loan-outcome.js';
import type {LoanReply} from './loan-reply.js';
import type {LoanRequest} from './loan-request.js';
import {loanReplySchema} from './loan-reply-schema.js';
import type {ReportedLeft} from './reported-left.js';

/** The most peers that are asked in one call of `borrow`, which bounds its number of messages. */
const maxPeersAsked = 6;

/** The most missing replies that one call of `collect` asks for, which bounds its number of messages. */
const maxCollected = 4;

/** What is asked for where only the total of earlier loans is wanted, in tokens. A loan request must ask for something. */
const leastTokens = 1;

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

/**
Creates the client that requests loans from peers.

Rights in a lost reply are not lost: each reply carries the total, so the next one makes up for it. A host that lacks no rights any more asks
nobody, so what it was lent would stay on its way: `collect` asks for missing replies.
*/
export const createLoanClient = ({mesh, receivedFrom, onLoan, onSilence, replyTimeoutMs, log, now}: Options): LoanClient => {
	const silentPeers = new Set<string>();
	const missingReplies = createMissingReplies(now);

	// After a first missing reply the peer is not yet reported: its link may still be opening, or it may be waiting for the store.
	const noteSilence = (address: string, error: LinkError): void => {
		if (error === 'unreachable' || silentPeers.has(address)) {
			silentPeers.delete(address);
			onSilence(address);
			return;
		}

		silentPeers.add(address);
	};

	/** Asks a peer, and takes in the total that it tells. A reply that cannot be read tells none. */
	const askForTotal = async (link: Mesh, peer: ListedPeer, message: LoanMessage, timeoutMs: number): Promise<Result<LoanReply | undefined, LinkError>> => {
		const {address} = peer;
		const reply = await link.request(address, message, timeoutMs);
		if (!reply.ok) {
			return reply;
		}

		const loan = readPeerReply(loanReplySchema, reply.value, {address, type: message.type}, log);
		if (loan) {
			missingReplies.end(peer, message.budget);
			onLoan(message.budget, loan.lender, loan.total);
		}

		return succeed(loan);
	};

	const requestLoan = async (link: Mesh, peer: ListedPeer, message: LoanMessage, timeoutMs: number): Promise<LoanReply | undefined> => {
		const loan = await askForTotal(link, peer, message, timeoutMs);
		if (loan.ok) {
			silentPeers.delete(peer.address);
			return loan.value;
		}

		if (loan.error === 'unknown') {
			missingReplies.note(peer, message.budget);
		}

		noteSilence(peer.address, loan.error);
		return undefined;
	};

	return {
		async borrow({budget, tokens, demanded, rank, peers, deadline = Number.POSITIVE_INFINITY, isEnough}) {
			const byAddress = new Map(peers.map(peer => [peer.address, peer]));
			const loans: LoanReply[] = [];
			let isCutShort = false;
			for (const peer of [...byAddress.values()].slice(0, maxPeersAsked)) {
				const link = mesh();
				const timeoutMs = Math.min(replyTimeoutMs, deadline - now());
				if (!link || timeoutMs <= 0) {
					isCutShort = true;
					break;
				}

				const loan = await requestLoan(link, peer, {
					type: 'lend', budget, tokens, demanded, received: receivedFrom(budget, peer.holder), ...(rank && {rank}),
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
		async collect() {
			const link = mesh();
			if (link) {
				await Promise.all(missingReplies.next(maxCollected).map(async ({peer, budget}) => askForTotal(link, peer, {
					type: 'lend', budget, tokens: leastTokens, demanded: 0, received: receivedFrom(budget, peer.holder),
				}, replyTimeoutMs)));
			}
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
