import type {TargetShare} from '../request-queue/target-share.js';

/**
Advances a target to the virtual time of its priority, or to the time at which the first organisation that waits there is due. An organisation
that begins to wait is due at that time, so it neither makes up for starts that it missed nor loses any.

@param waiting The organisations that wait for the target.
@param now The virtual time of the priority.
*/
export const advanceTarget = ({virtualTime, dueByOrganisation}: TargetShare, waiting: ReadonlySet<string>, now: number): TargetShare => {
	const dueTimes = [...dueByOrganisation].filter(([organisation]) => waiting.has(organisation)).map(([, due]) => due);
	const time = Math.max(virtualTime, Math.min(now, ...dueTimes));
	const notDue = [...dueByOrganisation].filter(([, due]) => due > time);
	return {virtualTime: time, dueByOrganisation: new Map([...[...waiting].map(organisation => [organisation, time] as const), ...notDue])};
};
