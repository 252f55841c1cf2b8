import type {SlotRequest} from '../claims/slot-request.js';
import type {Pair} from './pair.js';
import type {ReplicaMessage} from './replica-message.js';

/** An event that changes a replica: a request of this host (`id` identifies it in the reply), a message from another host (`from`), or one of the events below. */
export type ReplicaEvent =
	| {readonly type: 'request'; readonly id: number; readonly request: SlotRequest}
	| {readonly type: 'message'; readonly from: string; readonly message: ReplicaMessage}
	/** The store confirmed this pair. `holder` is the name of the holder that the pair is. */
	| {readonly type: 'configure'; readonly pair: Pair; readonly holder: string}
	/** The backup has not acknowledged for some time, or the link to it is new: a primary sends it the whole ledger. */
	| {readonly type: 'resync'};
