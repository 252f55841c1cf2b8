import type {EventCounter} from '@deckwheel/host-kit';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import {createOriginExchange} from './create-origin-exchange.js';
import {createOriginTable} from './create-origin-table.js';
import {createServiceVersions} from './create-service-versions.js';
import type {FoundOrigin} from './found-origin.js';
import type {StreamOrigins} from './stream-origins.js';
import {toWireOrigin} from './to-wire-origin.js';
import {versionMemoryMs} from './version-memory-ms.js';
import type {OriginsMessage} from './wire/origins-message.js';
import type {OriginsReply} from './wire/origins-reply.js';
import type {WireOrigin} from './wire/wire-origin.js';
import type {WireVersion} from './wire/wire-version.js';

type Options = {
	/** These three are as for `createOriginExchange`. */
	readonly self: () => ListedPeer;
	readonly others: () => readonly ListedPeer[];
	readonly sendOrigins: (address: string, message: Omit<OriginsMessage, 'type'>) => Promise<OriginsReply | undefined>;
	readonly counter: Pick<EventCounter, 'increment'>;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Creates a record without origins.

While a service has one version, this host remembers its own streams and tells nobody. Once it has several, each attempt of a stream is
told, when it is sent, to two hosts of each hall (`createOriginExchange`); streams that were under way when the second version came are told
then. A host at which a caller takes a stream up asks these hosts. The store takes no part: it may be out of reach, and each stream would cost a call.
*/
export const createStreamOrigins = ({counter, now, ...peers}: Options): StreamOrigins => {
	const table = createOriginTable(now);
	const versions = createServiceVersions(now);
	const startedAt = now();
	const exchange = createOriginExchange({
		...peers,
		table,
		onReply(reply) {
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

	const findElsewhere = async (key: string, services: readonly string[]): Promise<FoundOrigin> => {
		const isMixed = (): boolean => services.some(service => versions.isMixed(service));
		// A host that has just started does not know of versions that served before; one that lags, of those that came since.
		const isRecent = now() - startedAt < versionMemoryMs;
		const near = isMixed() ? undefined : await exchange.ask(key, isRecent ? 'all_halls' : 'own_hall');
		if (!isMixed()) {
			return {type: 'single'};
		}

		const found = near ?? await exchange.ask(key, 'all_halls');
		counter.increment(found ? 'found' : 'unknown');
		return found
			? {
				type: 'known', origin: found.kept.origin, by: 'peer', from: found.from, ageMs: now() - found.kept.notedAt,
			}
			: {type: 'unknown'};
	};

	return {
		list(endpoints) {
			for (const service of versions.list(endpoints)) {
				tellOwn(service);
			}
		},
		async noteSent(sent) {
			const kept = {...sent, notedAt: now()};
			table.keepOwn(kept);
			if (versions.isMixed(kept.origin.service)) {
				await exchange.tell([kept]);
			}
		},
		noteWhole: table.endOwn,
		async findOrigin(key, services) {
			const kept = table.get(key);
			return kept
				? {
					type: 'known', origin: kept.origin, by: 'own', ageMs: now() - kept.notedAt,
				}
				: findElsewhere(key, services);
		},
		answerOrigins({told, asked}) {
			takeInAll(told);
			return {
				known: asked.map(key => table.get(key)).filter(kept => kept !== undefined).map(kept => toWireOrigin(kept, now())),
				versions: versions.mixed().map(({service, version, until}) => ({service, version, keepMs: until - now()})),
			};
		},
	};
};
