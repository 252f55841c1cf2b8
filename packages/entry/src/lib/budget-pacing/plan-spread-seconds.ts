/**
Where most hosts have died, what is left of a budget is spread over this long after a host's start, in seconds. Callers who lost their
answers come back at once, and what the dead held is charged: unspread, all that is left goes to the first of them within seconds, and
nobody is served from then on until somebody tops the budget up.
*/
const fullSpreadSeconds = 20;

/**
Decides how long what is left of a budget has to last at a host, in seconds; 0 where it need not. Pure.

@param startedAt When this life of the host began, in monotonic ms.
@param now Monotonic ms.
*/
export const planSpreadSeconds = (startedAt: number, now: number): number => Math.max(0, fullSpreadSeconds - ((now - startedAt) / 1000));
