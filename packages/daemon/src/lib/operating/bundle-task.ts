import type {AdoptedBundle, SignedBundle} from '@deckwheel/bundle';

/** The task that keeps the newest accepted bundle. */
export type BundleTask = {
	readonly current: () => AdoptedBundle | undefined;
	/** Takes a bundle from the platform or a peer, if it is newer and properly signed. */
	readonly offer: (signed: SignedBundle, source: string) => void;
	/** A peer has a newer one: fetch it from there. */
	readonly fetchFrom: (address: string) => Promise<void>;
	readonly stop: () => Promise<void>;
};
