import type {HallReachEvent} from './hall-reach-event.js';
import type {HallReach} from './hall-reach.js';

/** A hall that owes answers and sends nothing for this long, in ms, is probed. */
const silenceMs = 300;

/** After a probe that arrived, the next one waits this long, in ms, so that slow endpoints are not asked all the time. */
const calmMs = 1000;

/** A lost hall is probed this often, in ms. */
const lostProbeMs = 400;

type Step = {readonly reach: HallReach; /** Whether a connection to the hall is to be tried now. */ readonly isProbeDue: boolean};

const isSilent = ({heardAt}: HallReach, waitsSince: number | undefined, now: number): boolean =>
	waitsSince !== undefined && now - Math.max(heardAt, waitsSince) > silenceMs;

const tick = (reach: HallReach, waitsSince: number | undefined, now: number): Step => {
	const isWorthIt = reach.isLost || reach.isDoubted || isSilent(reach, waitsSince, now);
	const isProbeDue = isWorthIt && !reach.isProbing && now >= reach.probeAgainAt;
	return {reach: isProbeDue ? {...reach, isProbing: true} : reach, isProbeDue};
};

const endProbe = (reach: HallReach, isReached: boolean, now: number): HallReach => isReached
	? {
		...reach, isProbing: false, isLost: false, isDoubted: false, heardAt: now, probeAgainAt: now + calmMs,
	}
	: {
		...reach, isProbing: false, isLost: true, isDoubted: false, probeAgainAt: now + lostProbeMs,
	};

/**
Moves what is known of another hall on by one event. Pure.

One endpoint that takes no connection may be gone alone, and endpoints may be slow; so both only bring a probe of
another one. A hall whose probe fails is lost until a probe arrives.
*/
export const stepHallReach = (reach: HallReach, event: HallReachEvent, now: number): Step => {
	switch (event.type) {
		case 'heard': {
			return {reach: {...reach, heardAt: now, isDoubted: false}, isProbeDue: false};
		}

		case 'connect_failed': {
			return {reach: {...reach, isDoubted: !reach.isLost}, isProbeDue: false};
		}

		case 'ticked': {
			return tick(reach, event.waitsSince, now);
		}

		case 'probe_ended': {
			return {reach: endProbe(reach, event.isReached, now), isProbeDue: false};
		}
	}
};
