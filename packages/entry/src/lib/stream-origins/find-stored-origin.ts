import type {OriginStore} from '../../adapter/origin-store.js';
import type {StoredOrigin} from '../../adapter/stored-origin.js';
import type {FoundOrigin} from './found-origin.js';
import type {VersionLedger} from './version-ledger.js';

type Options = {
	readonly ledger: Pick<VersionLedger, 'readAgain'>;
	/** Reads the origins that all hosts keep in the store. */
	readonly readAllOrigins: OriginStore['readAllOrigins'];
};

const latestOf = (origins: readonly StoredOrigin[]): StoredOrigin | undefined => {
	const [first, ...others] = origins;
	let latest = first;
	for (const origin of others) {
		latest = origin.attempt > latest!.attempt ? origin : latest;
	}

	return latest;
};

/**
Finds in the store where a stream began, which outlives all hosts.

@param service The service at which the stream began if its origin is not stored.
*/
export const findStoredOrigin = async (key: string, service: string, {ledger, readAllOrigins}: Options): Promise<FoundOrigin> => {
	const versions = await ledger.readAgain();
	const stored = versions?.of(service);
	if (versions === undefined) {
		return {type: 'unreadable'};
	}

	if (stored === undefined) {
		return {type: 'unknown'};
	}

	const base: FoundOrigin = {type: 'known', origin: {service, version: stored.base, attempt: 0}, by: 'base'};
	if (stored.versions.length === 1) {
		return base;
	}

	const origins = await readAllOrigins();
	if (origins === undefined) {
		return {type: 'unreadable'};
	}

	const found = latestOf(origins.filter(origin => origin.key === key));
	return found ? {type: 'known', origin: {service: found.service, version: found.version, attempt: found.attempt}, by: 'store'} : base;
};
