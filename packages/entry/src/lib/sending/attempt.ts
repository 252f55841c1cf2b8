import type {IncomingMessage} from 'node:http';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';

/** One try at one endpoint. */
export type Attempt = {
	readonly endpoint: ListedEndpoint;
	readonly id: string;
	readonly method: string;
	readonly path: string;
	/** Names and values in turn. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
	/** An endpoint that has not accepted a connection by then is given up, in monotonic ms. */
	readonly connectBy: number;
	/** Called when a new connection came up, or was given up, with the time that it took in ms. */
	readonly onConnect: (tookMs: number) => void;
	/** Called with the head of an answer that the endpoint itself gave, whatever it says. */
	readonly onHead: (head: IncomingMessage) => void;
	/** Ends the try. */
	readonly signal: AbortSignal;
};
