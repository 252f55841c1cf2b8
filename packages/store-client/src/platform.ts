import type {Result} from '@deckwheel/core';
import type {ListedHost} from './listed-host.js';
import type {StoreError} from './store-error.js';
import type {StoredObject} from './stored-object.js';

/**
The platform as the system sees it: an object API with conditional updates and watches, and a lagging list of hosts.

Everything that needs it takes this type, so that another adapter can stand in.
*/
export type Platform = {
	readonly get: (key: string) => Promise<Result<StoredObject, StoreError>>;
	/** Lists the objects whose keys begin with a prefix. */
	readonly list: (prefix: string) => Promise<Result<readonly StoredObject[], StoreError>>;
	/**
	Writes an object if it still has the expected version.

	@param expected 0 when the object must not exist yet.
	*/
	readonly put: (key: string, value: unknown, expected: number) => Promise<Result<StoredObject, StoreError>>;
	/** Waits for a version above `after`. Fails with `missing` when none came within the platform's own time. */
	readonly watch: (key: string, after: number, signal: AbortSignal) => Promise<Result<StoredObject, StoreError>>;
	readonly hosts: () => Promise<Result<readonly ListedHost[], StoreError>>;
};
