import type {RightsStore} from '../../adapter/rights-store.js';
import type {StoredRights} from '../../adapter/stored-rights.js';
import type {KnownSlot} from './known-slot.js';
import {mergeRestored} from './merge-restored.js';
import type {StoreState} from './store-state.js';

/**
Before a write, the store is peeked at if the cached object is older than this, in ms. A peek costs a tenth of a call; a write
that meets a conflict costs a whole call.
*/
const peekAfterMs = 200;

/** How long a peek may take, in ms. The store usually replies in a few ms; if it is slower, the write is made without the peek and may meet a conflict. */
const peekTimeoutMs = 100;

/** The objects of the slots as this host last read them from the store. */
type SlotCache = {
	readonly get: (slot: number) => KnownSlot | undefined;
	/** Caches an object that the store has just returned. */
	readonly note: (slot: number, stored: StoredRights) => KnownSlot;
	/** Reads the object from the store and caches it; `undefined` if that failed. */
	readonly read: (slot: number) => Promise<KnownSlot | undefined>;
	/** Peeks at the store unless `known` was read a moment ago. Returns the newer of the peeked and the cached object. */
	readonly refresh: (slot: number, known: KnownSlot) => Promise<KnownSlot>;
};

type Options = {
	readonly store: RightsStore;
	readonly state: StoreState;
	/** Called when the era of an object shows that the store was restored from an older copy. */
	readonly onRestored: () => void;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Creates an empty cache. When an object is of a later era than the cached one, the store was restored in between; the cached rights are then merged into the restored ones. */
export const createSlotCache = ({store, state, onRestored, now}: Options): SlotCache => {
	const slots = new Map<number, KnownSlot>();

	const update = (slot: number, stored: StoredRights, readAt: number): KnownSlot => {
		const known = slots.get(slot);
		const {era = 0} = stored;
		const isRestored = known !== undefined && era > (known.era ?? 0);
		const rights = isRestored ? mergeRestored(known.rights, stored.rights, era) : stored.rights;
		const updated = {...stored, rights, readAt};
		slots.set(slot, updated);
		if (isRestored) {
			onRestored();
		}

		return updated;
	};

	const note: SlotCache['note'] = (slot, stored) => update(slot, stored, now());

	return {
		get: slot => slots.get(slot),
		note,
		async read(slot) {
			const outcome = await store.read(`slot-${slot}`);
			state.note(outcome.ok || outcome.error.type === 'unreadable');
			return outcome.ok ? note(slot, outcome.value) : undefined;
		},
		// Without a peek, most writes would conflict with a write of another hall. A peek may show an older revision, which is ignored.
		// A newer one keeps the `readAt` of the cached object: a peek does not tell how old the object that it shows is.
		async refresh(slot, known) {
			if (!state.isUp() || now() - known.readAt < peekAfterMs) {
				return known;
			}

			const peeked = await store.peek(`slot-${slot}`, peekTimeoutMs);
			const latest = slots.get(slot) ?? known;
			return !peeked || peeked.revision <= latest.revision ? latest : update(slot, peeked, latest.readAt);
		},
	};
};
