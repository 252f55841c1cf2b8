import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {HallMonitor} from '../hall-health/hall-monitor.js';

type Options = {
	/** When the attempt began, in monotonic ms. */
	readonly sentAt: number;
	/** Whether the request may be retried at another endpoint if the hall of this one becomes unreachable. */
	readonly mayMove: boolean;
	/** Aborts the whole request. */
	readonly signal: AbortSignal;
};

type TrackedAttempt = {
	/** Aborts this attempt: when the request is over, or when the hall is unreachable and the request may be retried elsewhere. */
	readonly signal: AbortSignal;
	/** Tells the hall monitor that the attempt has ended. */
	readonly end: () => void;
};

/** Registers an attempt with the hall monitor, which aborts it when the hall of its endpoint becomes unreachable and the request may be retried elsewhere. */
export const trackAttempt = (halls: HallMonitor, endpoint: ListedEndpoint, {sentAt, mayMove, signal}: Options): TrackedAttempt => {
	const abandonController = new AbortController();
	const abandon = (): void => {
		abandonController.abort();
	};

	return {
		signal: AbortSignal.any([signal, abandonController.signal]),
		end: halls.noteAttempt({endpoint, sentAt, abandon: mayMove ? abandon : undefined}),
	};
};
