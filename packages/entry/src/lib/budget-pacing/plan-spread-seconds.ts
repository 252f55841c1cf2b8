/**
The time after a host's start over which what is left of a budget is spread if most hosts have crashed, in seconds. Callers whose responses
were lost retry at once, and what the crashed hosts held stays charged. Without the spread, the first callers take all that is left within
seconds, and no request is served from then on until an operator tops the budget up.
*/
const fullSpreadSeconds = 20;

/**
Decides for how many more seconds what is left of a budget has to last at a host; 0 once the time of the spread is over. Pure.

@param startedAt When this incarnation of the host started, in monotonic ms.
@param now Monotonic ms.
*/
export const planSpreadSeconds = (startedAt: number, now: number): number => Math.max(0, fullSpreadSeconds - ((now - startedAt) / 1000));
