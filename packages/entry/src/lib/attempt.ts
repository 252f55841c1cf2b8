import type {ListedEndpoint} from '../listed-endpoint.js';

/** One try at one endpoint. */
export type Attempt = {
	readonly endpoint: ListedEndpoint;
	readonly id: string;
	readonly method: string;
	readonly path: string;
	/** Names and values in turn. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
	/** Ends the try. */
	readonly signal: AbortSignal;
};
