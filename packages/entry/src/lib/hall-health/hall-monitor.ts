import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {OpenAttempt} from './open-attempt.js';

/** Knows which other halls are out of reach. */
export type HallMonitor = {
	readonly list: (endpoints: readonly ListedEndpoint[]) => void;
	readonly isUnreachable: (hall: string) => boolean;
	/** Notes that a try began. Returns what notes its end. */
	readonly noteAttempt: (attempt: OpenAttempt) => () => void;
	/** Notes that bytes of a hall's endpoint came. */
	readonly noteHeard: (hall: string) => void;
	/** Notes that a hall's endpoint took no connection. */
	readonly noteConnectFailure: (hall: string) => void;
	readonly close: () => void;
};
