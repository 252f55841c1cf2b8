import type {ShutdownPlan} from '../host/shutdown-plan.js';
import type {SignalTimes} from './signal-times.js';

/** What the log tells of a request that a shutdown ended. */
export type CutFields = {
	/** When the request came, in ms after the earliest instant at which the signal to stop may have been sent; negative before that. */
	readonly cut_received_ms: number;
	/** What was then left until the earliest instant at which the process may be killed, in ms. */
	readonly cut_grace_left_ms: number;
	/** Why the host took it: it came before the host acted on the signal, within the linger, or later with a deadline before the end. */
	readonly cut_taken: 'before_stop' | 'linger' | 'deadline';
};

type Inputs = {
	readonly signal: SignalTimes;
	readonly plan: Pick<ShutdownPlan, 'forwardAllUntil'>;
	/** When the request came, in monotonic ms. */
	readonly receivedAt: number;
};

const whyTaken = ({signal, plan, receivedAt}: Inputs): CutFields['cut_taken'] => {
	if (receivedAt <= signal.noticedAt) {
		return 'before_stop';
	}

	return receivedAt < plan.forwardAllUntil ? 'linger' : 'deadline';
};

/** Describes for the log a request that a shutdown ended. Pure. */
export const cutFieldsOf = (inputs: Inputs): CutFields => ({
	cut_received_ms: Math.round(inputs.receivedAt - inputs.signal.sentAfter),
	cut_grace_left_ms: Math.round(inputs.signal.killedAfter - inputs.receivedAt),
	cut_taken: whyTaken(inputs),
});
