import type {SlotReply} from '../claims/slot-reply.js';
import type {ReplicaMessage} from './replica-message.js';

/** An action that the caller of `stepReplica` carries out: send a message to another host, or reply to a request of this host (`id`). */
export type ReplicaEffect =
	| {readonly type: 'send'; readonly to: string; readonly message: ReplicaMessage}
	| {readonly type: 'reply'; readonly id: number; readonly reply: SlotReply};
