import {doublingDelay} from '@deckwheel/core';
import {LRUCache} from 'lru-cache';
import type {OriginStore} from '../../../adapter/origin-store.js';
import type {Schedule} from '../../../adapter/schedule.js';
import type {StoredOrigin} from '../../../adapter/stored-origin.js';
import type {KeptOrigin} from '../kept-origin.js';
import type {StreamOrigin} from '../stream-origin.js';
import type {OriginRecorder} from './origin-recorder.js';

/** The delay after the first failed write, in ms. It doubles with each further one. */
const firstRetryDelayMs = 100;

/** The longest delay between two failed writes, in ms: streams that begin meanwhile are known to hosts alone. */
const maxRetryDelayMs = 1000;

/** The most origins that a host keeps in the store: a bound on the bytes of a write, some 200 KB. */
const maxRecorded = 2000;

/** The shortest time to live that `lru-cache` accepts for an entry, in ms. */
const minTtlMs = 1;

type Options = {
	readonly host: string;
	readonly store: Pick<OriginStore, 'readOrigins' | 'writeOrigins'>;
	/** Makes sure that the store names the versions of these origins; resolves with whether it does. Called before each write. */
	readonly nameVersions: (origins: readonly StreamOrigin[]) => Promise<boolean>;
	/** Called when an origin is dropped because the host keeps too many. */
	readonly onDropped: () => void;
	/** The interval between two writes, in ms. */
	readonly intervalMs: () => number;
	readonly schedule: Schedule;
	/** Monotonic ms. */
	readonly now: () => number;
};

type Waiter = {readonly resolve: (isRecorded: boolean) => void};

/** Creates a recorder that has recorded nothing. One write is under way at a time; it holds all that the host keeps. */
export const createOriginRecorder = ({host, store, nameVersions, onDropped, intervalMs, schedule, now}: Options): OriginRecorder => {
	const kept = new LRUCache<string, KeptOrigin>({
		max: maxRecorded,
		ttl: minTtlMs,
		ttlResolution: 0,
		perf: {now},
		dispose(_value, _key, reason) {
			if (reason === 'evict') {
				onDropped();
			}
		},
	});
	/** The revision of this host's object; `undefined` before it was read, and after a write that may have been done or not. */
	let revision: number | undefined;
	let waiters: readonly Waiter[] = [];
	let failures = 0;
	let isBusy = false;
	let isClosed = false;
	let hasInherited = false;
	let lastWriteAt = Number.NEGATIVE_INFINITY;

	const keep = (origin: KeptOrigin): void => {
		const known = kept.get(origin.key);
		if (known && known.origin.attempt > origin.origin.attempt) {
			return;
		}

		kept.set(origin.key, origin, {ttl: Math.max(minTtlMs, origin.keepUntil - now())});
	};

	/** Takes in what an earlier life of this host left. */
	const inherit = (origins: readonly StoredOrigin[]): void => {
		hasInherited = true;
		for (const {key, service, version, attempt, keepMs} of origins) {
			keep({
				key, origin: {service, version, attempt}, keepUntil: now() + keepMs, notedAt: now(),
			});
		}
	};

	const toStored = ({key, origin, keepUntil}: KeptOrigin): StoredOrigin => ({key, ...origin, keepMs: Math.round(Math.max(0, keepUntil - now()))});

	const readOwn = async (): Promise<number | undefined> => {
		const stored = await store.readOrigins(host);
		if (stored && !hasInherited) {
			inherit(stored.origins);
		}

		return stored?.revision;
	};

	/** Writes all that is kept; returns whether the store has it. */
	const writeAll = async (): Promise<boolean> => {
		if (!await nameVersions([...kept.values()].map(({origin}) => origin))) {
			return false;
		}

		revision ??= await readOwn();
		if (revision === undefined) {
			return false;
		}

		const before = revision;
		revision = undefined;
		revision = await store.writeOrigins(host, {origins: [...kept.values()].map(origin => toStored(origin)), revision: before});
		return revision !== undefined;
	};

	const runWrite = async (): Promise<void> => {
		if (isClosed) {
			return;
		}

		lastWriteAt = now();
		const waiting = waiters;
		waiters = [];
		const isWritten = await writeAll();
		failures = isWritten ? 0 : failures + 1;
		isBusy = false;
		for (const {resolve} of isWritten ? waiting : [...waiting, ...waiters]) {
			resolve(isWritten);
		}

		if (!isWritten) {
			waiters = [];
		}

		if (!isWritten || waiters.length > 0) {
			writeSoon();
		}
	};

	const writeSoon = (): void => {
		if (isBusy || isClosed) {
			return;
		}

		isBusy = true;
		const dueAt = failures === 0
			? lastWriteAt + intervalMs()
			: now() + doublingDelay({firstMs: firstRetryDelayMs, maxMs: maxRetryDelayMs, doublings: failures - 1});
		schedule(Math.max(0, dueAt - now()), () => {
			void runWrite();
		});
	};

	return {
		keep,
		drop(origin) {
			if (kept.get(origin.key)?.origin.attempt === origin.origin.attempt) {
				kept.delete(origin.key);
			}
		},
		async write() {
			// While writes fail, the next one, which is due, takes it along.
			if (failures > 0 || isClosed) {
				return false;
			}

			return new Promise(resolve => {
				waiters = [...waiters, {resolve}];
				writeSoon();
			});
		},
		has: key => kept.has(key),
		end(key) {
			kept.delete(key);
		},
		isAway: () => failures > 0,
		noteRestored() {
			revision = undefined;
			writeSoon();
		},
		close() {
			isClosed = true;
			for (const {resolve} of waiters) {
				resolve(false);
			}

			waiters = [];
		},
	};
};
