import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {EndpointPaths} from '../endpoint-paths/endpoint-paths.js';
import type {HallMonitor} from '../hall-health/hall-monitor.js';
import type {TunnelTicket} from '../tunnels/tunnel-ticket.js';
import type {TrackedAttempt} from './tracked-attempt.js';

type Options = {
	/** When the attempt began, in monotonic ms. */
	readonly sentAt: number;
	/** Whether the request may be retried at another endpoint, or over another way, if this one is cut. */
	readonly mayMove: boolean;
	/** Aborts the whole request. */
	readonly signal: AbortSignal;
};

type Monitors = {
	readonly halls: Pick<HallMonitor, 'noteAttempt' | 'noteHeard'>;
	readonly paths: Pick<EndpointPaths, 'noteAttempt' | 'noteHeard'>;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Registers an attempt with the monitors of halls and of this host's own links, which abort it when the hall of its endpoint or the endpoint itself is
out of reach, and the request may be retried.
*/
export const trackAttempt = ({halls, paths, now}: Monitors, endpoint: ListedEndpoint, {sentAt, mayMove, signal}: Options): TrackedAttempt => {
	const abandonController = new AbortController();
	const abandon = (): void => {
		abandonController.abort();
	};

	const endInHall = halls.noteAttempt({endpoint, sentAt, abandon: mayMove ? abandon : undefined});
	let endOnPath: (() => void) | undefined;
	let tunnel: TunnelTicket | undefined;

	return {
		signal: AbortSignal.any([signal, abandonController.signal]),
		tunnel: () => tunnel,
		noteConnected(taken) {
			tunnel = taken;
			if (!taken) {
				endOnPath = paths.noteAttempt({endpoint, sentAt: now(), abandon: mayMove ? abandon : undefined});
			}
		},
		noteHeard() {
			halls.noteHeard(endpoint.hall);
			if (endOnPath) {
				paths.noteHeard(endpoint);
			}
		},
		end() {
			endInHall();
			endOnPath?.();
		},
	};
};
