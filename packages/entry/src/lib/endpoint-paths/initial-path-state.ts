import type {PathState} from './path-state.js';

/** The state of a group of which nothing is known. */
export const initialPathState: PathState = {
	lost: new Set(), lostInARow: 0, isAllLost: false, isSilent: false, heardAt: 0, isProbing: false, nextProbeAt: 0,
};
