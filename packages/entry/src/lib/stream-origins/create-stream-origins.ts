import type {EventCounter} from '@deckwheel/host-kit';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {OriginStore} from '../../adapter/origin-store.js';
import type {Schedule} from '../../adapter/schedule.js';
import {createListProof} from './create-list-proof.js';
import {createOriginExchange} from './create-origin-exchange.js';
import {createOriginTable} from './create-origin-table.js';
import {createServedVersions} from './create-served-versions.js';
import {createServiceVersions} from './create-service-versions.js';
import {createVersionProof} from './create-version-proof.js';
import {createStoredStreams} from './stored/create-stored-streams.js';
import type {FoundOrigin} from './found-origin.js';
import type {StreamOrigins} from './stream-origins.js';
import type {TakenUp} from './taken-up.js';
import {toWireOrigin} from './to-wire-origin.js';
import {versionMemoryMs} from './version-memory-ms.js';
import type {OriginsMessage} from './wire/origins-message.js';
import type {OriginsReply} from './wire/origins-reply.js';
import type {WireOrigin} from './wire/wire-origin.js';
import type {WireVersion} from './wire/wire-version.js';

type Options = {
	/** The name of this host, the same over its restarts. */
	readonly host: string;
	/** These four are as for `createOriginExchange`. */
	readonly self: () => ListedPeer;
	readonly others: () => readonly ListedPeer[];
	readonly sendOrigins: (address: string, message: Omit<OriginsMessage, 'type'>, timeoutMs?: number) => Promise<OriginsReply | undefined>;
	readonly listConfirmMs: number;
	readonly store: OriginStore;
	/** The writes a second that the store accepts of all hosts together. */
	readonly writesPerSecond: number;
	readonly schedule: Schedule;
	readonly counter: Pick<EventCounter, 'increment'>;
	/** Monotonic ms. */
	readonly now: () => number;
	/** When this process resumed after its last stop, in elapsed ms. */
	readonly resumedAt: () => number;
	/** Elapsed ms, suspensions included. */
	readonly elapsed: () => number;
};

/**
Creates a record without origins.

While a service has one version, this host remembers its own streams and tells nobody. Once it has several, each attempt of a stream is
told, when it is sent, to two hosts of each hall (`createOriginExchange`); streams that were under way when the second version came are told
then. A host at which a caller takes a stream up asks these hosts, and the store where they cannot show that there is no other version.

What must outlive all hosts is in the store (`createStoredStreams`). While hosts of all halls reply, a service with one version costs one read in a host's life.
*/
export const createStreamOrigins = ({host, store, listConfirmMs, writesPerSecond, schedule, counter, now, resumedAt, elapsed, ...peers}: Options): StreamOrigins => {
	const table = createOriginTable(now);
	const versions = createServiceVersions(now);
	const listProof = createListProof({confirmMs: listConfirmMs, resumedAt, elapsed});
	const served = createServedVersions({listProof, now, elapsed});
	const startedAt = now();
	/** Whether versions that nobody lists any more may have streams of which this host was not told: it started a short time ago. */
	const isRecent = (): boolean => now() - startedAt < versionMemoryMs;
	const stored = createStoredStreams({
		host,
		store,
		hostCount: () => peers.others().length + 1,
		writesPerSecond,
		onNamed(service, version) {
			if (versions.hear(service, version, now() + versionMemoryMs)) {
				tellOwn(service);
			}
		},
		isSettled: (service, version) => !isRecent() && versions.onlyOf(service) === version,
		isListed: versions.isListed,
		schedule,
		counter,
		now,
	});
	/** When a peer that has been up for long last replied, in monotonic ms. */
	let settledReplyAt = Number.NEGATIVE_INFINITY;
	const exchange = createOriginExchange({
		...peers,
		table,
		listConfirmMs,
		onReply(reply) {
			settledReplyAt = reply.isSettled ? now() : settledReplyAt;
			for (const version of reply.versions) {
				hear(version);
			}

			takeInAll(reply.known);
		},
		counter,
		now,
	});

	const tellOwn = (service: string): void => {
		const told = table.ownAt(service);
		if (told.length > 0) {
			void exchange.tell(told);
		}
	};

	const hear = ({service, version, keepMs}: WireVersion): void => {
		if (versions.hear(service, version, now() + keepMs)) {
			tellOwn(service);
		}
	};

	const takeInAll = (origins: readonly WireOrigin[]): void => {
		for (const wire of origins) {
			const {key, service, version, attempt, keepMs, ageMs} = wire;
			table.keep({
				key, origin: {service, version, attempt}, keepUntil: now() + keepMs, notedAt: now() - ageMs,
			});
			hear(wire);
		}
	};

	const proveVersions = createVersionProof({
		isRecent,
		hasSettledReply: since => settledReplyAt >= since,
		hasPeers: () => peers.others().length > 0,
		stored,
		schedule,
	});

	const findElsewhere = async (key: string, {services, likely, hasEvents}: TakenUp): Promise<FoundOrigin> => {
		const isMixed = (): boolean => services.some(service => versions.isMixed(service));
		const askedAt = now();
		const {found, heard, recent} = await exchange.ask(key, services);
		if (found) {
			counter.increment('found');
			return {
				type: 'known', origin: found.kept.origin, by: 'peer', from: found.from, ageMs: now() - found.kept.notedAt,
			};
		}

		const by = isMixed() ? undefined : await proveVersions(askedAt, heard, async () => exchange.readAtPeers(recent, services));
		if (isMixed()) {
			return hasEvents ? stored.find(key, services, likely) : {type: 'unknown'};
		}

		if (by === undefined) {
			counter.increment('unreadable');
			return {type: 'unreadable'};
		}

		return {
			type: 'single', version: versions.onlyOf(likely), by, listAgeMs: listProof.ageMs(),
		};
	};

	return {
		list(endpoints) {
			served.list(endpoints);
			const mixed = versions.list(endpoints);
			stored.noteListed();
			for (const service of mixed) {
				tellOwn(service);
			}
		},
		listConfirmed: listProof.confirm,
		async noteSent(sent) {
			const {key, origin, keepUntil} = sent;
			const kept = {
				key, origin, keepUntil, notedAt: now(),
			};
			table.keepOwn(kept);
			await Promise.all([
				stored.record(kept, sent.isTakeUp),
				versions.isMixed(origin.service) ? exchange.tell([kept]) : undefined,
			]);
		},
		noteWhole(key) {
			table.endOwn(key);
			stored.end(key);
		},
		async findOrigin(key, takenUp) {
			const kept = table.get(key);
			return kept
				? {
					type: 'known', origin: kept.origin, by: 'own', ageMs: now() - kept.notedAt,
				}
				: findElsewhere(key, takenUp);
		},
		preferredVersion: stored.preferredVersion,
		findGone: served.findGone,
		noteRestored: stored.noteRestored,
		async answerOrigins({told, asked, services, wantsStored}) {
			takeInAll(told);
			const isStoreRead = wantsStored && await stored.readAgain() !== undefined;
			return {
				known: asked.map(key => table.get(key)).filter(kept => kept !== undefined).map(kept => toWireOrigin(kept, now())),
				versions: versions.tell(services).map(({service, version, until}) => ({service, version, keepMs: until - now()})),
				isSettled: !isRecent(),
				listAgeMs: listProof.toldAgeMs(),
				isStoreRead,
			};
		},
		close: stored.close,
	};
};
