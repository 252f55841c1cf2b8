import type {OriginStore} from '../../../adapter/origin-store.js';
import type {Schedule} from '../../../adapter/schedule.js';
import type {ServiceVersions} from '../../../adapter/service-versions.js';
import type {StoredVersions} from '../../../adapter/stored-versions.js';
import {createSharedRead} from './create-shared-read.js';
import {mergeRestoredVersions} from './merge-restored-versions.js';
import {planServiceVersions} from './plan-service-versions.js';
import type {VersionLedger} from './version-ledger.js';

/** How often a write is tried anew after another host's. More hosts than that seldom write at the same moment, since one write serves all. */
const maxWrites = 5;

type Options = {
	readonly store: Pick<OriginStore, 'readVersions' | 'writeVersions'>;
	/** The shortest time between two reads for take-ups, in ms. */
	readonly readGapMs: number;
	readonly schedule: Schedule;
	/** Monotonic ms. */
	readonly now: () => number;
	/** Called with each version that is stored, when this host first reads of it. */
	readonly onNamed: (service: string, version: string) => void;
	/** Whether no stream of another version of the service can be taken up any more, as far as this host knows. */
	readonly isSettled: (service: string, version: string) => boolean;
	/** Whether endpoints of the version are listed. */
	readonly isListed: (service: string, version: string) => boolean;
};

const find = (stored: StoredVersions | undefined, service: string): ServiceVersions | undefined =>
	stored?.services.find(entry => entry.service === service);

const put = ({services, revision}: StoredVersions, entry: ServiceVersions): StoredVersions =>
	({services: [...services.filter(({service}) => service !== entry.service), entry], revision});

const nameOf = (service: string, version: string): string => JSON.stringify([service, version]);

/** Creates a ledger that has read nothing. */
export const createVersionLedger = ({store, readGapMs, schedule, now, onNamed, isSettled, isListed}: Options): VersionLedger & {readonly noteListed: () => void} => {
	let stored: StoredVersions | undefined;
	/** What was stored before the store was restored, to be stored again. */
	let beforeRestore: StoredVersions | undefined;
	const named = new Set<string>();
	/** The services whose base left the list since it was read. While it was away, another host may have changed the base. */
	const distrusted = new Set<string>();

	const takeIn = (read: StoredVersions): StoredVersions => {
		stored = read;
		distrusted.clear();
		for (const {service, versions} of read.services) {
			for (const version of versions) {
				const name = nameOf(service, version);
				if (!named.has(name)) {
					named.add(name);
					onNamed(service, version);
				}
			}
		}

		noteListed();
		return read;
	};

	const noteListed = (): void => {
		for (const {service, base} of stored?.services ?? []) {
			if (!isListed(service, base)) {
				distrusted.add(service);
			}
		}
	};

	/** Takes in what the store holds, after storing again what a restore has lost; `undefined` where that fails. */
	const takeInMerged = async (read: StoredVersions): Promise<StoredVersions | undefined> => {
		let now: StoredVersions | undefined = read;
		for (let writes = 0; now !== undefined && writes < maxWrites; writes++) {
			const merged: StoredVersions['services'] | undefined = beforeRestore && mergeRestoredVersions(now.services, beforeRestore.services);
			if (merged === undefined) {
				beforeRestore = undefined;
				return takeIn(now);
			}

			now = await store.writeVersions({services: merged, revision: now.revision});
		}

		return undefined;
	};

	const readNow = createSharedRead(async () => {
		const read = await store.readVersions();
		return read && takeInMerged(read);
	}, {gapMs: 0, schedule, now});

	/** For take-ups, which may come all at once. */
	const readRecently = createSharedRead(readNow, {gapMs: readGapMs, schedule, now});

	const write = async (next: StoredVersions, service: string, version: string): Promise<StoredVersions | undefined> => {
		// This host sends there, so it need not be told of the version.
		named.add(nameOf(service, version));
		const written = await store.writeVersions(next);
		return written && takeInMerged(written);
	};

	const nameInStore = async (service: string, version: string): Promise<ServiceVersions | undefined> => {
		let now = await readNow();
		for (let writes = 0; now !== undefined && writes < maxWrites; writes++) {
			const next = planServiceVersions(find(now, service), {service, version, isSettled: isSettled(service, version)});
			if (next === undefined) {
				return find(now, service);
			}

			now = await write(put(now, next), service, version);
		}

		return undefined;
	};

	/** The names that are being written. */
	const naming = new Map<string, Promise<ServiceVersions | undefined>>();

	return {
		trusted: service => distrusted.has(service) ? undefined : find(stored, service),
		noteListed,
		ensureRead: async () => stored !== undefined || await readNow() !== undefined,
		async readAgain() {
			const read = await readRecently();
			return read && {of: service => find(read, service)};
		},
		async ensureNamed(service, version) {
			const now = find(stored, service);
			const isUntrustedBase = now !== undefined && distrusted.has(service) && isListed(service, now.base);
			if (now && !isUntrustedBase && planServiceVersions(now, {service, version, isSettled: isSettled(service, version)}) === undefined) {
				return now;
			}

			const name = nameOf(service, version);
			const current = naming.get(name) ?? nameInStore(service, version);
			naming.set(name, current);
			try {
				return await current;
			} finally {
				naming.delete(name);
			}
		},
		noteRestored() {
			beforeRestore = stored ?? beforeRestore;
			stored = undefined;
		},
	};
};
