import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {OpenAttempt} from './open-attempt.js';

/** Detects which other halls are unreachable. */
export type HallMonitor = {
	/** Replaces the list of the endpoints that the host uses, in all halls. Endpoints that are leaving are not probed. */
	readonly list: (endpoints: readonly ListedEndpoint[]) => void;
	/** Whether a hall is unreachable; never true of the host's own hall. */
	readonly isUnreachable: (hall: string) => boolean;
	/** Notes that an attempt began. Returns the function that notes its end. */
	readonly noteAttempt: (attempt: OpenAttempt) => () => void;
	/** Notes that bytes arrived from an endpoint of a hall. */
	readonly noteHeard: (hall: string) => void;
	/** Notes that an endpoint of a hall accepted no connection. */
	readonly noteConnectFailure: (hall: string) => void;
	readonly close: () => void;
};
