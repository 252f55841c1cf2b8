import type {Log} from '../../adapter/log.js';
import type {EndpointEnds} from './endpoint-ends.js';
import type {LostRun} from './lost-run.js';
import type {PoisonWatch} from './poison-watch.js';

type Options = {
	readonly ends: EndpointEnds;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Creates a watch that suspects no request. */
export const createPoisonWatch = ({ends, log, now}: Options): PoisonWatch => {
	const note = async ({id, fingerprint, endpoint, sentAt}: LostRun): Promise<void> => {
		const endedAt = now();
		const hasEnded = await ends.hasEnded(endpoint);
		log('run_lost', {
			id, request: fingerprint(), endpoint: endpoint.id, after_ms: Math.round(endedAt - sentAt), endpoint_ended: hasEnded,
		});
	};

	return {
		runLost(run) {
			void note(run);
		},
	};
};
