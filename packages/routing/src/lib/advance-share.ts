import type {PriorityShare} from '../request-queue/priority-share.js';
import type {QueuedRequest} from '../request-queue/queued-request.js';
import type {TargetShare} from '../request-queue/target-share.js';
import {advanceTarget} from './advance-target.js';

/**
Advances the targets of a priority to its virtual time, and drops those at which nobody waits or is ahead.

@param waiting All queued requests of the priority.
*/
export const advanceShare = ({virtualTime, targets}: PriorityShare, waiting: readonly QueuedRequest[]): PriorityShare => {
	const newTarget: TargetShare = {virtualTime, dueByOrganisation: new Map()};
	const names = new Set([...targets.keys(), ...waiting.map(({target}) => target)]);
	const advanced = [...names].map(name => {
		const organisations = new Set(waiting.filter(({target}) => target === name).map(({organisation}) => organisation));
		return [name, advanceTarget(targets.get(name) ?? newTarget, organisations, virtualTime)] as const;
	});
	return {virtualTime, targets: new Map(advanced.filter(([, {dueByOrganisation}]) => dueByOrganisation.size > 0))};
};
