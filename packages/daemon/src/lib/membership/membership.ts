import type {KnownHost} from './known-host.js';

/** The hosts that this host knows of, by name. A belief: nothing that must hold rests on it. */
export type Membership = {
	readonly hosts: ReadonlyMap<string, KnownHost>;
	/** Monotonic ms of the last step, to notice that this process was frozen. */
	readonly steppedAt: number;
};
