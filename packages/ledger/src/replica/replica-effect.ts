import type {SlotReply} from '../claims/slot-reply.js';
import type {ReplicaMessage} from './replica-message.js';

/** What a replica wants done. */
export type ReplicaEffect =
	| {readonly type: 'send'; readonly to: string; readonly message: ReplicaMessage}
	| {readonly type: 'reply'; readonly id: number; readonly reply: SlotReply};
