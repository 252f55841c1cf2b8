import type {ShutdownPlan} from './shutdown-plan.js';

type Inputs = {
	/** Of the host, once it was told to stop. */
	readonly stop: ShutdownPlan | undefined;
	/** Of the request, in monotonic ms: the earlier of when its caller stops waiting and the end of its route's time. */
	readonly deadline: number;
	/** Monotonic ms. */
	readonly now: number;
};

/**
Decides whether a request may still be sent to an endpoint. Pure.

| host | sent on |
| --- | --- |
| does not stop | every request |
| stops, within `takeAllUntil` | every request |
| stops, later | what must end by `answerBy` |
| waits for open requests no longer | nothing |

Once it is `false` for a request, it stays so. It decides on the request and not on the connection, because a request may come late
in many ways: on a connection that was accepted before, with a slow body, after a wait for rights, or after a try elsewhere.
*/
export const mayForward = ({stop, deadline, now}: Inputs): boolean => {
	if (!stop) {
		return true;
	}

	return !stop.isOver && (now < stop.takeAllUntil || (now < stop.answerBy && deadline <= stop.answerBy));
};
