import type {EndpointIndex} from '../wire/endpoint-index.js';
import type {LoadRow} from '../wire/load-row.js';
import type {PaceSample} from '../wire/pace-sample.js';
import {createSampleOutbox} from './create-sample-outbox.js';
import type {LoadAnswer} from './load-answer.js';
import type {LoadClient} from './load-client.js';
import type {SharedLoadTracker} from './shared-load-tracker.js';
import {subtractOwnLoad} from './subtract-own-load.js';

/** The time between two requests for paces, in ms. Paces change slowly. */
const pacesIntervalMs = 3000;

type Options = {
	readonly ask: LoadClient;
	readonly tracker: SharedLoadTracker;
	readonly index: () => EndpointIndex;
	/** The number of hosts of the hall that count as reachable. */
	readonly hallSize: () => number;
	/** Called with the age of totals that are used from now on, in ms. */
	readonly onTotals: (ageMs: number) => void;
	/** Called when totals are not used because fewer than half of the hall's hosts are in them. */
	readonly onThinTotals: () => void;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** The part of a host that reports to the load leader of its hall. */
type LoadMember = {
	/** Reports to the leader at an address, and uses its totals; resolves with whether it answered. */
	readonly reportTo: (address: string) => Promise<boolean>;
	/** Keeps a sample for the leader. */
	readonly addSample: (sample: PaceSample) => void;
	/** Forgets the totals and paces if the totals are older than an age, in ms. */
	readonly expire: (maxAgeMs: number) => void;
	/** Follows a new list of endpoints. */
	readonly list: () => void;
};

/** Creates a member that has not reported yet. */
export const createLoadMember = ({ask, tracker, index, hallSize, onTotals, onThinTotals, now}: Options): LoadMember => {
	const outbox = createSampleOutbox();
	let reportedAt = Number.NEGATIVE_INFINITY;
	let pacesAt = Number.NEGATIVE_INFINITY;

	// A new leader has the reports of few hosts at first. Older totals say more until it has most of them.
	const applyTotals = ({hosts, asOf, rows}: LoadAnswer, ownRows: readonly LoadRow[], askedAt: number): void => {
		if (hosts * 2 < hallSize()) {
			onThinTotals();
			return;
		}

		reportedAt = askedAt;
		tracker.setOthers(subtractOwnLoad(rows, ownRows, index()), asOf);
		onTotals(now() - asOf);
	};

	const applyPaces = ({paces}: LoadAnswer): void => {
		pacesAt = now();
		const {idOf} = index();
		tracker.setPaces(new Map(paces.flatMap(([endpoint, pace]) => idOf.has(endpoint) ? [[idOf.get(endpoint)!, pace] as const] : [])));
	};

	return {
		async reportTo(address) {
			const askedAt = now();
			const rows = tracker.ownRows();
			const samples = outbox.take();
			const wantsPaces = now() - pacesAt >= pacesIntervalMs;
			const answer = await ask(address, {
				wants: 'fleet', wantsPaces, rows, samples,
			});
			if (!answer) {
				outbox.add(samples);
				return false;
			}

			applyTotals(answer, rows, askedAt);
			if (wantsPaces) {
				applyPaces(answer);
			}

			return true;
		},
		addSample(sample) {
			outbox.add([sample]);
		},
		expire(maxAgeMs) {
			if (now() - reportedAt > maxAgeMs) {
				tracker.forgetOthers();
				tracker.setPaces(new Map());
				pacesAt = Number.NEGATIVE_INFINITY;
			}
		},
		list() {
			pacesAt = Number.NEGATIVE_INFINITY;
		},
	};
};
