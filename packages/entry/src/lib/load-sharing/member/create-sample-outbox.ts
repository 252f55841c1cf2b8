import type {PaceSample} from '../wire/pace-sample.js';

/** The most samples that wait: a peer that answers after a pause gets the latest ones. */
const maxSamples = 128;

/** Samples that a peer has not confirmed yet. */
type SampleOutbox = {
	readonly add: (samples: readonly PaceSample[]) => void;
	/** Takes all samples, to be sent. */
	readonly take: () => readonly PaceSample[];
};

/** Creates an empty outbox. Samples that were sent in vain are added again by the caller. */
export const createSampleOutbox = (): SampleOutbox => {
	let waiting: readonly PaceSample[] = [];
	return {
		add(samples) {
			waiting = [...waiting, ...samples].slice(-maxSamples);
		},
		take() {
			const taken = waiting;
			waiting = [];
			return taken;
		},
	};
};
