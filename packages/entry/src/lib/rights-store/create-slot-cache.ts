import type {RightsStore} from '../../adapter/rights-store.js';
import type {StoredRights} from '../../adapter/stored-rights.js';
import type {KnownSlot} from './known-slot.js';
import {mergeRestored} from './merge-restored.js';
import type {StoreState} from './store-state.js';

/**
A look at the store before a write is worth it when what is known is older than this, in ms. A look costs a tenth of a
call, a write that meets a conflict a whole one.
*/
const peekAfterMs = 200;

/** The store answers in a few ms; where it is slow, the write itself tells. In ms. */
const peekTimeoutMs = 100;

/** What this host has seen of the slots' objects in the store. */
type SlotCache = {
	readonly get: (slot: number) => KnownSlot | undefined;
	/** Takes in an object as the store just gave it. */
	readonly note: (slot: number, stored: StoredRights) => KnownSlot;
	readonly read: (slot: number) => Promise<KnownSlot | undefined>;
	/** The newest that a cheap look shows, or else what was known. */
	readonly refresh: (slot: number, known: KnownSlot) => Promise<KnownSlot>;
};

type Options = {
	readonly store: RightsStore;
	readonly state: StoreState;
	/** Called when an object shows that the store came back from an older copy. */
	readonly onRestored: () => void;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Creates a cache that knows no slot. What it knew before the store was restored is kept in what it knows after it. */
export const createSlotCache = ({store, state, onRestored, now}: Options): SlotCache => {
	const slots = new Map<number, KnownSlot>();

	const keep = (slot: number, stored: StoredRights, readAt: number): KnownSlot => {
		const known = slots.get(slot);
		const {era = 0} = stored;
		const isRestored = known !== undefined && era > (known.era ?? 0);
		const rights = isRestored ? mergeRestored(known.rights, stored.rights, era) : stored.rights;
		const noted = {...stored, rights, readAt};
		slots.set(slot, noted);
		if (isRestored) {
			onRestored();
		}

		return noted;
	};

	const note: SlotCache['note'] = (slot, stored) => keep(slot, stored, now());

	return {
		get: slot => slots.get(slot),
		note,
		async read(slot) {
			const outcome = await store.read(`slot-${slot}`);
			state.note(outcome.ok || outcome.error.type === 'unreadable');
			return outcome.ok ? note(slot, outcome.value) : undefined;
		},
		// Most writes would meet a change of another hall. Of what a cheap look shows, only the newer is taken, and its age
		// is not known to be less than that of what was known before.
		async refresh(slot, known) {
			if (!state.isUp() || now() - known.readAt < peekAfterMs) {
				return known;
			}

			const seen = await store.peek(`slot-${slot}`, peekTimeoutMs);
			const latest = slots.get(slot) ?? known;
			return !seen || seen.revision <= latest.revision ? latest : keep(slot, seen, latest.readAt);
		},
	};
};
