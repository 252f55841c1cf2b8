import type {Refusal} from '@deckwheel/core';

/** Refuses a request that cannot be understood. */
export const badRequest = (message: string): Refusal => ({code: 'bad_request', message, ran: 'not_run'});
