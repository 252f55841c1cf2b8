import type {KeptOrigin} from './kept-origin.js';

/** The origins of streams that a host keeps, each until nobody can take the stream up any more. */
export type OriginTable = {
	readonly get: (key: string) => KeptOrigin | undefined;
	/** Keeps an origin, unless one of a later attempt is kept. */
	readonly keep: (kept: KeptOrigin) => void;
	/** Keeps the origin of a stream of this host's own callers. */
	readonly keepOwn: (kept: KeptOrigin) => void;
	/** Notes that nobody takes this stream of its own callers up. */
	readonly endOwn: (key: string) => void;
	/** The origins of the streams of its own callers, at a service, that are under way or were broken off. */
	readonly ownAt: (service: string) => readonly KeptOrigin[];
};
