/** Drops the claims whose time is over and charges the runs that nobody could resolve. */
export type ExpireRequest = {readonly type: 'expire'};
