import type {Priority} from '@deckwheel/routing';

/** What a request needs of an endpoint. */
export type PlaceRequest = {
	/** The model or service. */
	readonly target: string;
	readonly organisation: string;
	readonly weight: number;
	readonly priority: Priority;
	/** Monotonic ms. */
	readonly deadline: number;
	/** Names the session that the request belongs to. */
	readonly session?: string;
	readonly prefixBlocks: readonly number[];
	readonly promptTokens: number;
	/** Endpoints that were tried already. */
	readonly tried: readonly string[];
};
