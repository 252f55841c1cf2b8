import type {Bundle} from './bundle.js';
import type {SignedBundle} from './signed-bundle.js';

/** A bundle that a host has verified and put in force. */
export type AdoptedBundle = {
	readonly bundle: Bundle;
	/** The signed bundle as received, for passing it on to peers. */
	readonly signed: SignedBundle;
};
