import type {RightsObject} from '@deckwheel/ledger';
import type {StoreError} from '@deckwheel/store-client';
import type {Context} from '../process/context.js';
import {rightsObjectSchema} from './rights-object-schema.js';

/** An object of rights as the store gave it last. */
type CachedRights = {
	readonly version: number;
	readonly rights: RightsObject;
	/** Monotonic ms. */
	readonly readAt: number;
};

/** The objects of rights of slots, as last seen in the store. */
type RightsCache = {
	readonly get: (slot: number) => CachedRights | undefined;
	/** Reads an object anew. `false` where the store does not answer, or with something else. */
	readonly read: (slot: number) => Promise<boolean>;
	/** Writes an object under the condition that it has not changed. */
	readonly write: (slot: number, rights: RightsObject, version: number) => Promise<StoreError | undefined>;
	readonly forget: (slot: number) => void;
};

/** Creates a cache that knows no object. */
export const createRightsCache = ({clock, platform, log, metrics}: Context): RightsCache => {
	const objects = new Map<number, CachedRights>();
	const keep = (slot: number, version: number, rights: RightsObject): void => {
		objects.set(slot, {version, rights, readAt: clock.monotonic()});
	};

	return {
		get: slot => objects.get(slot),
		async read(slot) {
			const outcome = await platform.get(`rights/${slot}`);
			if (!outcome.ok) {
				if (outcome.error === 'missing') {
					keep(slot, 0, {budgets: {}});
				}

				return outcome.error === 'missing';
			}

			const parsed = rightsObjectSchema.safeParse(outcome.value.value);
			if (!parsed.success) {
				log('error', 'rights_unusable', {slot});
				return false;
			}

			keep(slot, outcome.value.version, parsed.data);
			return true;
		},
		async write(slot, rights, version) {
			const outcome = await platform.put(`rights/${slot}`, rights, version);
			metrics.count('rights.write', {outcome: outcome.ok ? 'ok' : outcome.error});
			if (!outcome.ok) {
				objects.delete(slot);
				return outcome.error;
			}

			keep(slot, outcome.value.version, rights);
			return undefined;
		},
		forget(slot) {
			objects.delete(slot);
		},
	};
};
