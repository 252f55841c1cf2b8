import {sendSnapshot} from '../lib/send-snapshot.js';
import {stepConfigure} from '../lib/step-configure.js';
import {stepMessage} from '../lib/step-message.js';
import {stepRequest} from '../lib/step-request.js';
import type {ReplicaEvent} from './replica-event.js';
import type {ReplicaStep} from './replica-step.js';
import type {Replica} from './replica.js';

/**
Moves a replica on by one event.

The safety of claims and rights rests on two rules, neither of which reads a clock:
a primary replies only to what its backup holds, and the store lets only one
successor of an epoch win. A successor begins with all that it ever acknowledged,
and from then on acknowledges nothing of the old epoch: so whatever the old primary
told anybody, its successor knows, and it can tell nobody anything new.

@param now Wall-clock ms.
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
