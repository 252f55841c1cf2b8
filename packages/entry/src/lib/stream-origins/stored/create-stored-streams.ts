import {groupBy} from '@deckwheel/core';
import type {EventCounter} from '@deckwheel/host-kit';
import type {OriginStore} from '../../../adapter/origin-store.js';
import type {Schedule} from '../../../adapter/schedule.js';
import type {KeptOrigin} from '../kept-origin.js';
import type {StreamOrigin} from '../stream-origin.js';
import {createOriginRecorder} from './create-origin-recorder.js';
import {createSharedRead} from './create-shared-read.js';
import {createVersionLedger} from './create-version-ledger.js';
import {findStoredOrigin} from './find-stored-origin.js';
import {planWriteInterval} from './plan-write-interval.js';
import type {StoredStreams} from './stored-streams.js';
import {untilTimeout} from './until-timeout.js';
import type {VersionLedger} from './version-ledger.js';

/** How long the first event of a stream waits for the store to have its origin, in ms: beyond that, callers lose more by the wait than by the risk that all hosts die. */
const maxRecordWaitMs = 500;

/** The shortest time between two reads of the store for take-ups, in ms: after the death of all hosts they come all at once, at all hosts. */
const readGapMs = 100;

/** Who may have stored the origin of an earlier attempt of a stream. */
type EarlierAttempts = 'nobody' | 'this_host' | 'any_host';

type Options = {
	/** The name of this host, the same over its restarts. */
	readonly host: string;
	readonly store: OriginStore;
	/** The number of hosts that share the store. */
	readonly hostCount: () => number;
	/** The writes a second that the store accepts of all hosts together. */
	readonly writesPerSecond: number;
	/** These three are as for `createVersionLedger`. */
	readonly onNamed: (service: string, version: string) => void;
	readonly isSettled: (service: string, version: string) => boolean;
	readonly isListed: (service: string, version: string) => boolean;
	readonly schedule: Schedule;
	readonly counter: Pick<EventCounter, 'increment'>;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Makes sure that the store names the versions of origins; resolves with whether it does. */
const nameVersions = async (ledger: Pick<VersionLedger, 'ensureNamed'>, origins: readonly StreamOrigin[]): Promise<boolean> => {
	for (const [service, ofService] of groupBy(origins, origin => origin.service)) {
		for (const version of new Set(ofService.map(origin => origin.version))) {
			if (await ledger.ensureNamed(service, version) === undefined) {
				return false;
			}
		}
	}

	return true;
};

/**
Creates what a host keeps of streams in the store: the base version of each service, at which every stream began whose origin is not stored
(`createVersionLedger`), and the origins of streams of other versions (`createOriginRecorder`).
*/
export const createStoredStreams = ({host, store, hostCount, writesPerSecond, onNamed, isSettled, isListed, schedule, counter, now}: Options): StoredStreams => {
	const ledger = createVersionLedger({
		store, readGapMs, schedule, now, onNamed, isSettled, isListed,
	});
	const recorder = createOriginRecorder({
		host,
		store,
		nameVersions: async origins => nameVersions(ledger, origins),
		onDropped() {
			counter.increment('dropped');
		},
		intervalMs: () => planWriteInterval(hostCount(), writesPerSecond),
		schedule,
		now,
	});
	const readAllOrigins = createSharedRead(store.readAllOrigins, {gapMs: readGapMs, schedule, now});

	/** Whether the store need not have the origin of a stream, because it is that of all streams of which it has none. `earlier`: who may have stored the origin of an earlier attempt. */
	const isUnderstood = ({service, version}: StreamOrigin, earlier: EarlierAttempts): boolean => {
		const stored = ledger.trusted(service);
		const isFirst = earlier === 'nobody' || (earlier === 'any_host' && stored?.versions.length === 1);
		return stored?.base === version && isFirst;
	};

	const storeOrigin = async (kept: KeptOrigin, earlier: EarlierAttempts): Promise<boolean> => {
		// While the store takes no writes, the recorder tries again for all.
		if (!recorder.isAway()) {
			await ledger.ensureNamed(kept.origin.service, kept.origin.version);
		}

		if (isUnderstood(kept.origin, earlier)) {
			recorder.drop(kept);
			return true;
		}

		return recorder.write();
	};

	return {
		async record(kept, isTakeUp) {
			const earlierElsewhere = isTakeUp ? 'any_host' : 'nobody';
			const earlier: EarlierAttempts = recorder.has(kept.key) ? 'this_host' : earlierElsewhere;
			if (isUnderstood(kept.origin, earlier)) {
				return;
			}

			// Kept before anything is awaited, so that a later attempt finds it.
			recorder.keep(kept);
			if (!await untilTimeout(storeOrigin(kept, earlier), maxRecordWaitMs, schedule)) {
				counter.increment('unrecorded');
			}
		},
		async find(key, services, likely) {
			const found = await findStoredOrigin(key, {services, likely}, {ledger, readAllOrigins});
			counter.increment(found.type === 'known' ? `found_by_${found.by}` : found.type);
			return found;
		},
		ensureRead: ledger.ensureRead,
		readAgain: ledger.readAgain,
		preferredVersion: service => recorder.isAway() ? ledger.trusted(service)?.base : undefined,
		noteListed: ledger.noteListed,
		end: recorder.end,
		noteRestored() {
			ledger.noteRestored();
			recorder.noteRestored();
		},
		close: recorder.close,
	};
};
