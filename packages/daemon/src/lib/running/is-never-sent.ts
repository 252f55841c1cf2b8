import {RequestError, TimeoutError} from 'got';

/** Connection errors that prove that the request never reached the other side. */
const neverSentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

/** Whether a failed HTTP call surely never reached its endpoint: only then may it count as not run. */
export const isNeverSent = (error: unknown): boolean =>
	(error instanceof RequestError && neverSentCodes.has(error.code))
	|| (error instanceof TimeoutError && error.event === 'connect');
