import type {Replica} from '../replica/replica.js';
import type {ReplicaStep} from '../replica/replica-step.js';

/** Sends the pending replies whose entries the backup has acknowledged. */
export const releaseReplies = (replica: Replica): ReplicaStep => {
	const ready = replica.pending.takeWhile(({seq}) => seq <= replica.acked);
	const effects = ready.map(({id, reply}) => ({type: 'reply' as const, id, reply})).toArray();
	return {replica: {...replica, pending: replica.pending.skip(ready.size)}, effects};
};
