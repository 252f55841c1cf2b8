/** The additional cost of an endpoint in a hall that seems out of reach, in ms: more than any wait, so such an endpoint is a last resort. */
export const avoidedHallPenaltyMs = 1_000_000;
