import {isSuccessStatus} from '@deckwheel/core';
import type {AttemptEnd} from './attempt-end.js';

/** Whether the endpoint did the work of a request, so that the duration tells the endpoint's speed. An error may come sooner. Pure. */
export const hasServed = (end: AttemptEnd): boolean =>
	end.type === 'streamed' || (end.type === 'relayed' && isSuccessStatus(end.status)) || (end.type === 'whole' && isSuccessStatus(end.response.statusCode!));
