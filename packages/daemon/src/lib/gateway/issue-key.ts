import {randomBytes} from 'node:crypto';
import type {RequestKey} from './request-key.js';

/** Issues a key that is claimed in a hall, normally this one: then it can be served while the hall is cut off. */
export const issueKey = (hall: string, now: number): RequestKey => ({
	text: `dw~${hall}~${Math.floor(now).toString(36)}~${randomBytes(12).toString('hex')}`,
	home: hall,
	madeAt: now,
	isIssued: true,
});
