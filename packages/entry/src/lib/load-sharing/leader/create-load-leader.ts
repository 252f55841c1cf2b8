import type {Identity} from '@deckwheel/mesh';
import type {EndpointIndex} from '../wire/endpoint-index.js';
import type {LoadMessage} from '../wire/load-message.js';
import type {LoadReply} from '../wire/load-reply.js';
import type {LoadRow} from '../wire/load-row.js';
import type {PaceSample} from '../wire/pace-sample.js';
import {readSamples} from '../wire/read-samples.js';
import {readTotals} from '../wire/read-totals.js';
import {writePaces} from '../wire/write-paces.js';
import {writeTotals} from '../wire/write-totals.js';
import {addTotals} from './add-totals.js';
import {createLoadBoard} from './create-load-board.js';
import {createPaceBoard} from './create-pace-board.js';
import type {LoadBoard} from './load-board.js';

/**
After how many intervals without a message the report of a host, or of another hall, no longer counts: what a host had open ends with it, and
a host that reports to a new leader after one unanswered message must not be missed meanwhile.
*/
const reportIntervals = 3;

type Options = {
	/** The hall of this host. */
	readonly hall: () => string;
	readonly index: () => EndpointIndex;
	/** Whether this host is the one to lead its hall. */
	readonly leads: () => boolean;
	/** The time between two messages of a host, in ms. */
	readonly intervalMs: () => number;
	/** Called with samples of this hall's hosts, for the leaders of other halls. */
	readonly onSamples: (samples: readonly PaceSample[]) => void;
	/** Called with what a message told of ended endpoints; returns what to tell the sender. */
	readonly exchangeEnded: (told: readonly number[]) => number[];
	/** Called with the number of entries that were left out because they cannot be true. */
	readonly onLeftOut: (count: number) => void;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** The part of a load leader: adds up what the hosts of its hall report, and what leaders of other halls do. */
type LoadLeader = {
	/** Applies a message, and then replies with totals that hold it. */
	readonly answer: (from: Identity, message: LoadMessage) => LoadReply;
	/** Replaces the totals of another hall, as its leader told them at a time, in monotonic ms. */
	readonly setHall: (hall: string, rows: readonly LoadRow[], at: number) => void;
	/** Follows a new list of endpoints. */
	readonly list: (index: EndpointIndex) => void;
	/** Removes reports that no longer count. */
	readonly expire: () => void;
};

/** Creates a leader without reports. Each host has one, which stays without reports as long as other hosts lead. */
export const createLoadLeader = ({hall, index, leads, intervalMs, onSamples, exchangeEnded, onLeftOut, now}: Options): LoadLeader => {
	const hosts = createLoadBoard(now);
	const halls = createLoadBoard(now);
	const paces = createPaceBoard(now);

	const countsUntil = (at: number): number => at + (reportIntervals * intervalMs());

	const oldestAt = (boards: readonly LoadBoard[]): number => Math.min(now(), ...boards.map(board => board.oldestAt()));

	const readMessage = (message: LoadMessage) => {
		const rows = readTotals(message.counts, {hosts: 1, index: undefined});
		const samples = readSamples(message.samples);
		onLeftOut(rows.leftOut + samples.leftOut);
		return {rows: rows.entries, samples: samples.entries};
	};

	return {
		answer(from, message) {
			const {rows, samples} = readMessage(message);
			const isMember = from.hall === hall() && message.wants === 'fleet';
			paces.note(samples);
			if (isMember) {
				hosts.report(from.incarnation, rows, {at: now(), until: countsUntil(now())});
				onSamples(samples);
			}

			const {digest} = index();
			const common = message.digest === digest ? index() : undefined;
			return {
				digest,
				leads: hosts.sources() > 0 || leads(),
				hosts: hosts.sources(),
				ageMs: Math.round(now() - oldestAt(isMember ? [hosts, halls] : [hosts])),
				counts: writeTotals(isMember ? addTotals(hosts.totals(), halls.totals()) : hosts.totals(), common),
				paces: message.wantsPaces ? writePaces(paces.paces(), common) : [],
				ended: exchangeEnded(message.ended),
			};
		},
		setHall(name, rows, at) {
			// Counted from now: the other hall's reports may be older than this hall's interval where that hall is larger.
			halls.report(name, rows, {at, until: countsUntil(now())});
		},
		list: paces.list,
		expire() {
			hosts.expire();
			halls.expire();
		},
	};
};
