import type {OriginStore} from '../../adapter/origin-store.js';
import type {StoredOrigins} from '../../adapter/stored-origins.js';
import {createMemoryOriginStore, type MemoryOriginStore} from './memory-origin-store.js';

/** A store of origins that records the writes of origins, and can lose or hold back answers. */
export type FaultyOriginStore = {
	readonly memory: MemoryOriginStore;
	/** What a host of the test calls. */
	readonly store: OriginStore;
	/** All writes of origins that were called, those that failed included. */
	readonly writes: () => readonly StoredOrigins[];
	/** The answer to the next write of origins is lost; the write is done. */
	readonly loseNextAnswer: () => void;
	/** Holds all calls from now on, until the returned function is called. */
	readonly hold: () => () => void;
	/** Runs an action between the next call to write versions and its write. */
	readonly beforeNextNaming: (action: () => void | Promise<unknown>) => void;
};

/** Creates a faulty store over an empty memory store, or over one that several hosts share. */
export const createFaultyOriginStore = (memory = createMemoryOriginStore()): FaultyOriginStore => {
	let writes: readonly StoredOrigins[] = [];
	let losesNext = false;
	let held: Promise<void> | undefined;
	let nextAction: (() => void | Promise<unknown>) | undefined;
	return {
		memory,
		store: {
			async readVersions() {
				await held;
				return memory.readVersions();
			},
			async writeVersions(versions) {
				await held;
				const action = nextAction;
				nextAction = undefined;
				await action?.();
				return memory.writeVersions(versions);
			},
			async readOrigins(host) {
				await held;
				return memory.readOrigins(host);
			},
			async writeOrigins(host, stored) {
				writes = [...writes, stored];
				await held;
				const isLost = losesNext;
				losesNext = false;
				const revision = await memory.writeOrigins(host, stored);
				return isLost ? undefined : revision;
			},
			async readAllOrigins() {
				await held;
				return memory.readAllOrigins();
			},
		},
		writes: () => writes,
		loseNextAnswer() {
			losesNext = true;
		},
		hold() {
			let release: () => void = () => undefined;
			held = new Promise(resolve => {
				release = resolve;
			});
			return () => {
				held = undefined;
				release();
			};
		},
		beforeNextNaming(action) {
			nextAction = action;
		},
	};
};
