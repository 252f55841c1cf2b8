import type {OriginStore} from '../../adapter/origin-store.js';
import type {StoredOrigins} from '../../adapter/stored-origins.js';
import type {StoredVersions} from '../../adapter/stored-versions.js';

/** A store of origins in memory, with a fault that a test can switch on. */
export type MemoryOriginStore = OriginStore & {
	readonly faults: {isDown: boolean};
	/** Counts the calls so far, refused ones included. */
	readonly calls: () => number;
	/** Returns a copy of what is stored. */
	readonly copy: () => MemoryOriginContents;
	/** Replaces what is stored with a copy. */
	readonly restore: (copy: MemoryOriginContents) => void;
};

type MemoryOriginContents = {readonly versions: StoredVersions; readonly origins: ReadonlyMap<string, StoredOrigins>};

/** Creates an empty store of origins that several hosts of a test can share. */
export const createMemoryOriginStore = (): MemoryOriginStore => {
	let versions: StoredVersions = {services: [], revision: 0};
	let origins: ReadonlyMap<string, StoredOrigins> = new Map();
	let calls = 0;
	let revisions = 0;
	const faults = {isDown: false};
	const respond = <T>(value: () => T): T | undefined => {
		calls++;
		return faults.isDown ? undefined : value();
	};

	const ownOf = (host: string): StoredOrigins => origins.get(host) ?? {origins: [], revision: 0};

	return {
		faults,
		calls: () => calls,
		copy: () => ({versions, origins}),
		restore(copy) {
			({versions, origins} = copy);
		},
		readVersions: async () => respond(() => versions),
		writeVersions: async next => respond(() => {
			versions = next.revision === versions.revision ? {services: next.services, revision: ++revisions} : versions;
			return versions;
		}),
		readOrigins: async host => respond(() => ownOf(host)),
		writeOrigins: async (host, next) => respond(() => {
			if (next.revision !== ownOf(host).revision) {
				return undefined;
			}

			origins = new Map([...origins, [host, {origins: next.origins, revision: ++revisions}]]);
			return revisions;
		}),
		readAllOrigins: async () => respond(() => [...origins.values()].flatMap(stored => stored.origins)),
	};
};
