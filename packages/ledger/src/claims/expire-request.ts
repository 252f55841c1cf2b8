/** Drops the claims whose `keepUntil` has passed, and charges their runs without a known outcome in full. */
export type ExpireRequest = {readonly type: 'expire'};
