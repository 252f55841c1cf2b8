import type {OriginStore} from '../../../adapter/origin-store.js';
import type {StoredOrigin} from '../../../adapter/stored-origin.js';
import type {FoundOrigin} from '../found-origin.js';
import type {TakenUp} from '../taken-up.js';
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

/** Finds in the store where a stream began, which outlives all hosts. */
export const findStoredOrigin = async (key: string, {services, likely}: Pick<TakenUp, 'services' | 'likely'>, {ledger, readAllOrigins}: Options): Promise<FoundOrigin> => {
	const versions = await ledger.readAgain();
	if (versions === undefined) {
		return {type: 'unreadable'};
	}

	// Shares of a route may have changed since the stream began, so it may be of any service.
	if (services.some(service => (versions.of(service)?.versions.length ?? 0) > 1)) {
		const origins = await readAllOrigins();
		if (origins === undefined) {
			return {type: 'unreadable'};
		}

		const found = latestOf(origins.filter(origin => origin.key === key));
		if (found) {
			return {type: 'known', origin: {service: found.service, version: found.version, attempt: found.attempt}, by: 'store'};
		}
	}

	const stored = versions.of(likely);
	return stored ? {type: 'known', origin: {service: likely, version: stored.base, attempt: 0}, by: 'base'} : {type: 'unknown'};
};
