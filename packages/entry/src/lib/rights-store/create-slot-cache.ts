import type {RightsStore} from '../../adapter/rights-store.js';
import type {StoredRights} from '../../adapter/stored-rights.js';
import type {KnownSlot} from './known-slot.js';
import type {StoreState} from './store-state.js';

/**
A look at the store before a write is worth it when what is known is older than this, in ms. A look costs a tenth of a
call, a write that meets a conflict a whole one.
*/
const glanceAfterMs = 200;

/** The store answers in a few ms; where it is slow, the write itself tells. In ms. */
const glanceTimeoutMs = 100;

/** What this host has seen of the slots' objects in the store. */
type SlotCache = {
	readonly get: (slot: number) => KnownSlot | undefined;
	/** Takes in an object as the store just gave it. */
	readonly note: (slot: number, stored: StoredRights) => KnownSlot;
	readonly read: (slot: number) => Promise<KnownSlot | undefined>;
	/** The newest that a cheap look shows, or else what was known. */
	readonly refresh: (slot: number, known: KnownSlot) => Promise<KnownSlot>;
};

/**
Creates a cache that knows no slot.

@param now Monotonic ms.
*/
export const createSlotCache = (store: RightsStore, state: StoreState, now: () => number): SlotCache => {
	const slots = new Map<number, KnownSlot>();
	const note: SlotCache['note'] = (slot, stored) => {
		const noted = {...stored, readAt: now()};
		slots.set(slot, noted);
		return noted;
	};

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
			if (!state.isUp() || now() - known.readAt < glanceAfterMs) {
				return known;
			}

			const seen = await store.glance(`slot-${slot}`, glanceTimeoutMs);
			const latest = slots.get(slot) ?? known;
			if (!seen || seen.revision <= latest.revision) {
				return latest;
			}

			const noted = {...seen, readAt: latest.readAt};
			slots.set(slot, noted);
			return noted;
		},
	};
};
