import type {ReplicaEffect} from './replica-effect.js';
import type {Replica} from './replica.js';

/** A replica's next state, and the effects to carry out in their order. */
export type ReplicaStep = {
	readonly replica: Replica;
	readonly effects: readonly ReplicaEffect[];
};
