import type {Refusal} from '@deckwheel/core';
import type {Context as KoaContext} from 'koa';

/** A key that the caller presents may name a request that ran. Before its record was read, 'not run' would be a guess. */
export const beforeRecall = (ctx: KoaContext, refusal: Refusal): Refusal =>
	ctx.get('idempotency-key') === '' || refusal.code === 'bad_request' ? refusal : {...refusal, ran: 'unknown'};
