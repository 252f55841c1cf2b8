import type {StoredOrigin} from './stored-origin.js';
import type {StoredOrigins} from './stored-origins.js';
import type {StoredVersions} from './stored-versions.js';

/**
The store of where streams began: what is known of them once all hosts have died. Each function resolves with `undefined` when the store
did not respond, refused the call, or holds what cannot be read.
*/
export type OriginStore = {
	readonly readVersions: () => Promise<StoredVersions | undefined>;
	/** Writes the versions of all services, if the object still has that revision. Resolves with what the store holds then. */
	readonly writeVersions: (versions: StoredVersions) => Promise<StoredVersions | undefined>;
	/** Reads the origins that one host keeps. */
	readonly readOrigins: (host: string) => Promise<StoredOrigins | undefined>;
	/** Replaces the origins that a host keeps, if the object still has that revision. Resolves with the new one. */
	readonly writeOrigins: (host: string, stored: StoredOrigins) => Promise<number | undefined>;
	/** Reads the origins that all hosts keep, dead ones included. */
	readonly readAllOrigins: () => Promise<readonly StoredOrigin[] | undefined>;
};
