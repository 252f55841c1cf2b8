import type {ChangeStatus} from '../../adapter/change-status.js';
import type {ChangeReply} from './change-reply.js';

/**
Decides what a peer's reply says of a topic. A reported change always counts; that nothing changed counts only where the store answered the
peer within `freshMs`, and is `unknown` otherwise. Pure.

@param after The store's revision up to which the requesting host knows every change of the topic.
@param freshMs The longest time since the store answered the peer, in ms.
*/
export const interpretChangeReply = ({at, changedAt, ageMs, ...confirmed}: ChangeReply, after: number, freshMs: number): ChangeStatus => {
	if (changedAt > after) {
		return {type: 'changed'};
	}

	return ageMs <= freshMs ? {type: 'unchanged', at, ...confirmed} : {type: 'unknown'};
};
