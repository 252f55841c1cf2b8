import type {ServiceVersions} from '../../../adapter/service-versions.js';

type Known = {
	readonly service: string;
	/** The version of the endpoint that a stream is sent to. */
	readonly version: string;
	/** Whether no stream of another version than that one can be taken up any more, as far as this host knows. */
	readonly isSettled: boolean;
};

/**
Returns what has to be stored of a service before a stream of it is sent to a version, and `undefined` where that is stored already. Pure.

The base changes only once no stream of another version can be taken up any more: until then, a stream whose origin is not stored may be
one of the old base.
*/
export const planServiceVersions = (stored: ServiceVersions | undefined, {service, version, isSettled}: Known): ServiceVersions | undefined => {
	if (stored === undefined || (isSettled && (stored.base !== version || stored.versions.length > 1))) {
		return {service, base: version, versions: [version]};
	}

	return stored.versions.includes(version) ? undefined : {...stored, versions: [...stored.versions, version]};
};
