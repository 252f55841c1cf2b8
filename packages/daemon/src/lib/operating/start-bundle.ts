import {
	adoptBundle, signedBundleSchema, type AdoptedBundle, type SignedBundle,
} from '@deckwheel/bundle';
import {rankByRendezvous} from '@deckwheel/core';
import type {Mesh} from '@deckwheel/mesh';
import type {Context} from '../process/context.js';
import {repeat} from '../process/repeat.js';
import type {BundleTask} from './bundle-task.js';

const headKey = 'bundle/head';

/** Hosts of a hall that hold a watch open; the others learn of a new bundle from their heartbeats. */
const watchersPerHall = 2;

/** Between two watches of the bundle, in ms. */
const pauseMs = 500;

/** How long a peer may take to hand over its bundle, in ms. */
const fetchTimeoutMs = 2000;

type Options = {
	readonly mesh: Mesh;
	readonly liveInHall: () => readonly string[];
	readonly onAdopted: (adopted: AdoptedBundle) => void;
};

/** Starts the task that keeps the newest accepted bundle. */
export const startBundle = (context: Context, {mesh, liveInHall, onAdopted}: Options): BundleTask => {
	const {settings, self, platform, log, metrics} = context;
	const abort = new AbortController();
	let current: AdoptedBundle | undefined;
	let headVersion = 0;

	const offer = (signed: SignedBundle, source: string): void => {
		const outcome = adoptBundle(current, signed, settings.trustedKeys);
		metrics.count('bundle.offered', {outcome: outcome.ok ? 'adopted' : outcome.error});
		if (outcome.ok) {
			current = outcome.value;
			log('info', 'bundle_in_force', {version: current.bundle.version, source});
			onAdopted(current);
		} else if (outcome.error !== 'not_newer') {
			log('error', 'bundle_refused', {reason: outcome.error, source, hint: 'check the trusted keys in the settings and who signed'});
		}
	};

	const offerUnchecked = (value: unknown, source: string): void => {
		const parsed = signedBundleSchema.safeParse(value);
		if (parsed.success) {
			offer(parsed.data, source);
		}
	};

	const isWatcher = (): boolean => rankByRendezvous(headKey, liveInHall()).slice(0, watchersPerHall).includes(self);

	const follow = async (): Promise<void> => {
		if (!isWatcher()) {
			return;
		}

		// The first call reads what there is; the following ones wait for a change.
		const outcome = headVersion === 0 ? await platform.get(headKey) : await platform.watch(headKey, headVersion, abort.signal);
		if (outcome.ok) {
			headVersion = outcome.value.version;
			offerUnchecked(outcome.value.value, 'platform');
		}
	};

	const following = repeat(follow, () => pauseMs);
	return {
		current: () => current,
		offer,
		async fetchFrom(address) {
			const outcome = await mesh.request(address, {type: 'bundle'}, fetchTimeoutMs);
			if (outcome.ok) {
				offerUnchecked(outcome.value, 'peer');
			}
		},
		async stop() {
			abort.abort();
			await following.stop();
		},
	};
};
