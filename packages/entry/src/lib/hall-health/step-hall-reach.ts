import type {HallReachEvent} from './hall-reach-event.js';
import type {HallReach} from './hall-reach.js';

/** A hall with open attempts is probed when no byte has arrived from it for longer than this, in ms. */
const silenceMs = 300;

/** After a successful probe, the hall is not probed for this long, in ms, so that slow endpoints do not bring one probe after the other. */
const reachedProbePauseMs = 1000;

/** An unreachable hall is probed again this long, in ms, after its last probe failed, also without open attempts. */
const unreachableProbePauseMs = 400;

type Step = {readonly reach: HallReach; /** Whether the hall is to be probed now. */ readonly isProbeDue: boolean};

const isSilent = ({heardAt}: HallReach, oldestSentAt: number | undefined, now: number): boolean =>
	oldestSentAt !== undefined && now - Math.max(heardAt, oldestSentAt) > silenceMs;

const tick = (reach: HallReach, oldestSentAt: number | undefined, now: number): Step => {
	const isInDoubt = reach.isUnreachable || reach.hasConnectFailed || isSilent(reach, oldestSentAt, now);
	const isProbeDue = isInDoubt && !reach.isProbing && now >= reach.nextProbeAt;
	return {reach: isProbeDue ? {...reach, isProbing: true} : reach, isProbeDue};
};

const endProbe = (reach: HallReach, isReached: boolean, now: number): HallReach => isReached
	? {
		...reach, isProbing: false, isUnreachable: false, hasConnectFailed: false, heardAt: now, nextProbeAt: now + reachedProbePauseMs,
	}
	: {
		...reach, isProbing: false, isUnreachable: true, hasConnectFailed: false, nextProbeAt: now + unreachableProbePauseMs,
	};

/**
Updates what is known of another hall by one event. Pure.

An endpoint that accepts no connection may be down while its hall is reachable, and silent endpoints may only be slow; so both only
bring a probe of the hall. A hall whose probe fails is unreachable until a probe succeeds.

@param now Monotonic ms.
*/
export const stepHallReach = (reach: HallReach, event: HallReachEvent, now: number): Step => {
	switch (event.type) {
		case 'heard': {
			return {reach: {...reach, heardAt: now, hasConnectFailed: false}, isProbeDue: false};
		}

		case 'connect_failed': {
			return {reach: {...reach, hasConnectFailed: !reach.isUnreachable}, isProbeDue: false};
		}

		case 'ticked': {
			return tick(reach, event.oldestSentAt, now);
		}

		case 'probe_ended': {
			return {reach: endProbe(reach, event.isReached, now), isProbeDue: false};
		}
	}
};
