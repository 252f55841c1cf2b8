import type {TokenBucket} from './token-bucket.js';

/** Tokens that a bucket holds at most, as the time in which they come in, in seconds; one at least. */
const burstSeconds = 0.25;

/** What sums of fractions may be off by. */
const roundingTolerance = 1e-6;

type TokenResult = {
	readonly bucket: TokenBucket;
	readonly isTaken: boolean;
	/** When the next token is in, in monotonic ms. */
	readonly nextAt: number;
};

/**
Takes a token from a bucket, if one is in. Pure.

A new bucket is empty: an earlier life of this host, or another host in its place, may have handed out what would be in it. Across a
change of the rate, the lower one counts.

@param bucket `undefined` for a new one.
@param perSecond How fast it fills from now on; above 0.
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
