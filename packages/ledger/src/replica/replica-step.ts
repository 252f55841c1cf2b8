import type {ReplicaEffect} from './replica-effect.js';
import type {Replica} from './replica.js';

/** A replica's next state, and what is to be done. */
export type ReplicaStep = {
	readonly replica: Replica;
	readonly effects: readonly ReplicaEffect[];
};
