import type {Result} from '@deckwheel/core';
import type {LinkError} from '@deckwheel/mesh';
import type {Log} from '../../../adapter/log.js';
import {readPeerReply} from '../../peers/read-peer-reply.js';
import type {EndpointIndex} from '../wire/endpoint-index.js';
import type {LoadMessage} from '../wire/load-message.js';
import {loadReplySchema} from '../wire/load-reply-schema.js';
import type {LoadReply} from '../wire/load-reply.js';
import {readPaces} from '../wire/read-paces.js';
import {readTotals} from '../wire/read-totals.js';
import {writeRows} from '../wire/write-rows.js';
import {writeSamples} from '../wire/write-samples.js';
import type {LoadClient} from './load-client.js';
import type {LoadEvent} from './load-event.js';

type Options = {
	/** Sends a message to the host at an address, as `request` of `Mesh` does. */
	readonly request: (address: string, message: LoadMessage, timeoutMs: number) => Promise<Result<unknown, LinkError>>;
	readonly index: () => EndpointIndex;
	/** The number of listed hosts of all halls. */
	readonly fleetSize: () => number;
	/** How long an answer may take, in ms. */
	readonly timeoutMs: () => number;
	/** Returns what to tell of ended endpoints. */
	readonly endedToTell: () => number[];
	/** Called with what a reply told of ended endpoints. */
	readonly onEndedTold: (told: readonly number[]) => void;
	/** Called with the address of a host that did not answer, or whose answer cannot be read. */
	readonly onSilence: (address: string) => void;
	/** Called with the number of entries that were left out because they cannot be true. */
	readonly onLeftOut: (count: number) => void;
	readonly count: (event: LoadEvent) => void;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Whether a reply has the totals of each endpoint of the index in whose order they stand: a missing one would look idle. */
const isWhole = ({digest, counts}: LoadReply, index: EndpointIndex): boolean => digest !== index.digest || counts.length === 2 * index.hashes.length;

/** Creates a client. It keeps nothing between two questions. */
export const createLoadClient = (options: Options): LoadClient => {
	const {request, index, fleetSize, timeoutMs, endedToTell, onEndedTold, onSilence, onLeftOut, count, log, now} = options;

	const send = async (address: string, message: LoadMessage, askedIndex: EndpointIndex): Promise<LoadReply | undefined> => {
		const result = await request(address, message, timeoutMs());
		const parsed = result.ok ? readPeerReply(loadReplySchema, result.value, {address, type: message.type}, log) : undefined;
		const reply = parsed && isWhole(parsed, askedIndex) ? parsed : undefined;
		if (parsed && !reply) {
			log('peer_reply_malformed', {address, type: message.type});
		}

		count(reply ? 'answered' : (result.ok ? 'malformed' : 'unanswered'));
		return reply;
	};

	return async (address, {wants, wantsPaces, rows, samples}) => {
		const askedAt = now();
		// The reply follows the order of the index that it was asked for with, which may be replaced meanwhile.
		const askedIndex = index();
		const reply = await send(address, {
			type: 'load', wants, wantsPaces, digest: askedIndex.digest, counts: writeRows(rows), samples: writeSamples(samples), ended: endedToTell(),
		}, askedIndex);
		if (!reply) {
			onSilence(address);
			return undefined;
		}

		onEndedTold(reply.ended);
		const common = reply.digest === askedIndex.digest ? askedIndex : undefined;
		const totals = readTotals(reply.counts, {hosts: fleetSize(), index: common});
		const paces = readPaces(reply.paces, common);
		onLeftOut(totals.leftOut + paces.leftOut);
		return {
			leads: reply.leads, hosts: reply.hosts, asOf: askedAt - reply.ageMs, rows: totals.entries, paces: paces.entries,
		};
	};
};
