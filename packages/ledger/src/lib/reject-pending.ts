import {List} from 'immutable';
import type {ReplicaStep} from '../replica/replica-step.js';
import type {Replica} from '../replica/replica.js';

/** Replies `not_owner` to every request whose reply is pending: only the new primary knows whether the request's entry survived. */
export const rejectPending = (replica: Replica): ReplicaStep => ({
	replica: {...replica, pending: List()},
	effects: replica.pending.map(({id}) => ({type: 'reply' as const, id, reply: {type: 'not_owner' as const, pair: replica.pair}})).toArray(),
});
