import type {Log} from '../../adapter/log.js';
import {initialPathState} from './initial-path-state.js';
import type {PathEvent} from './path-event.js';
import type {PathState} from './path-state.js';
import {stepPath} from './step-path.js';

type Options = {
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

const hasChanged = (before: PathState, after: PathState): boolean => before.lost.size !== after.lost.size || before.isAllLost !== after.isAllLost;

/** Creates the states of groups of endpoints, of which nothing is known yet. Changes of what counts as lost are logged. */
export const createPathStates = ({log, now}: Options) => {
	const stateByGroup = new Map<string, PathState>();
	const stateOf = (group: string): PathState => stateByGroup.get(group) ?? initialPathState;

	return {
		stateOf,
		/** Applies one event to the state of a group. */
		step(group: string, event: PathEvent): ReturnType<typeof stepPath> {
			const before = stateOf(group);
			const stepped = stepPath(before, event, now());
			const {lost, isAllLost} = stepped.state;
			stateByGroup.set(group, stepped.state);
			if (hasChanged(before, stepped.state)) {
				log(isAllLost || lost.size > before.lost.size ? 'path_lost' : 'path_regained', {group, lost: lost.size, all: isAllLost});
			}

			return stepped;
		},
	};
};
