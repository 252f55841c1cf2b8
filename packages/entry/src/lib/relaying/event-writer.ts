import type {EventFault} from './event-fault.js';
import type {RelayEnd} from './relay-end.js';

/** Writes the complete events of one run's stream to the caller. */
export type EventWriter = {
	/**
	Takes the next bytes of the endpoint, and writes the events that they complete. `isFull`: the caller's connection takes no more for now. `fault`: what
	is wrong with an event, which was not written; `no_room`: nothing, but this host has no room to hold more of it.
	*/
	readonly write: (chunk: Uint8Array) => {readonly isFull: boolean; readonly fault: EventFault | 'no_room' | undefined};
	/** Lets go of a part of an event that came last. */
	readonly close: () => void;
	/** Whether a part of an event came last. */
	readonly isInsideEvent: () => boolean;
	/** How far the caller got. */
	readonly progress: () => Pick<RelayEnd, 'lastId' | 'count'>;
};
