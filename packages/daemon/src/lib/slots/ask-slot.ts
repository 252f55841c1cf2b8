import type {SlotReply} from '@deckwheel/ledger';
import type {Result} from '@deckwheel/core';
import type {PeerSlotRequest} from '../peers/peer-slot-request.js';

/**
Asks the primary of a slot in some hall, wherever it is.

Safe to send again: claims carry their attempt, settlements their run.

@param deadline Monotonic ms after which it is given up.
@returns `unreachable` when no primary could be reached.
*/
export type AskSlot = (hall: string, slot: number, request: PeerSlotRequest, deadline: number) => Promise<Result<SlotReply, 'unreachable'>>;
