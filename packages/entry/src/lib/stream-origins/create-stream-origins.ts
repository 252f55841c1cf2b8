import {chunksOf, groupBy, pickInEachHall} from '@deckwheel/core';
import type {EventCounter} from '@deckwheel/host-kit';
import {LRUCache} from 'lru-cache';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import {createServiceVersions} from './create-service-versions.js';
import type {FoundOrigin} from './found-origin.js';
import type {KeptOrigin} from './kept-origin.js';
import {versionMemoryMs} from './version-memory-ms.js';
import type {StreamOrigins} from './stream-origins.js';
import type {OriginsMessage} from './wire/origins-message.js';
import type {OriginsReply} from './wire/origins-reply.js';
import type {WireOrigin} from './wire/wire-origin.js';
import type {WireVersion} from './wire/wire-version.js';

/** The number of hosts in each hall that keep the origin of one stream: two, since one may be down, or restart without what it kept. */
const keepersPerHall = 2;

/** The number of hosts in each hall that are asked: one more, since a host that joins takes the place of one that was told. */
const askedPerHall = keepersPerHall + 1;

/** The most origins that a host keeps: a bound on memory. */
const maxOrigins = 6000;

/** The most streams of its own callers that a host remembers while no other host is told of them: a bound on memory. */
const maxOwn = 1000;

/** The most origins that are sent in one message. */
const maxPerMessage = 100;

/** The shortest time to live that `lru-cache` accepts for an entry, in ms. */
const minTtlMs = 1;

/** Resolves with the first of some values that comes, and with `undefined` once none can come any more. */
const firstOf = async <T>(values: ReadonlyArray<Promise<T>>): Promise<T | undefined> => {
	try {
		return await Promise.any(values);
	} catch {
		// All were rejected, for want of a reply or of what was asked for; the counters tell how often.
		return undefined;
	}
};

type Options = {
	/** This host, as it is listed in the directory. */
	readonly self: () => ListedPeer;
	/** All other listed hosts, of every hall. */
	readonly others: () => readonly ListedPeer[];
	/** Sends one peer a message and returns the peer's reply; `undefined` when no valid reply came in time. */
	readonly sendOrigins: (address: string, message: Omit<OriginsMessage, 'type'>) => Promise<OriginsReply | undefined>;
	readonly counter: Pick<EventCounter, 'increment'>;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Creates a record without origins.

While a service has one version, this host remembers its own streams and tells nobody. Once it has several, each attempt of a stream is
told, when it is sent, to two hosts of each hall (`pickInEachHall`); streams that were under way when the second version came are told
then. A host at which a caller takes a stream up asks these hosts. The store takes no part: it may be out of reach, and each stream would cost a call.
*/
export const createStreamOrigins = ({self, others, sendOrigins, counter, now}: Options): StreamOrigins => {
	const cacheOptions = {ttl: minTtlMs, ttlResolution: 0, perf: {now}};
	const known = new LRUCache<string, KeptOrigin>({max: maxOrigins, ...cacheOptions});
	/** The streams of this host's own callers that are under way or were broken off. */
	const own = new LRUCache<string, KeptOrigin>({max: maxOwn, ...cacheOptions});
	const versions = createServiceVersions(now);
	const startedAt = now();

	const toWire = ({key, origin, keepUntil}: KeptOrigin): WireOrigin => ({key, ...origin, keepMs: Math.max(0, keepUntil - now())});

	const ttlOf = ({keepUntil}: KeptOrigin) => ({ttl: Math.max(minTtlMs, keepUntil - now())});

	const keep = (kept: KeptOrigin): void => {
		const before = known.get(kept.key);
		if (!before || before.origin.attempt <= kept.origin.attempt) {
			known.set(kept.key, kept, ttlOf(kept));
		}
	};

	const hear = ({service, version, keepMs}: WireVersion): void => {
		if (versions.hear(service, version, now() + keepMs)) {
			tellOwn(service);
		}
	};

	const takeIn = (wire: WireOrigin): void => {
		const {key, service, version, attempt, keepMs} = wire;
		keep({key, origin: {service, version, attempt}, keepUntil: now() + keepMs});
		hear(wire);
	};

	/** Sends a message to a peer and takes in the reply; rejects where none came. */
	const exchange = async (address: string, message: Omit<OriginsMessage, 'type'>): Promise<OriginsReply> => {
		const reply = await sendOrigins(address, message);
		if (!reply) {
			counter.increment('unanswered');
			throw new Error('no reply');
		}

		for (const version of reply.versions) {
			hear(version);
		}

		for (const origin of reply.known) {
			takeIn(origin);
		}

		return reply;
	};

	const peersFor = (key: string, perHall: number): readonly ListedPeer[] =>
		pickInEachHall(key, [self(), ...others()], perHall).filter(({address}) => address !== self().address);

	/** Tells each keeper its origins; resolves once one of them has taken some in, or none can. */
	const tell = async (told: readonly KeptOrigin[]): Promise<void> => {
		const byKeeper = groupBy(told.flatMap(kept => peersFor(kept.key, keepersPerHall).map(({address}) => ({address, kept}))), ({address}) => address);
		const messages = [...byKeeper].flatMap(([address, entries]) =>
			chunksOf(entries, maxPerMessage).map(chunk => ({address, told: chunk.map(({kept}) => toWire(kept))})));
		counter.increment('told', messages.length);
		const confirmations = messages.map(async ({address, told: origins}) => exchange(address, {told: origins, asked: []}));
		await firstOf(confirmations);
	};

	const tellOwn = (service: string): void => {
		const told = [...own.values()].filter(({origin}) => origin.service === service);
		if (told.length > 0) {
			void tell(told);
		}
	};

	/** Asks keepers of a stream; resolves with the first origin that one knows, and with `undefined` once all have replied, or had the time to. */
	const askKeepers = async (key: string, keepers: readonly ListedPeer[]): Promise<KeptOrigin | undefined> => {
		counter.increment('asked', keepers.length);
		const finds = keepers.map(async ({address}) => {
			await exchange(address, {told: [], asked: [key]});
			const kept = known.get(key);
			if (!kept) {
				throw new Error('not known');
			}

			return kept;
		});
		return firstOf(finds);
	};

	const findElsewhere = async (key: string, services: readonly string[]): Promise<FoundOrigin> => {
		const isMixed = (): boolean => services.some(service => versions.isMixed(service));
		const keepers = peersFor(key, askedPerHall);
		// A host that has started a while ago does not know of versions that served before; one that lags, of those that came since.
		const isRecent = now() - startedAt < versionMemoryMs;
		const near = isMixed() ? undefined : await askKeepers(key, keepers.filter(({hall}) => isRecent || hall === self().hall));
		if (!isMixed()) {
			return {type: 'single'};
		}

		const kept = near ?? await askKeepers(key, keepers);
		counter.increment(kept ? 'found' : 'unknown');
		return kept ? {type: 'known', origin: kept.origin} : {type: 'unknown'};
	};

	return {
		list(endpoints) {
			for (const service of versions.list(endpoints)) {
				tellOwn(service);
			}
		},
		async noteSent(sent) {
			keep(sent);
			own.set(sent.key, sent, ttlOf(sent));
			if (versions.isMixed(sent.origin.service)) {
				await tell([sent]);
			}
		},
		noteWhole(key) {
			own.delete(key);
		},
		async findOrigin(key, services) {
			const kept = known.get(key);
			return kept ? {type: 'known', origin: kept.origin} : findElsewhere(key, services);
		},
		answerOrigins({told, asked}) {
			for (const origin of told) {
				takeIn(origin);
			}

			return {
				known: asked.map(key => known.get(key)).filter(kept => kept !== undefined).map(kept => toWire(kept)),
				versions: versions.mixed().map(({service, version, until}) => ({service, version, keepMs: until - now()})),
			};
		},
	};
};
