import type {Framing} from '@deckwheel/host-kit';

/** How the response of one attempt came and ended, for the log. */
export type ResponseTrace = {
	readonly framing: Framing;
	/** The address of the peer through which it came; `undefined` where it came over a connection of this host. */
	readonly peer: string | undefined;
	/** The events of a stream that were relayed; `undefined` for any other response. */
	readonly events?: number;
	/** What ended it: `stated`, an `EndCheck`, the code of an error, `partial_event` or `closed`. Only `stated` and `confirmed` are whole. */
	readonly end: string;
};
