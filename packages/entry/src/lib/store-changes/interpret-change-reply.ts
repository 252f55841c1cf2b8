import type {ChangeStatus} from '../../adapter/change-status.js';
import type {ChangeReply} from './change-reply.js';

/**
Decides what a peer's reply is worth: one that has not heard from the store for too long vouches for nothing.

@param after The revision up to which the asker knows the topic whole.
@param freshMs How long ago the store may have answered the peer, in ms.
*/
export const interpretChangeReply = ({at, changedAt, ageMs}: ChangeReply, after: number, freshMs: number): ChangeStatus => {
	if (changedAt > after) {
		return {type: 'changed'};
	}

	return ageMs <= freshMs ? {type: 'unchanged', at} : {type: 'unknown'};
};
