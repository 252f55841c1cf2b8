import type {TokenBucket} from './token-bucket.js';

/** The capacity of a bucket, as the time in which that many tokens are added, in seconds. A bucket holds at least one token. */
const burstSeconds = 0.25;

/** The tolerated rounding error of sums of fractions of a token, in tokens. */
const roundingTolerance = 1e-6;

type TokenResult = {
	readonly bucket: TokenBucket;
	readonly isTaken: boolean;
	/** When the bucket will next hold a whole token, in monotonic ms. */
	readonly nextAt: number;
};

/**
Takes a token from a bucket, if the bucket holds one. Pure.

A new bucket is empty, because an earlier incarnation of this host, or another host that was the coordinator before, may already have
handed out the tokens that it would hold. When the rate changes, the time since the last call is filled at the lower of the old and the new rate.

@param bucket `undefined` for a new bucket.
@param perSecond The rate at which the bucket fills from now on, in tokens a second; above 0.
@param now Monotonic ms.
*/
export const takeToken = (bucket: TokenBucket | undefined, perSecond: number, now: number): TokenResult => {
	const capacity = Math.max(1, perSecond * burstSeconds);
	const {tokens: tokensBefore, perSecond: previousPerSecond, countedAt} = bucket ?? {tokens: 0, perSecond, countedAt: now};
	const elapsedSeconds = Math.max(0, now - countedAt) / 1000;
	const filled = Math.min(capacity, tokensBefore + (elapsedSeconds * Math.min(perSecond, previousPerSecond)));
	const isTaken = filled >= 1 - roundingTolerance;
	const tokens = isTaken ? Math.max(0, filled - 1) : filled;
	return {
		bucket: {tokens, perSecond, countedAt: now},
		isTaken,
		nextAt: now + ((Math.max(0, 1 - tokens) / perSecond) * 1000),
	};
};
