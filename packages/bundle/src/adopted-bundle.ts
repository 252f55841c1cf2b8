import type {Bundle} from './bundle.js';
import type {SignedBundle} from './signed-bundle.js';

/** A bundle that was verified and is in force on a host. */
export type AdoptedBundle = {
	readonly bundle: Bundle;
	/** As received, so that it can be passed on to peers. */
	readonly signed: SignedBundle;
};
