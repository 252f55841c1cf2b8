import {List} from 'immutable';
import type {ReplicaStep} from '../replica/replica-step.js';
import type {Replica} from '../replica/replica.js';

/** Turns every waiting request away: whether its entry survived is for the new primary to say. */
export const disown = (replica: Replica): ReplicaStep => ({
	replica: {...replica, pending: List()},
	effects: replica.pending.map(({id}) => ({type: 'reply' as const, id, reply: {type: 'not_owner' as const, pair: replica.pair}})).toArray(),
});
