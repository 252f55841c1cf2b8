import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {StreamOrigin} from './stream-origin.js';

/** The versions that take new requests. */
export type ServedVersions = {
	readonly list: (endpoints: readonly ListedEndpoint[]) => void;
	/**
	Tells whether the version that began a stream takes no requests any more, while another one does; `undefined` otherwise. `retryAt` is set, in monotonic ms,
	while endpoints of it may still come back to the list, or the list may be too old to tell: it has to be confirmed after a stream of the version was
	taken up.
	*/
	readonly findGone: (origin: Pick<StreamOrigin, 'service' | 'version'>) => {readonly retryAt: number | undefined} | undefined;
};
