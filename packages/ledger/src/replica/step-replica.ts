import {sendSnapshot} from '../lib/send-snapshot.js';
import {stepConfigure} from '../lib/step-configure.js';
import {stepMessage} from '../lib/step-message.js';
import {stepRequest} from '../lib/step-request.js';
import type {ReplicaEvent} from './replica-event.js';
import type {ReplicaStep} from './replica-step.js';
import type {Replica} from './replica.js';

/**
Computes a replica's next state and its effects for one event. Pure.

Within a generation, the safety of claims and rights rests on two rules, neither of which reads a clock:
a primary sends a reply only once its backup holds every entry that the reply depends on,
and the store lets only one successor of an epoch win. The successor starts with every entry
that it acknowledged as the backup, and from then on acknowledges no entry of the old epoch.
So the successor knows every entry that a reply of the old primary depends on, whenever the old
primary sends that reply.

@param now Wall-clock time in ms.
*/
export const stepReplica = (replica: Replica, event: ReplicaEvent, now: number): ReplicaStep => {
	switch (event.type) {
		case 'request': {
			return stepRequest(replica, event, now);
		}

		case 'message': {
			return stepMessage(replica, event.from, event.message);
		}

		case 'configure': {
			return stepConfigure(replica, event, now);
		}

		case 'resync': {
			return {replica, effects: sendSnapshot(replica)};
		}
	}
};
