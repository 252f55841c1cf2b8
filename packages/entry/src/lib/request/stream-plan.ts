import type {FoundOrigin} from '../stream-origins/found-origin.js';
import type {StreamOrigin} from '../stream-origins/stream-origin.js';

/**
What is known of the beginning of the stream that a request asks for, and so which endpoints it may be sent to. `found` is set where the
caller takes a stream up.
*/
export type StreamPlan = {readonly found?: FoundOrigin} & (
	/** Any endpoint of the service. `key` is set for a stream that may be resumed, and is that of its beginning. */
	| {readonly type: 'any'; readonly service: string; readonly key?: string}
	/** The caller takes a stream up, which goes on at the version that began it. */
	| {readonly type: 'resumed'; readonly key: string; readonly origin: StreamOrigin}
	/** The caller takes a stream up, and it cannot be told which version began it. */
	| {readonly type: 'unknown'; readonly service: string}
	/** The same for now, because the store, which may know, could not be read. */
	| {readonly type: 'unreadable'; readonly service: string}
);
