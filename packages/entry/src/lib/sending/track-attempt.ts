import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {HallMonitor} from '../hall-health/hall-monitor.js';

type Options = {
	/** Monotonic ms. */
	readonly sentAt: number;
	/** Whether the request may run at another endpoint if this one's hall is lost. */
	readonly mayMove: boolean;
	/** Ends the whole request. */
	readonly signal: AbortSignal;
};

type TrackedAttempt = {
	/** Ends this try. */
	readonly signal: AbortSignal;
	/** Notes that the try has ended. */
	readonly end: () => void;
};

/** Makes a try known to the watch of halls, so that it ends when its endpoint's hall is lost. */
export const trackAttempt = (halls: HallMonitor, endpoint: ListedEndpoint, {sentAt, mayMove, signal}: Options): TrackedAttempt => {
	const move = new AbortController();
	const abandon = (): void => {
		move.abort();
	};

	return {
		signal: AbortSignal.any([signal, move.signal]),
		end: halls.noteAttempt({endpoint, sentAt, abandon: mayMove ? abandon : undefined}),
	};
};
