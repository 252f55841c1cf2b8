import type {StreamOrigin} from './stream-origin.js';

/** The origin of one stream, as a host keeps it. */
export type KeptOrigin = {
	/** `streamKeyOf` of the attempt that brought the stream's first event. */
	readonly key: string;
	readonly origin: StreamOrigin;
	/** Until when a caller may take the stream up, in monotonic ms of this host. */
	readonly keepUntil: number;
	/** When a host first noted it, in monotonic ms of this host. */
	readonly notedAt: number;
};
