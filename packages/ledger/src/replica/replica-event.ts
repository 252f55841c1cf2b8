import type {SlotRequest} from '../claims/slot-request.js';
import type {Pair} from './pair.js';
import type {ReplicaMessage} from './replica-message.js';

/** What can happen to a replica. */
export type ReplicaEvent =
	| {readonly type: 'request'; readonly id: number; readonly request: SlotRequest}
	| {readonly type: 'message'; readonly from: string; readonly message: ReplicaMessage}
	/** The store confirmed this pair. */
	| {readonly type: 'configure'; readonly pair: Pair; readonly holder: string}
	/** No acknowledgement came for a while, or the link is new: send everything again. */
	| {readonly type: 'resync'};
