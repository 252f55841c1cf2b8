import type {Result} from '@deckwheel/core';
import type {ListedHost} from './listed-host.js';
import type {StoreError} from './store-error.js';
import type {StoredObject} from './stored-object.js';

/**
The platform that the hosts run on: an object API with conditional updates and watches, and a host list that lags.

Code that needs the platform takes this type, so that another adapter can replace `connectPlatform`.
*/
export type Platform = {
	/** Reads an object. Fails with `missing` if the object does not exist. */
	readonly get: (key: string) => Promise<Result<StoredObject, StoreError>>;
	/** Reads all objects whose keys start with a prefix. */
	readonly list: (prefix: string) => Promise<Result<readonly StoredObject[], StoreError>>;
	/**
	Writes an object if its version is the expected one. Fails with `conflict` otherwise.

	@param expectedVersion 0 if the object must not exist yet.
	@returns The object with its new version.
	*/
	readonly put: (key: string, value: unknown, expectedVersion: number) => Promise<Result<StoredObject, StoreError>>;
	/** Waits for a version of an object above `afterVersion`. Fails with `missing` if the platform ends the watch without such a version. */
	readonly watch: (key: string, afterVersion: number, signal: AbortSignal) => Promise<Result<StoredObject, StoreError>>;
	/** Reads the host list. */
	readonly hosts: () => Promise<Result<readonly ListedHost[], StoreError>>;
};
